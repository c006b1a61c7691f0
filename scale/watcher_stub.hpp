/// A discovery watcher without a controller. It reconnects with the same backoff as `plumkeel platform`.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "net/event_loop.hpp"

namespace plumkeel::scale {

class WatcherStub {
public:
    /// Calls `on_change` with the event number of each change. `loop` must outlive this object, which must live until
    /// the loop has stopped running.
    WatcherStub(net::EventLoop& loop, net::Address discovery, std::uint64_t seed,
                std::function<void(std::uint64_t)> on_change);

private:
    net::Task<> run();
    net::Task<> read_frames(std::shared_ptr<net::Stream> stream);
    void handle_frames(std::string& buffer);

    net::EventLoop& loop_;
    const net::Address discovery_;
    const std::function<void(std::uint64_t)> on_change_;
    const std::uint64_t seed_;
    std::uint64_t last_event_number_ = 1;
};

}  // namespace plumkeel::scale
