// The platform's program on real sockets, in a process of its own: health, a damaged and a good new configuration,
// the word to end, a restart under the same address, descriptors used up, and what it takes to be ready.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <thread>

#include "emulator/protocol_bytes.hpp"
#include "platform/serve.hpp"

namespace plumkeel::platform {
namespace {

using namespace std::chrono_literals;

sockaddr_in local(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

struct Listening {
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t port{};
    explicit Listening(std::uint16_t wanted = 0) {
        sockaddr_in at = local(wanted);
        socklen_t size = sizeof at;
        const int again = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &again, sizeof again);
        EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
        EXPECT_EQ(::listen(fd, 8), 0);
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
    }
    ~Listening() { ::close(fd); }
    // The 8 bytes of whoever connects next, within 5 s.
    std::string asked() const {
        const timeval limit{5, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        const int it = ::accept(fd, nullptr, nullptr);
        if (it < 0) return "";
        std::string got(8, '?');
        const auto n = ::recv(it, got.data(), got.size(), MSG_WAITALL);
        held.push_back(it);
        return n == 8 ? got : "";
    }
    mutable std::vector<int> held;
};

std::uint16_t free_port() {
    return Listening().port;
}

// The status that /_health is answered with; empty where nobody answers.
std::string health(std::uint16_t port) {
    const int it = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{2, 0};
    ::setsockopt(it, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in at = local(port);
    std::string got;
    if (::connect(it, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
        const std::string text = bytes::message(1, {{"SCRIPT_NAME", "/_health"}});
        EXPECT_EQ(::send(it, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
        char room[512];
        while (got.find("\r\n\r\n") == std::string::npos) {
            const auto n = ::recv(it, room, sizeof room, 0);
            if (n <= 0) break;
            got.append(room, static_cast<std::size_t>(n));
        }
    }
    ::close(it);
    const auto at_status = got.find("Status: ");
    return at_status == std::string::npos ? "" : got.substr(at_status + 8, 3);
}

void write_config(const std::string& file, std::uint16_t port, std::uint16_t board, int invokers = 0) {
    std::string targets;
    for (int i = 1; i <= invokers; ++i)
        targets +=
            fmt::format(R"({}{{"uid":"s-{:08x}","endpoint":"127.0.0.1:9","state":"up","capacity_hint":5,"boot_ms":0}})",
                        i > 1 ? "," : "", i);
    const std::string notices = invokers ? R"({"rev":6,"pool":{"rev":6,"all":true,"targets":[)" + targets + "]}}" : "";
    std::ofstream(file)
        << R"({"name":"n1","listen":"127.0.0.1:)" << port << R"(","seed":"ab","board":"127.0.0.1:)" << board
        << R"(","limits":{"cores":1,"memory_mb":48,"sockets":256},"known":{"rev":6,"notices":[)" << notices << "]},"
        << R"("settings":{"classes":[{"name":"p","aim":800,"deadline":3000,"semantics":"retryable"}],"quantum":1,)"
        << R"("limits":{"send_cap":5},"fleet_size":1}})";
}

pid_t start(const std::string& file, rlim_t descriptors = 0) {
    const pid_t child = ::fork();
    if (child) return child;
    if (const rlimit few{descriptors, descriptors}; descriptors) ::setrlimit(RLIMIT_NOFILE, &few);
    _exit(serve(file, "error"));
}

// Seconds of a core that it has used, once killed.
double killed(pid_t child) {
    ::kill(child, SIGKILL);
    rusage used{};
    EXPECT_EQ(::wait4(child, nullptr, 0, &used), child);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
}

bool comes(std::uint16_t port) {
    for (int i = 0; i < 100; ++i, std::this_thread::sleep_for(50ms))
        if (health(port) == "200") return true;
    return false;
}

TEST(PlatformSignals, MoveTheBoardEndTheControllerAndLeaveItsAddressFree) {
    const std::string file = testing::TempDir() + "/signals_config.json";
    Listening board, moved;
    const std::uint16_t port = free_port();
    write_config(file, port, board.port);
    const pid_t first = start(file);
    ASSERT_TRUE(comes(port));
    EXPECT_EQ(board.asked(), std::string("\0\0\0\0\0\0\0\6", 8));

    std::ofstream(file) << "{\"name\":";  // damaged: the old one holds
    ::kill(first, SIGHUP);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(health(port), "200");
    write_config(file, port, moved.port);
    ::kill(first, SIGHUP);
    EXPECT_EQ(moved.asked(), std::string("\0\0\0\0\0\0\0\6", 8));

    ::kill(first, SIGTERM);
    std::this_thread::sleep_for(400ms);
    EXPECT_EQ(health(port), "200");  // clients still come
    int status = 0;
    ASSERT_EQ(::waitpid(first, &status, 0), first);
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
    EXPECT_EQ(health(port), "");

    const pid_t second = start(file);  // the same address, at once
    EXPECT_TRUE(comes(port));
    ::kill(second, SIGKILL);
    ::waitpid(second, &status, 0);
}

// Idle clients take all descriptors that they can get, more than the limit, while nobody answers for the board. Whoever
// says something is served all the same, the board is found when it is back, and nothing spins meanwhile.
TEST(PlatformDescriptors, IdleClientsDoNotKeepOutClientsOrTheBoard) {
    const std::string file = testing::TempDir() + "/descriptors_config.json";
    const std::uint16_t port = free_port(), board_port = free_port();
    write_config(file, port, board_port, 120);
    const pid_t child = start(file, 256);
    ASSERT_TRUE(comes(port));
    std::vector<int> idle;
    const sockaddr_in at = local(port);
    for (int i = 0; i < 400; ++i) {
        idle.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        ASSERT_EQ(::connect(idle.back(), reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    }
    for (int i = 0; i < 20; ++i) EXPECT_EQ(health(port), "200") << i;
    const Listening board(board_port);
    EXPECT_EQ(board.asked(), std::string("\0\0\0\0\0\0\0\6", 8));
    EXPECT_EQ(health(port), "200");
    for (const int each : idle) ::close(each);
    EXPECT_LT(killed(child), 1.0);
}

// Ready within 10 s at a tenth of a core: whatever the machine does meanwhile, so much work at most, with 120 invokers
// listed and nobody there for the board.
TEST(PlatformReady, TakesLessThanASecondOfACore) {
    const std::string file = testing::TempDir() + "/ready_config.json";
    const std::uint16_t port = free_port();
    write_config(file, port, free_port(), 120);
    const pid_t child = start(file);
    EXPECT_TRUE(comes(port));
    const double used = killed(child);
    RecordProperty("cpu_ms", static_cast<int>(used * 1000));
    EXPECT_LT(used, 1.0);
}

}  // namespace
}  // namespace plumkeel::platform
