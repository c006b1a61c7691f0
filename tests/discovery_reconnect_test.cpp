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
