/// Reconnects of the discovery watch, and complete lists that omit an invoker in use.
#include <set>

#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

class DiscoveryReconnect : public PlatformTest {};

// A complete list omits an invoker with attempts in flight: they are awaited, and no new ones are sent to it.
TEST_F(DiscoveryReconnect, SnapshotWithoutAnInvokerAwaitsItsAttempts) {
    ScriptedInvoker& removed_invoker = add_invoker();
    ScriptedInvoker& remaining_invoker = add_invoker();
    removed_invoker.service_time = remaining_invoker.service_time = 300ms;
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(config_with_invokers(2, "256"));
    for (std::uint64_t i = 1; i <= 40; ++i) add_long_deadline_request(10ms * static_cast<int>(i), i);
    loop.call_at(200ms, [&] { discovery_server.send(frame(discovery_server.last_event = 2, 1, {{2, "10.0.0.2"}})); });
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 40u);
    EXPECT_GT(removed_invoker.runs.size(), 0u);
    for (const auto& [at, id] : removed_invoker.runs) EXPECT_LE(at, 201ms) << id;
}

// Controllers that lose their watch at the same moment must not reconnect at the same time.
TEST_F(DiscoveryReconnect, ControllersDoNotReconnectInStep) {
    PlatformConfig watch_config = load_platform_config(write_config(default_config));
    watch_config.gateway.log.file = "/dev/null";
    Log silent_log(loop, watch_config.gateway.log);
    auto discovery_server = std::make_unique<ScriptedDiscovery>(loop, "10.9.0.1");
    std::vector<std::unique_ptr<discovery::Watcher>> watchers;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        watchers.push_back(std::make_unique<discovery::Watcher>(
            loop, silent_log, watch_config.labels, watch_config.discovery, 1, [](const discovery::WatchEvent&) {},
            seed));
        watchers.back()->start();
    }
    loop.run(500ms);
    ASSERT_EQ(discovery_server->subscriptions.size(), 30u);
    discovery_server->listener->close();
    for (const auto& stream : discovery_server->streams) stream->close();
    loop.run(2s);
    ScriptedDiscovery restarted_server(loop, "10.9.0.1");
    loop.run(3500ms);  // the longest backoff with jitter is 1.2 s
    ASSERT_EQ(restarted_server.subscriptions.size(), 30u);
    std::set<Time> reconnect_times;
    for (const auto& [at, number] : restarted_server.subscriptions) reconnect_times.insert(at);
    EXPECT_GE(reconnect_times.size(), 20u);
}

// An overloaded server sends the first event of a connection after 2.5 s: the silence timeout must grow, or the watch
// would never receive an event.
TEST_F(DiscoveryReconnect, WaitsForASlowServer) {
    add_invoker(), add_invoker();
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    discovery_server.subscribe_delay = 2500ms;
    open();
    loop.run(12s);
    EXPECT_TRUE(server->watcher().confirmed_at());
    EXPECT_LE(discovery_server.subscriptions.size(), 3u);
}

// The events of a stopped watch count as received 4 s after the stop, so a watcher must be listening again by then.
constexpr Time stale_limit = 4s;

class SilentDiscovery : public DiscoveryReconnect {
protected:
    SilentDiscovery() {
        watch_config = load_platform_config(write_config(default_config));
        watch_config.gateway.log.file = "/dev/null";
        silent_log = std::make_unique<Log>(loop, watch_config.gateway.log);
    }
    discovery::Watcher& start_watcher(std::uint64_t seed, const std::string& host = "10.9.0.1") {
        const net::Address address{host, 2379};
        auto& watcher = watchers.emplace_back(std::make_unique<discovery::Watcher>(
            loop, *silent_log, watch_config.labels, address, 1, [](const discovery::WatchEvent&) {}, seed));
        watcher->start();
        return *watcher;
    }
    /// Lets the server fall silent: open connections stay open, and so do those that are made meanwhile.
    static void silence(ScriptedDiscovery& discovery_server) {
        discovery_server.is_silent = true;
        for (auto& stream : discovery_server.streams) discovery_server.silent_streams.push_back(stream);
        discovery_server.streams.clear();
        discovery_server.stream.reset();
    }
    static std::size_t open_connections(const ScriptedDiscovery& discovery_server) {
        return static_cast<std::size_t>(std::count_if(discovery_server.silent_streams.begin(),
                                                      discovery_server.silent_streams.end(),
                                                      [](const auto& stream) { return !stream->peer_closed(); }));
    }

    PlatformConfig watch_config;
    std::unique_ptr<Log> silent_log;
    std::vector<std::unique_ptr<discovery::Watcher>> watchers;
};

// Guards against a stale list after an outage of any length: a watch that was opened in it never sends anything, and
// the next one must not wait for its end.
TEST_F(SilentDiscovery, AWatcherListensAgainSoonAfterAnOutage) {
    std::vector<std::unique_ptr<ScriptedDiscovery>> servers;
    std::vector<std::optional<Time>> confirmed(60);
    for (std::size_t i = 0; i < confirmed.size(); ++i) {
        const std::string host = "10.9.1." + std::to_string(i + 1);
        ScriptedDiscovery& discovery_server = *servers.emplace_back(std::make_unique<ScriptedDiscovery>(loop, host));
        discovery_server.tells_at_once = true;
        const discovery::Watcher& watcher = start_watcher(i + 1, host);
        loop.call_at(3s, [&discovery_server] { silence(discovery_server); });
        const Time over_at = 5s + 500ms * static_cast<int>(i);
        loop.call_at(over_at, [&discovery_server] { discovery_server.is_silent = false; });
        loop.call_at(over_at + stale_limit, [&confirmed, &watcher, i] { confirmed[i] = watcher.confirmed_at(); });
    }
    loop.run(45s);
    for (std::size_t i = 0; i < confirmed.size(); ++i) {
        ASSERT_TRUE(confirmed[i]);
        EXPECT_GT(*confirmed[i], 5s + 500ms * static_cast<int>(i)) << "outage of " << 2000 + 500 * i << " ms";
    }
}

// Guards against a server that is never received because each connection to it is given up too early: after an outage
// it takes 3.4 s to its first event.
TEST_F(SilentDiscovery, ASlowServerIsReceivedAfterAnOutage) {
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    discovery_server.tells_at_once = true;
    const discovery::Watcher& watcher = start_watcher(1);
    loop.run(3s);
    silence(discovery_server);
    loop.run(23s);
    discovery_server.is_silent = false;
    discovery_server.subscribe_delay = 3400ms;
    loop.run(23s + stale_limit + discovery_server.subscribe_delay);
    EXPECT_GT(*watcher.confirmed_at(), 23s);
}

// Guards against giving up a slow server at a new address: its first event takes 3.4 s and must be received then.
TEST_F(SilentDiscovery, ASlowServerAtANewAddressIsReceivedAtItsFirstEvent) {
    ScriptedDiscovery old_server(loop, "10.9.0.1"), new_server(loop, "10.9.0.2");
    new_server.subscribe_delay = 3400ms;
    new_server.tells_at_once = true;
    discovery::Watcher& watcher = start_watcher(1);
    loop.run(20s);
    watcher.set_address({"10.9.0.2", 2379});
    loop.run(20s + new_server.subscribe_delay + 10ms);
    EXPECT_GT(*watcher.confirmed_at(), 20s);
}

// Guards against a wait that an earlier outage has made longer: the first watch at a new address is dead.
TEST_F(SilentDiscovery, ADeadWatchAtANewAddressIsReplacedSoon) {
    ScriptedDiscovery old_server(loop, "10.9.0.1"), new_server(loop, "10.9.0.2");
    new_server.tells_at_once = new_server.is_silent = true;
    discovery::Watcher& watcher = start_watcher(1);
    loop.run(3s);
    silence(old_server);
    loop.run(20s);
    watcher.set_address({"10.9.0.2", 2379});
    loop.call_at(20s + 100ms, [&] { new_server.is_silent = false; });
    loop.run(20s + stale_limit);
    EXPECT_GT(*watcher.confirmed_at(), 20s);
}

// Controllers whose watch falls silent at the same moment must not reconnect at the same time.
TEST_F(SilentDiscovery, WatchersOfASilentServerDoNotReconnectInStep) {
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    for (std::uint64_t seed = 1; seed <= 30; ++seed) start_watcher(seed);
    loop.run(500ms);
    for (const auto& stream : discovery_server.streams) ScriptedInvoker::write(stream, frame(1, 0));
    silence(discovery_server);
    loop.run(3s);
    ASSERT_EQ(discovery_server.subscriptions.size(), 60u);
    std::set<Time> reconnect_times;
    for (const auto& [at, number] : discovery_server.subscriptions)
        if (at > 500ms) reconnect_times.insert(at);
    EXPECT_GE(reconnect_times.size(), 20u);
}

// The connections that wait for a silent server are bounded, at any time and in number.
TEST_F(SilentDiscovery, OpensFewConnectionsInALongOutage) {
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    start_watcher(1);
    loop.run(3s);
    silence(discovery_server);
    std::size_t most_open = 0;
    for (Time now = 3s; now <= 63s; now += 100ms) {
        loop.run(now);
        most_open = std::max(most_open, open_connections(discovery_server));
    }
    EXPECT_LE(most_open, discovery::Watcher::max_subscriptions + 1);  // one may be about to be closed
    EXPECT_LE(discovery_server.subscriptions.size(), 36u);            // at least 1.8 s lie between two of them
}

/// An event loop that counts the connects.
class CountingEventLoop : public net::SimulatedEventLoop {
public:
    Task<ConnectResult> connect(net::Address to, Time timeout) override {
        ++connects;
        return SimulatedEventLoop::connect(std::move(to), timeout);
    }
    int connects{};
};

// Guards against connecting without a pause: the server refuses connections while a silent watch is still open.
TEST(RefusedConnects, AreSpacedOutBesideASilentWatch) {
    CountingEventLoop loop;
    PlatformConfig watch_config = load_platform_config(write_config(default_config));
    watch_config.gateway.log.file = "/dev/null";
    Log silent_log(loop, watch_config.gateway.log);
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    discovery::Watcher watcher(
        loop, silent_log, watch_config.labels, watch_config.discovery, 1, [](const discovery::WatchEvent&) {}, 1);
    watcher.start();
    loop.run(3s);
    discovery_server.sends_heartbeats = false;
    discovery_server.listener->close();
    loop.run(15s);
    EXPECT_GE(loop.connects, 5);
    EXPECT_LE(loop.connects, 35);  // the backoff grows to 0.4 s or more within 0.6 s
}

// Watchers whose address changes at any time during a disconnect, backoff or reconnect soon subscribe at the new
// address.
TEST_F(DiscoveryReconnect, FollowsAnAddressChangeAtAnyInstant) {
    PlatformConfig watch_config = load_platform_config(write_config(default_config));
    watch_config.gateway.log.file = "/dev/null";
    Log silent_log(loop, watch_config.gateway.log);
    auto old_server = std::make_unique<ScriptedDiscovery>(loop, "10.9.0.1");
    std::vector<std::unique_ptr<discovery::Watcher>> watchers;
    std::vector<std::optional<Time>> confirmed_after_move(160);
    for (std::uint64_t i = 0; i < confirmed_after_move.size(); ++i) {
        watchers.push_back(std::make_unique<discovery::Watcher>(
            loop, silent_log, watch_config.labels, watch_config.discovery, 1, [](const discovery::WatchEvent&) {},
            i + 1));
        watchers.back()->start();
    }
    ScriptedDiscovery new_server(loop, "10.9.0.2");
    loop.call_at(1s, [&] {
        old_server->listener->close();
        for (const auto& stream : old_server->streams) stream->close();
    });
    for (std::size_t i = 0; i < watchers.size(); ++i) {
        const Time moved_at = 900ms + 20ms * static_cast<int>(i) + 50us * static_cast<int>(i % 7);
        loop.call_at(moved_at, [&, i] { watchers[i]->set_address({"10.9.0.2", 2379}); });
        loop.call_at(moved_at + 1200ms, [&, i] { confirmed_after_move[i] = watchers[i]->confirmed_at(); });
    }
    loop.call_at(1ms, [&] { new_server.sends_heartbeats = false; });
    // The new server sends a heartbeat to every subscriber each 50 ms.
    std::function<void()> send_heartbeat = [&] {
        for (const auto& stream : new_server.streams) ScriptedInvoker::write(stream, frame(1, 0));
        if (loop.now() < 8s) loop.call_at(loop.now() + 50ms, send_heartbeat);
    };
    send_heartbeat();
    loop.run(8s);
    EXPECT_GE(new_server.subscriptions.size(), watchers.size());
    for (std::size_t i = 0; i < watchers.size(); ++i) {
        const Time moved_at = 900ms + 20ms * static_cast<int>(i);
        EXPECT_TRUE(confirmed_after_move[i] && *confirmed_after_move[i] > moved_at) << "moved at " << moved_at.count();
    }
}

}  // namespace
}  // namespace plumkeel::platform
