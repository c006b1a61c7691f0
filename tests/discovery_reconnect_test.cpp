/// The platform's watch of discovery while it reconnects, and snapshots that leave out an invoker in use.
#include <set>

#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

class DiscoveryReconnect : public PlatformTest {};

// A snapshot leaves out an invoker with attempts in flight: they are awaited, and nothing new is sent there.
TEST_F(DiscoveryReconnect, SnapshotWithoutAnInvokerAwaitsItsAttempts) {
    ScriptedInvoker& a = add_invoker();
    ScriptedInvoker& b = add_invoker();
    a.service_time = b.service_time = 300ms;
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(config_with_invokers(2, "256"));
    for (std::uint64_t i = 1; i <= 40; ++i) add_long_deadline_request(10ms * static_cast<int>(i), i);
    loop.call_at(200ms, [&] { discovery_server.send(frame(discovery_server.last_event = 2, 1, {{2, "10.0.0.2"}})); });
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 40u);
    EXPECT_GT(a.runs.size(), 0u);
    for (const auto& [at, id] : a.runs) EXPECT_LE(at, 201ms) << id;
}

// Thirty controllers lose their watch at the same moment: they do not reconnect in step.
TEST_F(DiscoveryReconnect, ControllersDoNotReconnectInStep) {
    PlatformConfig watch_config = load_platform_config(write_config(default_config));
    watch_config.gateway.log.file = "/dev/null";
    Log silent_log(loop, watch_config.gateway.log);
    auto discovery_server = std::make_unique<ScriptedDiscovery>(loop, "10.9.0.1");
    std::vector<std::unique_ptr<discovery::Watcher>> all;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        all.push_back(std::make_unique<discovery::Watcher>(
            loop, silent_log, watch_config.labels, watch_config.discovery, 1, [](const discovery::WatchEvent&) {},
            seed));
        all.back()->start();
    }
    loop.run(500ms);
    ASSERT_EQ(discovery_server->subscriptions.size(), 30u);
    discovery_server->listener->close();
    for (const auto& stream : discovery_server->streams) stream->close();
    loop.run(2s);
    ScriptedDiscovery again(loop, "10.9.0.1");
    loop.run(3500ms);  // the longest backoff is 1.2 s; those that receive nothing reconnect again later
    ASSERT_EQ(again.subscriptions.size(), 30u);
    std::set<Time> moments;
    for (const auto& [at, number] : again.subscriptions) moments.insert(at);
    EXPECT_GE(moments.size(), 20u);
}

// An overloaded server sends nothing on a connection for its first 2.5 s. A client that always gives up sooner would
// never receive an event.
TEST_F(DiscoveryReconnect, WaitsForASlowServer) {
    add_invoker(), add_invoker();
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    discovery_server.subscribe_delay = 2500ms;
    open();
    loop.run(12s);
    EXPECT_TRUE(server->watcher().confirmed_at());
    EXPECT_LE(discovery_server.subscriptions.size(), 3u);
}

// The address changes at every moment of a disconnect, backoff and reconnect: the new one is soon subscribed to.
TEST_F(DiscoveryReconnect, FollowsAnAddressChangeAtAnyInstant) {
    PlatformConfig watch_config = load_platform_config(write_config(default_config));
    watch_config.gateway.log.file = "/dev/null";
    Log silent_log(loop, watch_config.gateway.log);
    auto old = std::make_unique<ScriptedDiscovery>(loop, "10.9.0.1");
    std::vector<std::unique_ptr<discovery::Watcher>> all;
    std::vector<std::optional<Time>> confirmed_after_move(160);
    for (std::uint64_t i = 0; i < confirmed_after_move.size(); ++i) {
        all.push_back(std::make_unique<discovery::Watcher>(
            loop, silent_log, watch_config.labels, watch_config.discovery, 1, [](const discovery::WatchEvent&) {},
            i + 1));
        all.back()->start();
    }
    ScriptedDiscovery fresh(loop, "10.9.0.2");
    loop.call_at(1s, [&] {
        old->listener->close();
        for (const auto& stream : old->streams) stream->close();
    });
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Time moves = 900ms + 20ms * static_cast<int>(i) + 50us * static_cast<int>(i % 7);
        loop.call_at(moves, [&, i] { all[i]->set_address({"10.9.0.2", 2379}); });
        loop.call_at(moves + 1200ms, [&, i] { confirmed_after_move[i] = all[i]->confirmed_at(); });
    }
    loop.call_at(1ms, [&] { fresh.sends_heartbeats = false; });
    // It sends a heartbeat to each subscriber as it connects.
    std::function<void()> send_heartbeat = [&] {
        for (const auto& stream : fresh.streams) ScriptedInvoker::write(stream, frame(1, 0));
        if (loop.now() < 8s) loop.call_at(loop.now() + 50ms, send_heartbeat);
    };
    send_heartbeat();
    loop.run(8s);
    EXPECT_GE(fresh.subscriptions.size(), all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Time moves = 900ms + 20ms * static_cast<int>(i);
        EXPECT_TRUE(confirmed_after_move[i] && *confirmed_after_move[i] > moves) << "moved at " << moves.count();
    }
}

}  // namespace
}  // namespace plumkeel::platform
