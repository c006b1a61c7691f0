/// Gateway: invokers that drain while requests are open, and the shutdown of the gateway.
#include "tests/gateway_fixture.hpp"

namespace plumkeel::gateway {
namespace {

/// A Consul agent whose list of invokers is set by the test.
struct ScriptedConsul {
    net::SimulatedEventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::string body;
    int index = 1;
    net::Notification changed;

    explicit ScriptedConsul(net::SimulatedEventLoop& event_loop)
        : loop(event_loop), listener(event_loop.listen({"list", 1}).listener), changed(event_loop) {
        loop.spawn(run());
    }
    static std::string entry(const std::string& name, bool draining = false) {
        return fmt::format(
            R"({{"Node":{{"Address":"{0}"}},"Service":{{"ID":"{0}","Port":1}},"Checks":[{{"Status":"{1}"}}]}})", name,
            draining ? "critical" : "passing");
    }
    void set(const std::vector<std::string>& entries) {
        body = "[";
        for (const auto& entry : entries) body += (body.size() > 1 ? "," : "") + entry;
        body += "]";
        ++index;
        changed.notify();
    }
    Task<> run() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            http::ReadBuffer buffer(accepted.stream);
            RequestParser parser;
            co_await read_request(buffer, parser);
            const bool is_up_to_date = parser.get().target().find(fmt::format("index={}&", index)) != std::string::npos;
            if (is_up_to_date) co_await changed.wait();
            write_text(accepted.stream,
                       fmt::format("HTTP/1.1 200 OK\r\nX-Consul-Index: {}\r\nContent-Length: {}\r\n\r\n{}", index,
                                   body.size(), body));
            accepted.stream->shutdown_send();
            co_await loop.sleep(1ms);
        }
    }
};

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
