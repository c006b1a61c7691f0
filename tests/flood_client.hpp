/// Bad clients of the platform protocol: a thread that floods the program on many connections at full speed, reads what
/// it is sent, and connects again at once when a connection is closed.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace plumkeel::platform {

class FloodClient {
public:
    using Clock = std::chrono::steady_clock;
    /// Returns the next bytes to send; `number` counts the calls of all connections.
    using NextBytes = std::function<std::string(std::uint64_t number)>;

    struct Results {
        std::uint64_t closed_connections{};
        std::size_t max_control_replies{};     ///< most end and management records that one connection was sent
        Clock::duration longest_unanswered{};  ///< longest time from a connect to the first reply or the close
    };

    FloodClient(const std::string& host, std::uint16_t port, std::size_t connections, NextBytes next_bytes)
        : next_bytes_(std::move(next_bytes)), connections_(connections) {
        address_.sin_family = AF_INET;
        address_.sin_port = htons(port);
        ::inet_pton(AF_INET, host.c_str(), &address_.sin_addr);
        thread_ = std::thread([this] { run(); });
    }
    ~FloodClient() { stop(); }
    FloodClient(const FloodClient&) = delete;
    FloodClient& operator=(const FloodClient&) = delete;

    /// Ends the flood and returns its results.
    const Results& stop() {
        stopping_ = true;
        if (thread_.joinable()) thread_.join();
        return results_;
    }

private:
    static constexpr std::size_t read_bytes = 1 << 16;
    static constexpr std::size_t header_bytes = 8;

    struct Connection {
        int fd = -1;
        Clock::time_point connected_at{};
        bool was_answered{};
        std::string unsent, unparsed;
        std::size_t control_replies{};
    };

    void run() {
        while (!stopping_) {
            std::vector<pollfd> polled;
            for (Connection& connection : connections_) {
                if (connection.fd < 0) open(connection);
                polled.push_back({connection.fd, POLLIN | POLLOUT, 0});
            }
            ::poll(polled.data(), polled.size(), 100);
            for (std::size_t i = 0; i < polled.size(); ++i) {
                if (polled[i].fd < 0) continue;
                const bool is_open = (!(polled[i].revents & (POLLIN | POLLHUP | POLLERR)) || read(connections_[i])) &&
                                     (!(polled[i].revents & POLLOUT) || write(connections_[i]));
                if (!is_open) close(connections_[i]);
            }
        }
        for (Connection& connection : connections_) close(connection);
    }

    void open(Connection& connection) {
        connection = {};
        connection.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        connection.connected_at = Clock::now();
        if (::connect(connection.fd, reinterpret_cast<const sockaddr*>(&address_), sizeof address_) == 0) return;
        ::close(connection.fd);
        connection.fd = -1;
    }

    bool read(Connection& connection) {
        char buffer[read_bytes];
        const auto received = ::recv(connection.fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (received < 0) return errno == EAGAIN;
        if (received == 0) return false;
        note_answer(connection);
        connection.unparsed.append(buffer, static_cast<std::size_t>(received));
        count_replies(connection);
        return true;
    }

    // Counts END_REQUEST, GET_VALUES_RESULT and UNKNOWN_TYPE records.
    void count_replies(Connection& connection) {
        std::size_t at = 0;
        const auto byte_at = [&](std::size_t i) {
            return static_cast<std::size_t>(static_cast<unsigned char>(connection.unparsed[at + i]));
        };
        while (connection.unparsed.size() - at >= header_bytes) {
            const std::size_t length = header_bytes + (byte_at(4) << 8 | byte_at(5)) + byte_at(6);
            if (connection.unparsed.size() - at < length) break;
            const std::size_t type = byte_at(1);
            if (type == 3 || type == 10 || type == 11) ++connection.control_replies;
            at += length;
        }
        connection.unparsed.erase(0, at);
        results_.max_control_replies = std::max(results_.max_control_replies, connection.control_replies);
    }

    bool write(Connection& connection) {
        if (connection.unsent.empty()) connection.unsent = next_bytes_(++blocks_);
        if (connection.unsent.empty()) return true;
        const auto sent =
            ::send(connection.fd, connection.unsent.data(), connection.unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) return errno == EAGAIN;
        connection.unsent.erase(0, static_cast<std::size_t>(sent));
        return true;
    }

    void note_answer(Connection& connection) {
        if (std::exchange(connection.was_answered, true)) return;
        results_.longest_unanswered = std::max(results_.longest_unanswered, Clock::now() - connection.connected_at);
    }

    void close(Connection& connection) {
        if (connection.fd < 0) return;
        note_answer(connection);
        ++results_.closed_connections;
        ::close(connection.fd);
        connection.fd = -1;
    }

    const NextBytes next_bytes_;
    std::vector<Connection> connections_;
    sockaddr_in address_{};
    std::uint64_t blocks_{};
    Results results_;
    std::atomic<bool> stopping_{};
    std::thread thread_;
};

}  // namespace plumkeel::platform
