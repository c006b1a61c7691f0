// The discovery watch of a platform server in virtual time: duplicate, missing and malformed events, silent and closed
// connections, a new address, and the limit on known invokers.
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

class DiscoveryTest : public PlatformTest {};

TEST_F(DiscoveryTest, IgnoresInvokersOverTheLimitUntilOthersAreRemoved) {
    max_invokers = 4;
    ScriptedDiscovery discovery(loop, "10.9.0.1");
    open();
    add_invoker(), add_invoker();
    loop.run(100ms);
    std::vector<EndpointEntry> rows;
    for (std::uint32_t i = 3; i < 50; ++i) rows.push_back({i, "10.0.0." + std::to_string(i)});
    discovery.send(frame(2, 2, rows));
    loop.run(1s);
    const auto known_invoker_count = [&] { return server->gateway().estimates().size(); };
    EXPECT_EQ(known_invoker_count(), 4u);
    for (int i = 0; i < 5; ++i) add_request(1s + i * 100ms, static_cast<std::uint64_t>(i) + 1);
    // Removes two invokers; once they are forgotten, others are accepted when they are listed again.
    discovery.send(frame(3, 2, {{3, "10.0.0.3", 7001, 2}, {4, "10.0.0.4", 7001, 2}}));
    loop.run(12s);
    discovery.send(frame(4, 2, {{5, "10.0.0.5"}, {6, "10.0.0.6"}, {7, "10.0.0.7"}}));
    loop.run(13s);
    EXPECT_EQ(known_invoker_count(), 4u);
    EXPECT_EQ(succeeded_requests(), 5u) << "requests to the known invokers must succeed";
}

TEST_F(DiscoveryTest, ResubscribesFromTheLastEventAfterDuplicatesGapsDisconnectsAndSilence) {
    ScriptedDiscovery discovery(loop, "10.9.0.1");
    open();
    loop.run(500ms);
    ASSERT_EQ(discovery.subscriptions.size(), 1u);
    EXPECT_EQ(discovery.subscriptions[0].second, 1u);
    discovery.last_event = 2;
    const std::string second_event = frame(2, 2, {{3, "10.0.0.3"}});
    discovery.send(second_event + second_event);  // the second copy is a duplicate
    loop.run(600ms);
    EXPECT_EQ(server->watcher().last_event_number(), 2u);
    discovery.send(frame(4, 2, {{4, "10.0.0.4"}}));  // the third event is missing
    loop.run(1s);
    ASSERT_EQ(discovery.subscriptions.size(), 2u);
    EXPECT_EQ(discovery.subscriptions[1].second, 2u);
    discovery.last_event = 4;
    discovery.send(frame(3, 2, {{3, "10.0.0.3", 7001, 2}}) + frame(4, 2, {{4, "10.0.0.4"}}).substr(0, 20));
    loop.run(1100ms);
    discovery.stream->close();  // closes in the middle of a frame
    loop.run(1500ms);
    ASSERT_EQ(discovery.subscriptions.size(), 3u);
    EXPECT_EQ(discovery.subscriptions[2].second, 3u);
    discovery.sends_heartbeats = false;  // keeps the connection open and silent
    const Time silent_since = loop.now();
    loop.run(silent_since + 3s);
    ASSERT_GE(discovery.subscriptions.size(), 4u);
    EXPECT_LE(discovery.subscriptions[3].first - silent_since, 3s);
    discovery.send(frame(9, 1, {{9, "10.0.0.9"}}));  // a complete list replaces the missing events
    loop.run(loop.now() + 100ms);
    EXPECT_EQ(server->watcher().last_event_number(), 9u);
}

TEST_F(DiscoveryTest, ResubscribesAfterAMalformedFrame) {
    for (const std::string& malformed :
         {std::string("\xff\xff\xff\xff", 4), big_endian(3, 4), big_endian(9, 4) + big_endian(2, 8) + "\5",
          big_endian(12, 4) + big_endian(2, 8) + "\2abc"}) {
        net::SimulatedEventLoop own_loop;
        ScriptedDiscovery discovery(own_loop, "10.9.0.1");
        PlatformConfig own_config = load_platform_config(write_config(default_config));
        own_config.gateway.log.file = "/dev/null";
        Log own_log(own_loop, own_config.gateway.log);
        plumkeel::discovery::Watcher watcher(
            own_loop, own_log, own_config.labels, own_config.discovery, 1,
            [](const plumkeel::discovery::WatchEvent&) {}, 7);
        watcher.start();
        own_loop.run(500ms);
        discovery.send(malformed);
        own_loop.run(1s);
        EXPECT_EQ(discovery.subscriptions.size(), 2u);
    }
}

TEST_F(DiscoveryTest, ReconfigurationMovesToTheNewAddressAndContinuesTheEventNumbers) {
    ScriptedDiscovery old_server(loop, "10.9.0.1"), new_server(loop, "10.9.0.2");
    open();
    loop.run(500ms);
    old_server.last_event = 2;
    old_server.send(frame(2, 2, {{3, "10.0.0.3"}}));
    loop.run(600ms);
    server->reconfigure(load_platform_config(write_config(replaced(default_config, "10.9.0.1", "10.9.0.2"))));
    loop.run(800ms);
    ASSERT_EQ(new_server.subscriptions.size(), 1u);
    EXPECT_EQ(new_server.subscriptions[0].second, 2u);
    EXPECT_EQ(old_server.subscriptions.size(), 1u);
}

}  // namespace
}  // namespace plumkeel::platform
