// The `platform` command on real sockets, in a process of its own: health checks, a malformed and a valid new
// configuration, shutdown, a restart at the same address, exhausted descriptors, and the CPU time of a start.
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

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A listening socket. As a discovery service it accepts subscriptions and sends nothing.
struct ListeningSocket {
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t port{};
    explicit ListeningSocket(std::uint16_t wanted_port = 0) {
        sockaddr_in address = loopback(wanted_port);
        socklen_t size = sizeof address;
        const int reuse = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&address), size), 0);
        EXPECT_EQ(::listen(fd, 8), 0);
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
    ~ListeningSocket() { ::close(fd); }
    // Returns the 8 bytes that the next client sends to subscribe; empty if none connects within 5 s.
    std::string subscription() const {
        const timeval timeout{5, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        const int connection = ::accept(fd, nullptr, nullptr);
        if (connection < 0) return "";
        std::string received(8, '?');
        const auto received_size = ::recv(connection, received.data(), received.size(), MSG_WAITALL);
        open_connections.push_back(connection);
        return received_size == 8 ? received : "";
    }
    mutable std::vector<int> open_connections;
};

std::uint16_t free_port() {
    return ListeningSocket().port;
}

// Returns the status code of the response to /_health; empty if there is no response.
std::string health_status(std::uint16_t port) {
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval timeout{2, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const sockaddr_in address = loopback(port);
    std::string received;
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        const std::string request = bytes::message(1, {{"SCRIPT_NAME", "/_health"}});
        EXPECT_EQ(::send(connection, request.data(), request.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(request.size()));
        char buffer[512];
        while (received.find("\r\n\r\n") == std::string::npos) {
            const auto received_size = ::recv(connection, buffer, sizeof buffer, 0);
            if (received_size <= 0) break;
            received.append(buffer, static_cast<std::size_t>(received_size));
        }
    }
    ::close(connection);
    const auto status = received.find("Status: ");
    return status == std::string::npos ? "" : received.substr(status + 8, 3);
}

void write_config(const std::string& file, std::uint16_t port, std::uint16_t discovery_port, int invokers = 0) {
    std::string targets;
    for (int i = 1; i <= invokers; ++i)
        targets +=
            fmt::format(R"({}{{"uid":"s-{:08x}","endpoint":"127.0.0.1:9","state":"up","capacity_hint":5,"boot_ms":0}})",
                        i > 1 ? "," : "", i);
    const std::string notices = invokers ? R"({"rev":6,"pool":{"rev":6,"all":true,"targets":[)" + targets + "]}}" : "";
    std::ofstream(file)
        << R"({"name":"n1","listen":"127.0.0.1:)" << port << R"(","seed":"ab","board":"127.0.0.1:)" << discovery_port
        << R"(","limits":{"cores":1,"memory_mb":48,"sockets":256},"known":{"rev":6,"notices":[)" << notices << "]},"
        << R"("settings":{"classes":[{"name":"p","aim":800,"deadline":3000,"semantics":"retryable"}],"quantum":1,)"
        << R"("limits":{"send_cap":5},"fleet_size":1}})";
}

// Path of a configuration file of this process: tests run in parallel, and under more than one user.
std::string config_file(const std::string& name) {
    return testing::TempDir() + "/" + name + "." + std::to_string(::getpid()) + ".json";
}

// A process that serves with a configuration file. It is killed on destruction, so that a failed test leaves none.
class ServerProcess {
public:
    // `descriptors`: limit of file descriptors; 0: unchanged.
    explicit ServerProcess(const std::string& file, rlim_t descriptors = 0) : pid_(::fork()) {
        if (pid_) return;
        if (const rlimit limit{descriptors, descriptors}; descriptors) ::setrlimit(RLIMIT_NOFILE, &limit);
        _exit(serve(file, "error"));
    }
    ~ServerProcess() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    ServerProcess(const ServerProcess&) = delete;
    ServerProcess& operator=(const ServerProcess&) = delete;

    void signal(int number) const { ::kill(pid_, number); }
    // Waits for the process to end; returns its wait status.
    int wait() {
        int status = 0;
        EXPECT_EQ(::waitpid(pid_, &status, 0), pid_);
        pid_ = 0;
        return status;
    }
    // Kills the process; returns the CPU seconds that it used.
    double kill_and_measure_cpu() {
        signal(SIGKILL);
        rusage usage{};
        EXPECT_EQ(::wait4(pid_, nullptr, 0, &usage), pid_);
        pid_ = 0;
        return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
               static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    }

private:
    pid_t pid_;
};

bool becomes_healthy(std::uint16_t port) {
    for (int i = 0; i < 100; ++i, std::this_thread::sleep_for(50ms))
        if (health_status(port) == "200") return true;
    return false;
}

const std::string subscription_from_event_6("\0\0\0\0\0\0\0\6", 8);

TEST(PlatformSignals, SighupMovesDiscoveryAndSigtermShutsDownLeavingTheAddressFree) {
    const std::string file = config_file("signals_config");
    ListeningSocket discovery, moved_discovery;
    const std::uint16_t port = free_port();
    write_config(file, port, discovery.port);
    ServerProcess first_server(file);
    ASSERT_TRUE(becomes_healthy(port));
    EXPECT_EQ(discovery.subscription(), subscription_from_event_6);

    std::ofstream(file) << "{\"name\":";  // malformed: the previous configuration stays in effect
    first_server.signal(SIGHUP);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(health_status(port), "200");
    write_config(file, port, moved_discovery.port);
    first_server.signal(SIGHUP);
    EXPECT_EQ(moved_discovery.subscription(), subscription_from_event_6);

    first_server.signal(SIGTERM);
    std::this_thread::sleep_for(400ms);
    EXPECT_EQ(health_status(port), "200");  // clients may still connect
    const int status = first_server.wait();
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
    EXPECT_EQ(health_status(port), "");

    ServerProcess second_server(file);  // restarts at the same address without delay
    EXPECT_TRUE(becomes_healthy(port));
}

// Idle clients take more descriptors than the limit while the discovery service is unreachable. Other clients must be
// served, the controller must reconnect to discovery when it is back, and no busy loop may use up the CPU.
TEST(PlatformDescriptors, IdleClientsDoNotKeepOutOtherClientsOrDiscovery) {
    const std::string file = config_file("descriptors_config");
    const std::uint16_t port = free_port(), discovery_port = free_port();
    write_config(file, port, discovery_port, 120);
    ServerProcess server(file, 256);
    ASSERT_TRUE(becomes_healthy(port));
    std::vector<int> idle_clients;
    const sockaddr_in address = loopback(port);
    for (int i = 0; i < 400; ++i) {
        idle_clients.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        ASSERT_EQ(::connect(idle_clients.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    }
    for (int i = 0; i < 20; ++i) EXPECT_EQ(health_status(port), "200") << i;
    const ListeningSocket discovery(discovery_port);
    EXPECT_EQ(discovery.subscription(), subscription_from_event_6);
    EXPECT_EQ(health_status(port), "200");
    for (const int each : idle_clients) ::close(each);
    EXPECT_LT(server.kill_and_measure_cpu(), 1.0);
}

// The platform requires a controller to be ready within 10 s on a tenth of a core, which is one CPU second. Here 120
// invokers are listed and discovery is unreachable.
TEST(PlatformStart, TakesLessThanOneCpuSecond) {
    const std::string file = config_file("ready_config");
    const std::uint16_t port = free_port();
    write_config(file, port, free_port(), 120);
    ServerProcess server(file);
    EXPECT_TRUE(becomes_healthy(port));
    const double cpu_seconds = server.kill_and_measure_cpu();
    RecordProperty("cpu_ms", static_cast<int>(cpu_seconds * 1000));
    EXPECT_LT(cpu_seconds, 1.0);
}

}  // namespace
}  // namespace plumkeel::platform
