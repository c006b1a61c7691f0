/// Gateway: invokers that drain while requests are open, and the shutdown of the gateway.
#include "tests/gateway_fixture.hpp"

namespace plumkeel::gateway {
namespace {

class GatewayEndpointsTest : public GatewayTest {};

TEST_F(GatewayEndpointsTest, ADrainingInvokerFinishesWhatWasSentAndReturnsWhatWasQueued) {
    config.pool.max_connections = 1;
    config.endpoint_source.consul = "list:1";
    ScriptedConsul consul(loop);
    ScriptedInvoker& a = add_invoker({Behaviour::responds});
    a.response_time = 1s;
    config.endpoint_source.fixed.clear();
    consul.set({ScriptedConsul::entry("i1")});
    start_gateway();
    ScriptedClient& in_flight = add_client(100ms, request("s"));
    std::string request_for_g = request("s");
    // Another function, because a second request for f would be parked until f is loaded.
    request_for_g.replace(request_for_g.find("jobs/f"), 6, "jobs/g");
    ScriptedClient& queued = add_client(150ms, request_for_g);
    loop.call_at(300ms, [&] { consul.set({ScriptedConsul::entry("i1", true)}); });
    ScriptedInvoker& b = add_invoker({Behaviour::responds});
    loop.call_at(700ms, [&] { consul.set({ScriptedConsul::entry("i1", true), ScriptedConsul::entry("i2")}); });
    loop.run(10s);
    // The request in flight ends at the draining invoker; the queued request was never sent and goes to invoker b.
    EXPECT_EQ(in_flight.count("plumkeel-outcome: honoured"), 1) << in_flight.received;
    EXPECT_EQ(queued.count("plumkeel-outcome: honoured"), 1) << queued.received;
    EXPECT_EQ(a.attempts.size(), 1u);
    EXPECT_EQ(b.attempts.size(), 1u);
    EXPECT_EQ(status_count("hops", nullptr), 3);
}

TEST_F(GatewayEndpointsTest, ShutDownFinishesOpenRequestsAndAdmitsNoMore) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    invoker.response_time = 800ms;
    start_gateway();
    ScriptedClient& open_request = add_client(100ms, request("s", ""));
    ScriptedClient& idle = add_client(100ms, "", 10s);
    ScriptedClient& later = add_client(400ms, request("p"));
    Time drained_at{};
    loop.call_at(300ms, [&] { gateway->close([&] { drained_at = loop.now(); }); });
    loop.run(5s);
    EXPECT_EQ(open_request.count("plumkeel-outcome: honoured"), 1) << open_request.received;
    EXPECT_EQ(open_request.count("Connection: close"), 1);
    EXPECT_EQ(later.received, "");
    EXPECT_TRUE(idle.has_ended);
    EXPECT_LT(idle.ended_at, 2s);
    EXPECT_GT(drained_at, 900ms);
    EXPECT_LT(drained_at, 2s);
}

}  // namespace
}  // namespace plumkeel::gateway
