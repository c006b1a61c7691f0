/// HTTP edge on real sockets: the gateway's thread is blocked for a moment, and clients send and leave meanwhile.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <thread>

#include "net/socket_event_loop.hpp"
#include "web/server.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listen_on_loopback() {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(0);
    EXPECT_EQ(::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(::listen(listener, 16), 0);
    return listener;
}

std::uint16_t port_of(int listener) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    EXPECT_EQ(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size), 0);
    return ntohs(address.sin_port);
}

/// An invoker that serves one connection after the other and counts the requests that reach it whole.
class CountingInvoker {
public:
    CountingInvoker() : listener_(listen_on_loopback()) {
        thread_ = std::thread([this] { serve(); });
    }
    ~CountingInvoker() {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    CountingInvoker(const CountingInvoker&) = delete;
    CountingInvoker& operator=(const CountingInvoker&) = delete;

    std::uint16_t port() const { return port_of(listener_); }
    int requests() const { return requests_; }

private:
    void serve() {
        for (;;) {
            const int connection = ::accept(listener_, nullptr, nullptr);
            if (connection < 0) return;
            serve_connection(connection);
            ::close(connection);
        }
    }
    void serve_connection(int connection) {
        const std::string end_of_request = "\r\n\r\nwork",
                          response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell";
        std::string received;
        char buffer[4096];
        for (;;) {
            const ssize_t count = ::read(connection, buffer, sizeof buffer);
            if (count <= 0) return;
            received.append(buffer, static_cast<std::size_t>(count));
            if (!received.ends_with(end_of_request)) continue;
            received.clear();
            ++requests_;
            if (::write(connection, response.data(), response.size()) < 0) return;
        }
    }

    const int listener_;
    std::atomic<int> requests_{};
    std::thread thread_;
};

/// A Consul agent that lists one invoker, which begins to drain when drain() is called. A poll for the current list
/// waits for that.
class DrainingConsul {
public:
    explicit DrainingConsul(std::uint16_t invoker_port) : invoker_port_(invoker_port), listener_(listen_on_loopback()) {
        thread_ = std::thread([this] { serve(); });
    }
    ~DrainingConsul() {
        drain();
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    DrainingConsul(const DrainingConsul&) = delete;
    DrainingConsul& operator=(const DrainingConsul&) = delete;

    std::uint16_t port() const { return port_of(listener_); }
    bool is_polled() const { return is_polled_; }
    void drain() { is_draining_ = true; }

private:
    void serve() {
        for (;;) {
            const int connection = ::accept(listener_, nullptr, nullptr);
            if (connection < 0) return;
            char buffer[4096];
            const ssize_t count = ::read(connection, buffer, sizeof buffer);
            const std::string poll(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
            const bool is_up_to_date = poll.find("index=1&") != std::string::npos;
            is_polled_ = is_polled_ || is_up_to_date;
            while (is_up_to_date && !is_draining_) std::this_thread::sleep_for(1ms);
            respond(connection);
            ::close(connection);
        }
    }
    void respond(int connection) const {
        const std::string body = R"([{"Node":{"Address":"127.0.0.1"},"Service":{"ID":"i1","Port":)" +
                                 std::to_string(invoker_port_) + R"(},"Checks":[{"Status":")" +
                                 (is_draining_ ? "critical" : "passing") + R"("}]}])";
        const std::string response = "HTTP/1.1 200 OK\r\nX-Consul-Index: " + std::string(is_draining_ ? "2" : "1") +
                                     "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        EXPECT_EQ(::write(connection, response.data(), response.size()), static_cast<ssize_t>(response.size()));
    }

    const std::uint16_t invoker_port_;
    const int listener_;
    std::atomic<bool> is_polled_{}, is_draining_{};
    std::thread thread_;
};

int connect_to(std::uint16_t port) {
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    EXPECT_EQ(::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    return connection;
}

void send_request(int connection) {
    const std::string request =
        "POST /v1/jobs/f HTTP/1.1\r\nHost: x\r\nplumkeel-use-case: p\r\nplumkeel-time-left: 4000\r\nContent-Length: "
        "4\r\n"
        "\r\nwork";
    EXPECT_EQ(::write(connection, request.data(), request.size()), static_cast<ssize_t>(request.size()));
}

/// Connects, sends a request, waits for `stays` and closes the connection.
void send_and_leave(std::uint16_t port, std::chrono::milliseconds stays) {
    const int connection = connect_to(port);
    send_request(connection);
    std::this_thread::sleep_for(stays);
    ::close(connection);
}

GatewayConfig pause_config() {
    GatewayConfig config;
    config.listen = "127.0.0.1:0";
    config.log.file = "/dev/null";
    config.capabilities.max_attempts = config.capabilities.controller_count = 1;
    config.capabilities.clock_resolution = 5ms;
    config.capabilities.on_demand_loading = true;
    config.request_classes["p"].name = "p";
    config.request_classes["p"].latency_target = 1s;
    return config;
}

// Guards against a request that runs without its client: the request and the client's end are read after a pause of the
// gateway, the request first.
TEST(HttpPause, RequestOfAClientThatLeftDuringThePauseIsNotSent) {
    CountingInvoker invoker;
    net::SocketEventLoop loop;
    GatewayConfig config = pause_config();
    config.endpoint_source.fixed.push_back({"i1", "127.0.0.1:" + std::to_string(invoker.port()), "a", "k", 1, 0});
    Log log(loop, config.log);
    web::Server server(loop, config, log, 1);
    ASSERT_FALSE(server.open());
    const std::uint16_t port = server.address().port;
    // The first request leaves an idle connection to the invoker, on which others could be sent at once.
    std::thread first_client([port] { send_and_leave(port, 1s); });
    const std::function<void()> pause = [&] {
        if (invoker.requests() == 0) {
            loop.call_at(loop.now() + 10ms, pause);
            return;
        }
        for (int i = 0; i < 5; ++i) send_and_leave(port, 200ms);
        loop.call_at(loop.now() + 1s, [&] { loop.stop(); });
    };
    loop.call_at(loop.now() + 10ms, pause);
    loop.run();
    first_client.join();
    EXPECT_EQ(invoker.requests(), 1);
    server.gateway().shut_down([] {});
}

// Guards against new work for an invoker that drains: a request and the notice of the drain arrive during a pause of
// the gateway, the request first.
TEST(HttpPause, RequestIsNotSentToAnInvokerThatBeganToDrainDuringThePause) {
    CountingInvoker invoker;
    DrainingConsul consul(invoker.port());
    net::SocketEventLoop loop;
    GatewayConfig config = pause_config();
    config.endpoint_source.consul = "127.0.0.1:" + std::to_string(consul.port());
    Log log(loop, config.log);
    web::Server server(loop, config, log, 1);
    ASSERT_FALSE(server.open());
    int client = -1;
    const std::function<void()> pause = [&] {
        if (client < 0 && consul.is_polled()) {
            client = connect_to(server.address().port);
            send_request(client);
        }
        if (invoker.requests() == 0) {
            loop.call_at(loop.now() + 10ms, pause);
            return;
        }
        send_request(client);
        std::this_thread::sleep_for(50ms);
        consul.drain();
        std::this_thread::sleep_for(1s);
        loop.call_at(loop.now() + 1s, [&] { loop.stop(); });
    };
    loop.call_at(loop.now() + 10ms, pause);
    loop.run();
    ::close(client);
    EXPECT_EQ(invoker.requests(), 1);
    server.gateway().shut_down([] {});
}

}  // namespace
}  // namespace plumkeel
