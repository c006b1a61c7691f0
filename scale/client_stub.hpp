/// A web server's connections to one controller.
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
    /// `loop` must outlive this.
    ClientStub(net::EventLoop& loop, net::Address controller);
    /// Connects once and asks whether the controller is healthy.
    net::Task<bool> is_healthy();
    net::Task<> open(std::size_t connections);
    /// Sends a request on the connection with the fewest pending; none where all are full.
    void send_request(const std::string& function);
    void close();
    std::uint64_t sent() const { return sent_; }
    std::uint64_t served() const { return served_; }
    std::uint64_t ended() const { return ended_; }
    double mean_latency_ms() const { return served_ ? latency_sum_ms_ / static_cast<double>(served_) : 0; }

private:
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<int, net::Time> sent_at;  // of pending requests, by number
    };
    net::Task<> read(std::shared_ptr<Connection> connection);
    void handle_records(std::string& buffer, Connection& connection);

    net::EventLoop& loop_;
    const net::Address controller_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::uint64_t sent_{}, served_{}, ended_{};
    double latency_sum_ms_{};
};

}  // namespace plumkeel::scale
