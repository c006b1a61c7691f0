/// Clients that load the gateway or the pass-through proxy in a benchmark.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "net/socket_event_loop.hpp"

namespace plumkeel::benchmarks {

struct LoadFigures {
    double requests_per_s{}, median_us{}, p99_us{};
    double requests{};  // estimate for the whole run, including its first quarter
};

/// Sends requests on persistent connections. Each connection sends its next request after the previous response. The
/// figures leave out the first quarter of the run.
LoadFigures run_closed_loop(std::uint16_t port, int connections, net::Time duration);

/// Opens connections with one unanswered request on each.
class OpenRequests {
public:
    /// Calls `on_connected` when all connections are open, and `on_sent` after the requests have had time to arrive.
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
