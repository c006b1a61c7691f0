/// A FastCGI client that sends requests to one controller over several connections.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::scale {

class ClientStub {
public:
    /// `loop` must outlive this object.
    ClientStub(net::EventLoop& loop, net::Address controller);
    /// Sends one health check on a connection of its own; true if the controller answers with status 200.
    net::Task<bool> is_healthy();
    net::Task<> open(std::size_t connections);
    /// Sends a request on the connection with the fewest pending requests. Does nothing if all connections are full.
    void send_request(const std::string& function);
    void close();
    // Numbers of requests that were sent, answered with status 200, and answered with any status.
    std::uint64_t sent() const { return sent_; }
    std::uint64_t served() const { return served_; }
    std::uint64_t ended() const { return ended_; }
    double mean_latency_ms() const { return served_ ? latency_sum_ms_ / static_cast<double>(served_) : 0; }

private:
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<int, net::Time> sent_at_by_id;  // send times of pending requests by FastCGI request id
    };
    net::Task<> read_responses(std::shared_ptr<Connection> connection);
    void handle_records(std::string& buffer, Connection& connection);

    net::EventLoop& loop_;
    const net::Address controller_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::uint64_t sent_{}, served_{}, ended_{};
    double latency_sum_ms_{};
};

}  // namespace plumkeel::scale
