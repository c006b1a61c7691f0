/// A gateway with a low limit of file descriptors, whose clients open more connections than that. It runs on real
/// sockets in a child process.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

#include "net/socket_event_loop.hpp"
#include "web/server.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

/// Serves with at most 30 descriptors and writes the port that it listens on to `port_pipe`.
[[noreturn]] void serve_with_few_descriptors(int port_pipe) {
    const rlimit limit{30, 30};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    net::SocketEventLoop loop;
    GatewayConfig config;
    config.listen = "127.0.0.1:0";
    config.log.file = "/dev/null";
    config.capabilities.max_attempts = config.capabilities.controller_count = 1;
    config.capabilities.clock_resolution = 5ms;
    config.request_classes["p"].name = "p";
    config.request_classes["p"].latency_target = 1s;
    Log log(loop, config.log);
    web::Server server(loop, config, log, 1);
    if (server.open()) _exit(1);
    const std::uint16_t port = server.address().port;
    if (::write(port_pipe, &port, sizeof port) != sizeof port) _exit(1);
    loop.run();
    _exit(0);
}

int connect_to(std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    return descriptor;
}

double cpu_seconds(const rusage& usage) {
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

TEST(FileDescriptors, ExhaustionNeitherSpinsNorStopsServer) {
    int port_pipe[2];
    ASSERT_EQ(::pipe(port_pipe), 0);
    const pid_t child = ::fork();
    if (child == 0) serve_with_few_descriptors(port_pipe[1]);
    std::uint16_t port = 0;
    ASSERT_EQ(::read(port_pipe[0], &port, sizeof port), static_cast<ssize_t>(sizeof port));
    std::vector<int> connections;
    for (int i = 0; i < 60; ++i) connections.push_back(connect_to(port));
    std::this_thread::sleep_for(2s);
    for (const int each : connections) ::close(each);

    // The server must respond again as soon as descriptors are free.
    const int connection = connect_to(port);
    const timeval read_timeout{20, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof read_timeout);
    const std::string request = "GET /v1/health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ASSERT_EQ(::write(connection, request.data(), request.size()), static_cast<ssize_t>(request.size()));
    char response[64] = {};
    ASSERT_GT(::read(connection, response, sizeof response - 1), 0);
    EXPECT_EQ(std::string(response).substr(0, 15), "HTTP/1.1 200 OK");
    ::close(connection);

    ::kill(child, SIGKILL);
    rusage usage{};
    ASSERT_EQ(::wait4(child, nullptr, 0, &usage), child);
    // A busy loop on accept would have used all of the two seconds.
    EXPECT_LT(cpu_seconds(usage), 1.0);
}

}  // namespace
}  // namespace plumkeel
