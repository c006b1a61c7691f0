// The clients of one controller in a soak run: a web server's connections that carry many requests, and bad clients
// beside them. What became of each request is written in the books.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "random/pcg.hpp"
#include "soak/books.hpp"

namespace plumkeel::soak {

struct ClientPlan {
    net::Address controller;
    std::uint32_t number{}, life{};
    double per_second = 12;
    std::size_t connections = 4;
    std::uint64_t seed{};
    std::uint64_t first_id{};  // of its requests, which count up from there
};

class Clients {
public:
    // Requests are appended to `books`, which outlives this, as the world does.
    Clients(net::EventLoop& loop, ClientPlan plan, std::vector<Request>& books);
    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    // Asks until the controller says that it is healthy, then starts to send. `ready` is called once.
    void begin(std::function<void()> ready);
    void end_sending();  // no more requests; what is open is awaited
    void killed();       // the controller was killed: what is open went with it
    // Bad clients, each on connections of its own.
    void flood_halves(int connections);  // messages that never come whole
    void idle(int connections);          // that say nothing, or nothing more
    void malformed_behind_a_request();
    void read_nothing(int connections);  // of the answers to many requests

    struct State;  // shared with the coroutines, which outlive this

private:
    std::shared_ptr<State> state_;
};

}  // namespace plumkeel::soak
