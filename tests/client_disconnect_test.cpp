/// A client aborts its request or closes its connection at every stage of the request. The scripts force the order of
/// events; docs/design/021-endings.md lists the cases.
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

std::string without_cancellation(const std::string& text) {
    return replaced(text, R"("may_cancel":true)", R"("may_cancel":false)");
}

bool has_run(const ScriptedInvoker& invoker, std::uint64_t id) {
    return std::any_of(invoker.runs.begin(), invoker.runs.end(),
                       [&](const auto& run) { return run.second == hex16(id); });
}

enum class Disconnect { abort_request, close_connection };

struct DisconnectCase {
    Disconnect how;
    bool may_cancel;
};

class ClientDisconnect : public PlatformTest, public testing::WithParamInterface<DisconnectCase> {
protected:
    void open_with(const std::string& text) { open(GetParam().may_cancel ? text : without_cancellation(text)); }
    // Adds a request on a connection of its own, which the client aborts or closes `after` connecting at `when`.
    ScriptedClient& add_leaving_client(Time when, std::uint64_t id, Time after, const std::string& body = "") {
        ScriptedClient& it = add_client(when, {{0ms, request_text(1, id, body)}});
        loop.call_at(when + 200us + after, [&it, this] {
            if (GetParam().how == Disconnect::abort_request)
                ScriptedInvoker::write(it.stream, record(2, 1, ""));
            else
                it.stream->close();
        });
        return it;
    }
};

// All eight connections are busy, so the ninth request is queued; its client disconnects before a connection is free.
TEST_P(ClientDisconnect, WhileQueuedForAConnection) {
    ScriptedInvoker& invoker = add_invoker({InvokerBehaviour::never_respond});
    open_with(replaced(replaced(config_with_long_deadlines(), R"("sockets":256)", R"("sockets":64)"),
                       R"("streams_per_conn":32)", R"("streams_per_conn":1)"));
    for (std::uint64_t i = 1; i <= 8; ++i) add_client(10ms, {{0ms, request_text(1, i)}});
    add_leaving_client(20ms, 9, 10ms);
    add_client(25ms, {{0ms, request_text(1, 10)}});
    loop.run(50ms);
    ASSERT_EQ(invoker.runs.size(), 8u);
    invoker.script = {InvokerBehaviour::respond};
    ScriptedInvoker::write(invoker.streams[0], invoker.runs[0].second + " data n=reused 2\r\nok\r\n");
    loop.run(500ms);
    EXPECT_FALSE(has_run(invoker, 9));
    EXPECT_TRUE(has_run(invoker, 10));  // the request queued behind the cancelled one
}

// The client disconnects while the connection to the invoker is being established.
TEST_P(ClientDisconnect, WhileConnecting) {
    ScriptedInvoker& invoker = add_invoker({InvokerBehaviour::respond});
    open_with(config_with_long_deadlines());
    add_leaving_client(10ms, 1, 50us);
    loop.run(300ms);
    EXPECT_FALSE(has_run(invoker, 1));
    EXPECT_TRUE(invoker.stops.empty());
}

TEST_P(ClientDisconnect, WhileParked) {
    ScriptedInvoker& invoker = add_invoker({InvokerBehaviour::respond});
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open_with(replaced(config_with_long_deadlines(), R"("state":"up")", R"("state":"draining")"));
    add_leaving_client(10ms, 1, 10ms);
    add_client(10ms, {{0ms, request_text(1, 2)}});
    loop.run(50ms);
    discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.1"}}));
    loop.run(2s);
    EXPECT_FALSE(has_run(invoker, 1));
    EXPECT_TRUE(has_run(invoker, 2));
}

TEST_P(ClientDisconnect, BetweenAttempts) {
    ScriptedInvoker& invoker =
        add_invoker({InvokerBehaviour::reject, InvokerBehaviour::reject, InvokerBehaviour::respond});
    open_with(config_with_long_deadlines());
    add_leaving_client(10ms, 1, 30ms);  // the first attempt is rejected after 20 ms
    add_client(10ms, {{0ms, request_text(1, 2)}});
    loop.run(5s);
    EXPECT_EQ(
        std::count_if(invoker.runs.begin(), invoker.runs.end(), [](const auto& run) { return run.second == hex16(1); }),
        1);
    EXPECT_GE(
        std::count_if(invoker.runs.begin(), invoker.runs.end(), [](const auto& run) { return run.second == hex16(2); }),
        2);
}

TEST_P(ClientDisconnect, WhileInFlight) {
    ScriptedInvoker& invoker = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    open_with(config_with_long_deadlines());
    add_leaving_client(10ms, 1, 30ms);
    loop.run(100ms);
    ASSERT_TRUE(has_run(invoker, 1));
    EXPECT_EQ(invoker.stops.size(), GetParam().may_cancel ? 1u : 0u);
    invoker.streams[0]->reset();  // would cause a retry if the request were still open
    loop.run(3s);
    EXPECT_EQ(invoker.runs.size(), 1u);
}

// The first attempt fills the socket's buffer, so that the second one has not begun to be written.
class FullSocket : public ClientDisconnect {
protected:
    static std::string one_connection() {
        std::string text = replaced(config_with_long_deadlines(), R"("sockets":256)", R"("sockets":64)"), more;
        for (int i = 2; i <= 6; ++i)
            more += R"(,{"uid":"s-0000000)" + std::to_string(i) + R"(","endpoint":"10.0.0.)" + std::to_string(i) +
                    R"(:7001","az":"a","model":"k","pod_group":0,"state":"draining","capacity_hint":5,"boot_ms":0})";
        return text.insert(text.find("]}}]}"), more);
    }
    const std::string large = std::string(16'000, 'x');
};

TEST_P(FullSocket, ClientDisconnects) {
    ScriptedInvoker& invoker = add_invoker({InvokerBehaviour::respond});
    invoker.starts_reading_at = 90ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open_with(one_connection());
    ScriptedClient& first = add_client(10ms, {{0ms, request_text(1, 1, large)}});
    ScriptedClient& second = add_client(30ms, {{0ms, request_text(1, 2, large)}});
    ScriptedClient& third = add_client(40ms, {{0ms, request_text(1, 3)}});
    loop.call_at(60ms, [&] {
        if (GetParam().how == Disconnect::abort_request)
            ScriptedInvoker::write(second.stream, record(2, 1, ""));
        else
            second.stream->close();
    });
    loop.run(3s);
    EXPECT_EQ(invoker.connections, 1);
    EXPECT_EQ(first.response(1).status(), "200");
    EXPECT_EQ(third.response(1).status(), "200");
    EXPECT_FALSE(has_run(invoker, 2));
    EXPECT_TRUE(invoker.stops.empty());  // an attempt that was never sent needs no STOP
}

// Discovery reports that the invoker drains while the second attempt waits behind a full socket.
TEST_P(FullSocket, InvokerDrains) {
    ScriptedInvoker& invoker = add_invoker({InvokerBehaviour::respond});
    invoker.starts_reading_at = 90ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open_with(one_connection());
    ScriptedClient& first = add_client(10ms, {{0ms, request_text(1, 1, large)}});
    add_client(30ms, {{0ms, request_text(1, 2, large)}});
    loop.call_at(60ms, [&] {
        discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.1", 7001, 1}}));
    });
    loop.run(3s);
    EXPECT_EQ(first.response(1).status(), "200");
    EXPECT_FALSE(has_run(invoker, 2));
}

// More than 64 KiB of responses are pending, since the client does not read: its disconnect must still be noticed.
TEST_P(ClientDisconnect, WhileResponsesAreUnread) {
    ScriptedInvoker& invoker = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    loop.limit_buffer({"10.1.0.1", 7001}, 8000);
    invoker.response_body = std::string(16'000, 'a');
    open_with(config_with_long_deadlines());
    std::string text;
    for (int i = 1; i <= 7; ++i) text += request_text(i, static_cast<std::uint64_t>(i));
    ScriptedClient& client = add_client(10ms, {{0ms, text}}, false);
    loop.run(200ms);
    ASSERT_EQ(invoker.runs.size(), 7u);
    ASSERT_EQ(server->gateway().status().at("jobs").at("open").to_number<int>(), 1);
    ScriptedInvoker::write(
        client.stream, record(9, 0, params_of({{"FCGI_MAX_CONNS", ""}})));  // parsed after the responses were queued
    loop.run(220ms);
    if (GetParam().how == Disconnect::abort_request)
        ScriptedInvoker::write(client.stream, record(2, 1, ""));
    else
        client.stream->close();
    loop.run(300ms);
    EXPECT_EQ(invoker.stops.size(), GetParam().may_cancel ? 1u : 0u);
    EXPECT_EQ(server->gateway().status().at("jobs").at("open").to_number<int>(), 0);
}

std::vector<DisconnectCase> disconnect_cases() {
    return {{Disconnect::abort_request, true},
            {Disconnect::close_connection, true},
            {Disconnect::abort_request, false},
            {Disconnect::close_connection, false}};
}

std::string name_of(const testing::TestParamInfo<DisconnectCase>& info) {
    return std::string(info.param.how == Disconnect::abort_request ? "Aborts" : "Closes") +
           (info.param.may_cancel ? "" : "WithoutCancellation");
}

INSTANTIATE_TEST_SUITE_P(All, ClientDisconnect, testing::ValuesIn(disconnect_cases()), name_of);

INSTANTIATE_TEST_SUITE_P(All, FullSocket, testing::ValuesIn(disconnect_cases()), name_of);

}  // namespace
}  // namespace plumkeel::platform
