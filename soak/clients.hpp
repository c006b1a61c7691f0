/// The clients of one controller in a soak run: a web server's connections that carry many requests, and faulty clients
/// beside them. What becomes of each request is written in the run's history.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "net/event_loop.hpp"
#include "soak/run_history.hpp"

namespace plumkeel::soak {

struct ClientOptions {
    net::Address controller;
    std::uint32_t number{}, controller_run{};
    double requests_per_second = 12;
    std::size_t connections = 4;
    std::uint64_t seed{};
    std::uint64_t first_id{};  // of its requests, which count up from there
};

class ClientState;

class Clients {
public:
    /// Appends requests to `requests`, which must outlive this, as must `loop`.
    Clients(net::EventLoop& loop, ClientOptions options, std::vector<Request>& requests);
    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    /// Asks until the controller says that it is healthy, calls `on_ready` once and starts to send.
    void start(std::function<void()> on_ready);
    /// Sends no more requests; pending ones are awaited.
    void stop_sending();
    /// The controller was killed: what is pending was lost with it.
    void controller_killed();

    // Faulty clients, each on connections of its own.
    void send_incomplete_requests(int connections);
    void open_idle_connections(int connections);
    void send_malformed_bytes_after_request();
    void send_without_reading(int connections);

private:
    std::shared_ptr<ClientState> state_;  // shared with the coroutines, which outlive this
};

}  // namespace plumkeel::soak
