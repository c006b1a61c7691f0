/// The clients of one controller in a soak run: connections that carry many FastCGI requests each, as a web server
/// opens them, and connections that misuse the protocol. The outcome of each request is recorded in a list of requests.
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
    std::uint32_t controller_number{}, controller_run_index{};
    double requests_per_second = 12;
    std::size_t connection_count = 4;  // number to open before requests share a busy connection
    std::uint64_t seed{};
    std::uint64_t request_id_base{};  // requests get the IDs after this one
};

class ClientState;

class Clients {
public:
    /// Appends each request to `requests`. `loop` and `requests` must outlive this object.
    Clients(net::EventLoop& loop, ClientOptions options, std::vector<Request>& requests);
    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    /// Polls the controller's health endpoint until it reports healthy, then calls `on_ready` and starts sending
    /// requests.
    void start(std::function<void()> on_ready);
    /// Sends no new requests; still receives the answers of pending requests.
    void stop_sending();
    /// Sends no new requests and marks requests whose connections are lost from now on as lost with the process.
    void handle_controller_killed();

    // Faulty clients: each call opens new connections.
    void send_incomplete_requests(int connection_count);
    void open_idle_connections(int connection_count);
    void send_malformed_bytes_after_request();
    void send_without_reading(int connection_count);

private:
    std::shared_ptr<ClientState> state_;  // shared with coroutines that outlive this object
};

}  // namespace plumkeel::soak
