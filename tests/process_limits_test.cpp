/// The program at its connection limit, and under signals while it starts and shuts down.
#include <filesystem>
#include <fstream>

#include "tests/process_fixture.hpp"

namespace plumkeel::platform {
namespace {

class ProcessLimits : public ProcessTest {};
class ProcessSignals : public ProcessTest {};

// Signals keep arriving while the process shuts down: it exits normally.
TEST_F(ProcessSignals, SignalsDuringShutdownDoNotKillProcess) {
    for (int i = 0; i < 5; ++i) {
        start(long_config());
        wait_until_ready();
        process->signal(SIGTERM);
        std::this_thread::sleep_for(900ms);
        std::optional<faults::Ending> ending;
        while (!(ending = process->ended())) {
            process->signal(SIGHUP);
            process->signal(SIGTERM);
        }
        EXPECT_TRUE(ending->exited) << "signal " << ending->code;
    }
}

// Clients with messages that never become complete occupy all connections: a client with a complete message is served
// soon nevertheless.
TEST_F(ProcessLimits, IncompleteMessagesDelayNobodyForLong) {
    both_invokers();
    start(replaced(config(), R"("sockets":256)", R"("sockets":64)"));  // 32 connections
    wait_until_ready();
    const std::string complete = message(1, request_fields(hex16(99), hex16(1)), std::string(9000, 'h'));
    for (int i = 0; i < 60; ++i) client(500ms, {{0ms, complete.substr(0, complete.size() - 8)}});
    std::vector<ScriptedClient*> good;
    for (std::uint64_t i = 1; i <= 10; ++i)
        good.push_back(&client(900ms, {{0ms, message(1, request_fields(hex16(i), hex16(i)))}}));
    run(4s);
    for (ScriptedClient* each : good) {
        EXPECT_EQ(each->response(1).status(), "200");
        EXPECT_LT(each->last_read_at - each->connected_at, 700ms);
    }
}

// All connections are in use by open requests: a new client waits in the listen backlog while its time runs.
TEST_F(ProcessLimits, TimeInBacklogCountsAgainstRequest) {
    both_invokers({InvokerBehaviour::never_respond});
    std::string text =
        replaced(replaced(config(), R"("sockets":256)", R"("sockets":64)"), R"("probes":true)", R"("probes":false)");
    for (int i = 0; i < 2; ++i)
        text = replaced(text, R"("capacity_hint":5,)", R"("capacity_hint":500,)");  // never at capacity
    start(text);
    wait_until_ready();
    for (std::uint64_t i = 1; i <= 44; ++i)
        client(500ms, {{0ms, message(1, request_fields(hex16(i), hex16(i), 1500))}});
    ScriptedClient& late = client(700ms, {{0ms, message(1, request_fields(hex16(100), hex16(100), 2900))}});
    at(1900ms, [&] {
        for (const auto& each : invokers) each->script = {InvokerBehaviour::respond};
    });
    run(5s);
    EXPECT_EQ(late.response(1).status(), "200") << (late.last_read_at - late.connected_at) / 1ms << " ms";
    for (const auto& each : invokers)
        for (std::size_t i = 0; i < each->run_lines.size(); ++i) {
            if (each->runs[i].second != hex16(100)) continue;
            const int remaining = remaining_ms(each->run_lines[i]);
            EXPECT_LE(remaining, (late.connected_at + 2900ms + remaining_time_tolerance - each->runs[i].first) / 1ms);
        }
}

// The configuration is replaced while the program starts and reads the old one, which is long: the program keeps
// running and applies the new one.
TEST_F(ProcessSignals, ReloadDuringStartupIsApplied) {
    constexpr int new_discovery_host = 10;
    const std::string old = long_config();
    ScriptedDiscovery old_discovery(loop, host(discovery_host)), new_discovery(loop, host(new_discovery_host));

    both_invokers();
    for (int i = 0; i < 12; ++i) {
        start(old);
        const int after_ms = 6 * i + 4;
        std::this_thread::sleep_for(std::chrono::milliseconds(after_ms));
        const std::string new_file = config_path() + ".new";
        std::ofstream(new_file) << replaced(old, host(discovery_host), host(new_discovery_host));
        std::filesystem::rename(new_file, config_path());
        process->signal(SIGHUP);
        const std::size_t before = new_discovery.subscriptions.size();
        run(loop.now() - ready_at + 600ms);
        ASSERT_FALSE(process->ended()) << "ended by signal " << process->ended()->code << ", signalled " << after_ms
                                       << " ms after its start";
        EXPECT_GT(new_discovery.subscriptions.size(), before) << "signalled " << after_ms << " ms after its start";
    }
}

}  // namespace
}  // namespace plumkeel::platform
