/// Clients of the gateway's benchmark.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "net/socket_event_loop.hpp"

namespace plumkeel::benchmarks {

struct LoadFigures {
    double requests_per_s{}, median_us{}, p99_us{};
    double requests{};  // of the whole run
};

/// Sends on kept connections, each request behind the answer to the one before; all but the run's first quarter counts.
LoadFigures run_closed_loop(std::uint16_t port, int connections, net::Time length);

/// Requests that stay open, each on a connection of its own.
class OpenRequests {
public:
    /// `on_connected` is called when all connections are up and `on_sent` when all requests have arrived.
    void run(std::uint16_t port, int count, const std::function<void()>& on_connected,
             const std::function<void()>& on_sent);
    std::size_t count() const { return streams_.size(); }

private:
    net::Task<> open(std::uint16_t port, int count, const std::function<void()>& on_connected,
                     const std::function<void()>& on_sent);

    net::SocketEventLoop loop_;
    std::vector<std::shared_ptr<net::Stream>> streams_;
};

}  // namespace plumkeel::benchmarks
