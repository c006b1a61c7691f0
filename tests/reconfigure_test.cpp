/// Events in the configuration file that a controller reads at SIGHUP: those that it has not received yet are applied
/// at once, also while the discovery service is slow, and older ones undo nothing.
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

constexpr std::uint64_t requests_per_phase = 60;

struct Target {
    int number;
    std::string state = "up";
    std::int64_t started_at_ms = 0;
};

/// An event of the file. `is_complete`: the whole list.
std::string notice(std::uint64_t number, bool is_complete, const std::vector<Target>& targets) {
    std::string entries;
    for (const Target& target : targets)
        entries += fmt::format(
            R"({}{{"uid":"s-{:08x}","endpoint":"10.0.0.{}:7001","az":"a","model":"k","pod_group":0,"state":"{}","capacity_hint":5,"boot_ms":{}}})",
            entries.empty() ? "" : ",", target.number, target.number, target.state, target.started_at_ms);
    return fmt::format(R"({{"rev":{},"pool":{{"rev":{},"all":{},"targets":[{}]}}}})", number, number, is_complete,
                       entries);
}

/// The default configuration with these events, and the discovery service at a new address.
PlatformConfig config_with_events(const std::string& notices, const std::string& discovery_host = "10.9.0.2") {
    std::string text = replaced(default_config, "10.9.0.1", discovery_host);
    const auto begin = text.find(R"("notices":[)") + std::string(R"("notices":[)").size();
    const auto end = text.find("]}}]}", begin) + std::string("]}}").size();
    return load_platform_config(write_config(text.replace(begin, end - begin, notices)));
}

class Reconfigure : public PlatformTest {
protected:
    Reconfigure() : discovery_server(loop, "10.9.0.1"), slow_server(loop, "10.9.0.2") {
        slow_server.subscribe_delay = 7s;
        for (int i = 0; i < 3; ++i) add_invoker();
        open();
    }
    /// Plays requests to many functions for `duration`, and returns how many attempts the invoker got meanwhile.
    std::size_t runs_during(Time duration, int invoker) {
        const std::size_t before = runs(invoker);
        const Time start = loop.now();
        for (std::uint64_t i = 0; i < requests_per_phase; ++i) {
            const Time offset = duration * static_cast<int>(i) / static_cast<int>(requests_per_phase);
            ++last_id;
            add_request(start + offset, last_id, hex16(last_id % 12));
        }
        loop.run(start + duration);
        return runs(invoker) - before;
    }
    std::size_t runs(int invoker) const { return invokers[static_cast<std::size_t>(invoker - 1)]->runs.size(); }

    ScriptedDiscovery discovery_server, slow_server;
    std::uint64_t last_id{};
};

// Guards against work for a drained invoker while the new discovery service is slow: the drain stood in the file, which
// was read for the address alone.
TEST_F(Reconfigure, ADrainInTheWholeListOfTheFileIsKept) {
    EXPECT_GT(runs_during(1s, 1), 0u);
    server->reconfigure(config_with_events(notice(2, true, {{1, "draining"}, {2}})));
    EXPECT_EQ(runs_during(4s, 1), 0u);
    EXPECT_EQ(server->watcher().last_event_number(), 2u);
    loop.run(loop.now() + 3s);
    EXPECT_EQ(succeeded_requests(), last_id);
}

// The same where the file holds the list of the start and the changes since.
TEST_F(Reconfigure, ADrainInAChangeOfTheFileIsKept) {
    EXPECT_GT(runs_during(1s, 1), 0u);
    server->reconfigure(config_with_events(notice(1, true, {{1}, {2}}) + "," + notice(2, false, {{1, "draining"}}) +
                                           "," + notice(3, false, {{3}})));
    EXPECT_EQ(runs_during(4s, 1), 0u);
    EXPECT_GT(runs(3), 0u);
    EXPECT_EQ(server->watcher().last_event_number(), 3u);
}

// The same where the invoker is gone: as an entry, or from the whole list.
TEST_F(Reconfigure, AnInvokerThatIsGoneInTheFileGetsNothing) {
    EXPECT_GT(runs_during(1s, 1), 0u);
    EXPECT_GT(runs_during(1s, 2), 0u);
    server->reconfigure(
        config_with_events(notice(1, true, {{1}, {2}}) + "," + notice(2, false, {{1, "removed"}, {3}})));
    EXPECT_EQ(runs_during(2s, 1), 0u);
    server->reconfigure(config_with_events(notice(3, true, {{3}})));
    EXPECT_EQ(runs_during(2s, 2), 0u);
    EXPECT_GT(runs(3), 0u);
}

// Guards against an address that is changed alone: the file matters also where discovery stays where it is.
TEST_F(Reconfigure, ADrainIsKeptWhereTheAddressStays) {
    EXPECT_GT(runs_during(1s, 1), 0u);
    server->reconfigure(config_with_events(notice(2, true, {{1, "draining"}, {2}}), "10.9.0.1"));
    EXPECT_EQ(runs_during(2s, 1), 0u);
}

TEST_F(Reconfigure, AnOlderFileUndoesNothing) {
    loop.run(100ms);
    discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.1", 7001, 1}}));
    discovery_server.send(frame(discovery_server.last_event = 3, 2, {{3, "10.0.0.3"}}));
    loop.run(200ms);
    ASSERT_EQ(server->watcher().last_event_number(), 3u);
    server->reconfigure(config_with_events(notice(1, true, {{1}, {2}})));
    server->reconfigure(config_with_events(notice(2, true, {{1}, {2}})));
    server->reconfigure(config_with_events(notice(3, true, {{1}, {2}})));
    EXPECT_EQ(runs_during(2s, 1), 0u);
    EXPECT_GT(runs(3), 0u);
    EXPECT_EQ(server->watcher().last_event_number(), 3u);
}

// A file whose events do not continue from those received may lack changes: its list is not a whole one.
TEST_F(Reconfigure, EventsBehindAGapAreLeftToTheService) {
    loop.run(100ms);
    server->reconfigure(config_with_events(notice(5, false, {{3}})));
    EXPECT_EQ(server->watcher().last_event_number(), 1u);
    server->reconfigure(config_with_events(notice(2, false, {{3}})));
    EXPECT_EQ(server->watcher().last_event_number(), 2u);
    EXPECT_GT(runs_during(1s, 1), 0u) << "a change removes no other invoker";
    EXPECT_GT(runs(3), 0u);
}

// The service is asked from the file's last event on, and what it tells again is applied once.
TEST_F(Reconfigure, TheServiceMayTellTheSameEventsAgain) {
    slow_server.subscribe_delay = 500ms;
    loop.run(100ms);
    server->reconfigure(config_with_events(notice(2, true, {{1, "draining"}, {2}})));
    loop.run(1s);
    ASSERT_EQ(slow_server.subscriptions.size(), 1u);
    EXPECT_EQ(slow_server.subscriptions[0].second, 2u);
    slow_server.send(frame(1, 1, {{1, "10.0.0.1"}, {2, "10.0.0.2"}}));
    slow_server.send(frame(2, 2, {{1, "10.0.0.1", 7001, 1}}));
    slow_server.send(frame(slow_server.last_event = 3, 2, {{3, "10.0.0.3"}}));
    EXPECT_EQ(runs_during(2s, 1), 0u);
    EXPECT_GT(runs(3), 0u);
    EXPECT_EQ(server->watcher().last_event_number(), 3u);
}

// An invoker that the file adds is slow-started like one that the service adds.
TEST(ReconfigureSlowStart, AnInvokerThatTheFileAddsIsSlowStarted) {
    const auto runs_of_added = [](bool by_file) {
        net::SimulatedEventLoop own_loop;
        ScriptedDiscovery own_discovery(own_loop, "10.9.0.1");
        std::vector<std::unique_ptr<ScriptedInvoker>> own_invokers;
        for (int i = 1; i <= 3; ++i)
            own_invokers.push_back(std::make_unique<ScriptedInvoker>(
                own_loop, "10.0.0." + std::to_string(i), std::vector<InvokerBehaviour>{InvokerBehaviour::respond}));
        PlatformConfig own_config = load_platform_config(write_config(default_config));
        own_config.gateway.log.file = "/dev/null";
        Log own_log(own_loop, own_config.gateway.log);
        PlatformServer own_server(own_loop, own_config, own_log);
        EXPECT_FALSE(own_server.open());
        std::vector<std::unique_ptr<ScriptedClient>> own_clients;
        for (std::uint64_t i = 1; i <= 1200; ++i)
            own_clients.push_back(std::make_unique<ScriptedClient>(
                own_loop, Time(2500 * static_cast<int>(i)),
                std::vector<std::pair<Time, std::string>>{{0ms, message(1, request_fields(hex16(i), hex16(i)))}}));
        own_loop.run(1s);
        own_loop.call_at(1s, [&] {
            if (by_file)
                own_server.reconfigure(config_with_events(notice(2, true, {{1}, {2}, {3, "up", 1000}}), "10.9.0.1"));
            else
                own_discovery.send(frame(own_discovery.last_event = 2, 2, {{3, "10.0.0.3", 7001, 0, 1000}}));
        });
        own_loop.run(3s);
        return own_invokers[2]->runs.size();
    };
    const std::size_t added_by_service = runs_of_added(false), added_by_file = runs_of_added(true);
    EXPECT_GT(added_by_service, 0u);
    EXPECT_NEAR(static_cast<double>(added_by_file), static_cast<double>(added_by_service), 2);
}

// A file with an invalid entry changes neither the list nor the address.
TEST_F(Reconfigure, AFileWithAnInvalidEntryIsRejected) {
    for (const std::string& invalid :
         {replaced(notice(2, true, {{1, "draining"}}), "10.0.0.1:7001", "10.0.0.1"),
          replaced(notice(2, true, {{1, "draining"}}), R"("rev":2,"pool")", R"("rev":"2","pool")"),
          notice(2, true, {{1, "draining"}}) + R"(,{"pool":{}})"})
        EXPECT_THROW(config_with_events(invalid), platform_settings::SettingsError);
}

}  // namespace
}  // namespace plumkeel::platform
