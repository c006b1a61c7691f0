/// Runs the program at its connection limit, and sends it signals while it starts and shuts down.
#include <filesystem>
#include <fstream>

#include "tests/process_fixture.hpp"

namespace plumkeel::platform {
namespace {

class ProcessLimits : public ProcessTest {};
class ProcessSignals : public ProcessTest {};

// The process must exit normally if more signals arrive while it shuts down.
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

// Clients that never complete their message occupy all connections: a client with a complete message must still get a
// response within 700 ms.
TEST_F(ProcessLimits, IncompleteMessagesDoNotBlockCompleteOnes) {
    add_both_invokers();
    start(replaced(config(), R"("sockets":256)", R"("sockets":64)"));  // allows 32 client connections
    wait_until_ready();
    const std::string complete = message(1, request_fields(hex16(99), hex16(1)), std::string(9000, 'h'));
    for (int i = 0; i < 60; ++i) add_client(500ms, {{0ms, complete.substr(0, complete.size() - 8)}});
    std::vector<ScriptedClient*> complete_clients;
    for (std::uint64_t i = 1; i <= 10; ++i)
        complete_clients.push_back(&add_client(900ms, {{0ms, message(1, request_fields(hex16(i), hex16(i)))}}));
    run(4s);
    for (ScriptedClient* client : complete_clients) {
        EXPECT_EQ(client->response(1).status(), "200");
        EXPECT_LT(client->last_read_at - client->connected_at, 700ms);
    }
}

// All connections are in use by open requests, so that a new client waits in the listen backlog: the remaining time of
// its request must include the wait.
TEST_F(ProcessLimits, TimeInBacklogCountsAgainstRequest) {
    add_both_invokers({InvokerBehaviour::never_respond});
    std::string text =
        replaced(replaced(config(), R"("sockets":256)", R"("sockets":64)"), R"("probes":true)", R"("probes":false)");
    for (int i = 0; i < 2; ++i)
        text = replaced(text, R"("capacity_hint":5,)",
                        R"("capacity_hint":500,)");  // so that the invokers are never at capacity
    start(text);
    wait_until_ready();
    for (std::uint64_t i = 1; i <= 44; ++i)
        add_client(500ms, {{0ms, message(1, request_fields(hex16(i), hex16(i), 1500))}});
    ScriptedClient& waiting_client =
        add_client(700ms, {{0ms, message(1, request_fields(hex16(100), hex16(100), 2900))}});
    at(1900ms, [&] {
        for (const auto& invoker : invokers) invoker->script = {InvokerBehaviour::respond};
    });
    run(5s);
    EXPECT_EQ(waiting_client.response(1).status(), "200")
        << (waiting_client.last_read_at - waiting_client.connected_at) / 1ms << " ms";
    for (const auto& invoker : invokers)
        for (std::size_t i = 0; i < invoker->run_lines.size(); ++i) {
            if (invoker->runs[i].second != hex16(100)) continue;
            const int remaining = remaining_ms(invoker->run_lines[i]);
            EXPECT_LE(remaining,
                      (waiting_client.connected_at + 2900ms + remaining_time_tolerance - invoker->runs[i].first) / 1ms);
        }
}

// The configuration file is replaced, and SIGHUP sent, while the program starts and reads a long old configuration: the
// program must keep running and apply the new one.
TEST_F(ProcessSignals, ReloadDuringStartupIsApplied) {
    constexpr int new_discovery_host = 10;
    const std::string old_config = long_config();
    ScriptedDiscovery old_discovery(loop, host(discovery_host)), new_discovery(loop, host(new_discovery_host));

    add_both_invokers();
    for (int i = 0; i < 12; ++i) {
        start(old_config);
        const int after_ms = 6 * i + 4;
        std::this_thread::sleep_for(std::chrono::milliseconds(after_ms));
        const std::string new_file = config_path() + ".new";
        std::ofstream(new_file) << replaced(old_config, host(discovery_host), host(new_discovery_host));
        std::filesystem::rename(new_file, config_path());
        process->signal(SIGHUP);
        const std::size_t previous_subscriptions = new_discovery.subscriptions.size();
        run(loop.now() - ready_at + 600ms);
        ASSERT_FALSE(process->ended()) << "ended by signal " << process->ended()->code << ", signalled " << after_ms
                                       << " ms after its start";
        EXPECT_GT(new_discovery.subscriptions.size(), previous_subscriptions)
            << "signalled " << after_ms << " ms after its start";
    }
}

}  // namespace
}  // namespace plumkeel::platform
