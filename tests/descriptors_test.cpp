// A controller that may open few descriptors, and clients that hold more connections than these: it must neither
// spin nor stop for good. Real sockets, in a process of its own, whose limit is lowered.
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

[[noreturn]] void serve_with_few(int tell) {
    const rlimit few{30, 30};
    ::setrlimit(RLIMIT_NOFILE, &few);
    net::SocketEventLoop loop;
    GatewayConfig config;
    config.listen = "127.0.0.1:0";
    config.log.file = "/dev/null";
    config.capabilities.max_attempts = config.capabilities.controller_count = 1;
    config.capabilities.clock_resolution = 5ms;
    config.request_classes["p"].name = "p";
    config.request_classes["p"].latency_target = 1s;
    Log log(loop, config.log);
    web::Server gateway(loop, config, log, 1);
    if (gateway.open()) _exit(1);
    const std::uint16_t port = gateway.address().port;
    if (::write(tell, &port, sizeof port) != sizeof port) _exit(1);
    loop.run();
    _exit(0);
}

int connect_to(std::uint16_t port) {
    const int it = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(it, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    return it;
}

TEST(Descriptors, ExhaustedTheyNeitherSpinNorStopTheController) {
    int ends[2];
    ASSERT_EQ(::pipe(ends), 0);
    const pid_t child = ::fork();
    if (child == 0) serve_with_few(ends[1]);
    std::uint16_t port = 0;
    ASSERT_EQ(::read(ends[0], &port, sizeof port), static_cast<ssize_t>(sizeof port));
    std::vector<int> held;
    for (int i = 0; i < 60; ++i) held.push_back(connect_to(port));
    std::this_thread::sleep_for(2s);
    for (const int each : held) ::close(each);

    // It goes on as soon as there is room again: the answer comes, whatever it says.
    const int one = connect_to(port);
    const timeval patience{20, 0};
    ::setsockopt(one, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    const std::string text = "GET /v1/health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ASSERT_EQ(::write(one, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    char room[64] = {};
    ASSERT_GT(::read(one, room, sizeof room - 1), 0);
    EXPECT_EQ(std::string(room).substr(0, 15), "HTTP/1.1 200 OK");
    ::close(one);

    ::kill(child, SIGKILL);
    rusage used{};
    ASSERT_EQ(::wait4(child, nullptr, 0, &used), child);
    // Spinning on accept would have cost all of the two seconds.
    const double spent = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
    EXPECT_LT(spent, 1.0);
}

}  // namespace
}  // namespace plumkeel
