/// Test fixture that runs the gateway program in a child process on loopback sockets. A test can make the program's
/// system calls fail and send it signals. Its clients, invokers and discovery server are scripted in the test's
/// process.
///
/// Needs the macros PLUMKEEL_PROGRAM, the path of the program, and PLUMKEEL_FAULT_PRELOAD, the path of the library that
/// makes its system calls fail.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <csignal>
#include <thread>

#include "emulator/faults/fault_plan.hpp"
#include "emulator/faults/process.hpp"
#include "net/socket_event_loop.hpp"
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {

/// Returns the remaining time in milliseconds that a RUN line of the invoker protocol contains.
inline int remaining_ms(const std::string& run_line) {
    static constexpr std::string_view field = "patience=";
    return std::stoi(run_line.substr(run_line.find(field) + field.size()));
}

class ProcessTest : public testing::Test {
protected:
    /// Last octets of the loopback addresses of the gateway, the discovery server and the invokers.
    static constexpr int server_host = 1, discovery_host = 9, first_invoker_host = 11, second_invoker_host = 12;
    /// The remaining time sent to an invoker may exceed the time until the request's deadline by this much.
    static constexpr Time remaining_time_tolerance = 150ms;

    ProcessTest() : fault_plan(testing::TempDir() + "/fault_plan." + std::to_string(::getpid())) {}

    /// Returns a loopback address that depends on the process id, so that tests can run in parallel.
    static std::string host(int last_octet) {
        return fmt::format("127.{}.{}.{}", 64 + (::getpid() >> 8) % 64, ::getpid() & 255, last_octet);
    }
    static std::string config() {
        std::string text = default_config;
        for (const auto& [original, replacement] :
             std::map<std::string, std::string>{{"10.1.0.1", host(server_host)},
                                                {"10.9.0.1", host(discovery_host)},
                                                {"10.0.0.1", host(first_invoker_host)},
                                                {"10.0.0.2", host(second_invoker_host)}})
            text = replaced(text, original, replacement);
        return text;
    }
    /// Returns a configuration with thousands of invokers, so that startup and shutdown are slow enough to be
    /// interrupted.
    static std::string long_config() {
        std::string text = config(), endpoints;
        for (int i = 3; i < 3000; ++i)
            endpoints += fmt::format(
                R"(,{{"uid":"s-{:08x}","endpoint":"127.1.0.1:9","az":"a","model":"k","pod_group":0,"state":"draining","capacity_hint":5,"boot_ms":0}})",
                i);
        return text.insert(text.find("]}}]}"), endpoints);
    }
    /// Starts the program with SIGHUP ignored, as deploy/balancer.toml does. Ends the previous process first, so that
    /// the address is free.
    void start(const std::string& config_text) {
        process.reset();
        const std::string file = write_config(config_text);
        process = std::make_unique<faults::Process>(
            std::vector<std::string>{"/bin/sh", "-c", "trap '' HUP; exec \"$0\" platform", PLUMKEEL_PROGRAM},
            std::map<std::string, std::string>{{"EDGE_CONFIG", file},
                                               {"PLUMKEEL_LOG", "error"},
                                               {"LD_PRELOAD", PLUMKEEL_FAULT_PRELOAD},
                                               {faults::plan_variable, fault_plan.path()}});
    }
    ScriptedInvoker& add_invoker(int last_octet, std::vector<InvokerBehaviour> script = {InvokerBehaviour::respond}) {
        return *invokers.emplace_back(std::make_unique<ScriptedInvoker>(loop, host(last_octet), std::move(script)));
    }
    /// Adds scripted invokers at the addresses of both invokers in config().
    std::vector<ScriptedInvoker*> add_both_invokers(const std::vector<InvokerBehaviour>& script = {
                                                        InvokerBehaviour::respond}) {
        return {&add_invoker(first_invoker_host, script), &add_invoker(second_invoker_host, script)};
    }
    /// Adds a client that connects at `when`, counted from the program's first readiness, and sends each text at its
    /// time after the connection.
    ScriptedClient& add_client(Time when, std::vector<std::pair<Time, std::string>> texts) {
        return *clients.emplace_back(std::make_unique<ScriptedClient>(loop, ready_at + when, std::move(texts), true,
                                                                      net::Address{host(server_host), 7001}));
    }
    /// Calls `action` at `when`, counted from the program's first readiness.
    void at(Time when, std::function<void()> action) { loop.call_at(ready_at + when, std::move(action)); }
    /// Runs the event loop until this time, counted from the program's first readiness.
    void run(Time until) {
        at(until, [this] { loop.stop(); });
        loop.run();
    }
    void TearDown() override {
        for (const auto& client : clients) EXPECT_GT(client->connected_at, Time{}) << "a client never connected";
    }
    /// Expects that no RUN line received since `sent` contains a remaining time greater than what is left of `budget`,
    /// the time from `sent` to the deadline. Returns the number of these RUN lines.
    std::size_t expect_remaining_time_since(Time sent, Time budget) const {
        std::size_t attempts = 0;
        for (const auto& invoker : invokers)
            for (std::size_t i = 0; i < invoker->run_lines.size(); ++i) {
                if (invoker->runs[i].first < ready_at + sent) continue;
                ++attempts;
                EXPECT_LE(remaining_ms(invoker->run_lines[i]),
                          (ready_at + sent + budget + remaining_time_tolerance - invoker->runs[i].first) / 1ms);
            }
        return attempts;
    }
    /// Blocks until the program accepts connections. The first call sets `ready_at`.
    void wait_until_ready() {
        sockaddr_in server_address{};
        server_address.sin_family = AF_INET;
        server_address.sin_port = htons(7001);
        ASSERT_EQ(::inet_pton(AF_INET, host(server_host).c_str(), &server_address.sin_addr), 1);
        bool connected = false;
        for (int i = 0; i < 1000 && !connected; ++i) {
            const int probe_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            connected =
                ::connect(probe_socket, reinterpret_cast<const sockaddr*>(&server_address), sizeof server_address) == 0;
            ::close(probe_socket);
            if (!connected) std::this_thread::sleep_for(10ms);
        }
        ASSERT_TRUE(connected);
        if (ready_at == Time{}) ready_at = loop.now();
    }

    faults::PlanFile fault_plan;
    net::SocketEventLoop loop;
    Time ready_at{};
    std::unique_ptr<faults::Process> process;
    std::vector<std::unique_ptr<ScriptedInvoker>> invokers;
    std::vector<std::unique_ptr<ScriptedClient>> clients;
};

}  // namespace plumkeel::platform
