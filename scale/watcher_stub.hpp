/// A watcher of discovery that reconnects as the real program does, without a controller behind it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "net/event_loop.hpp"

namespace plumkeel::scale {

class WatcherStub {
public:
    /// `on_change` is called with each change's event number. `loop` must outlive this, and this the loop's run.
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
    std::uint64_t last_event_ = 1;
};

}  // namespace plumkeel::scale
