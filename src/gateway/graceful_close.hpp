/// Closes a connection to a client without losing the last response.
#pragma once

#include <memory>

#include "net/write_queue.hpp"

namespace plumkeel::gateway {

/// Writes all pending bytes, shuts down the sending direction, and closes the stream after `linger`. Closing at once
/// would send a reset if input is unread, and the client might lose the last response.
inline net::Task<> close_gracefully(net::EventLoop& loop, std::shared_ptr<net::Stream> stream,
                                    std::shared_ptr<net::WriteQueue> write_queue, net::Time linger) {
    co_await write_queue->wait_below(0);
    stream->shutdown_send();
    co_await loop.sleep(linger);
    stream->close();
}

}  // namespace plumkeel::gateway
