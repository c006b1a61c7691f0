/// How connections to clients end without losing the last response.
#pragma once

#include <memory>

#include "net/write_queue.hpp"

namespace plumkeel::gateway {

/// Writes what is pending, ends the sending direction, and closes after `linger`. A close at once would send a reset
/// for input that is not read, which may overtake the last response.
inline net::Task<> close_gracefully(net::EventLoop& loop, std::shared_ptr<net::Stream> stream,
                                    std::shared_ptr<net::WriteQueue> write_queue, net::Time linger) {
    co_await write_queue->wait_below(0);
    stream->shutdown_send();
    co_await loop.sleep(linger);
    stream->close();
}

}  // namespace plumkeel::gateway
