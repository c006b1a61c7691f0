/// Gateway: connection failures, disconnects and deadlines must neither lose a request nor let it take effect twice.
#include "tests/gateway_fixture.hpp"

namespace plumkeel::gateway {
namespace {

TEST_F(GatewayTest, RespondsAndReusesTheInvokersConnection) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    start_gateway();
    ScriptedClient& client = add_client(10ms, request("p", "") + request("p"));
    loop.run(5s);
    EXPECT_EQ(client.count("plumkeel-outcome: honoured"), 2) << client.received;
    EXPECT_EQ(client.count("well"), 2);
    EXPECT_EQ(invoker.attempts.size(), 2u);
    EXPECT_EQ(invoker.connections, 1);
    EXPECT_GE(status_count("lines", "reused"), 1);
}

/// A way in which the first attempt of a request fails, and whether the request is retried.
struct AttemptFailure {
    Behaviour failure;
    std::string request_class;
    bool is_retried;
};
void PrintTo(const AttemptFailure& failure, std::ostream* out) {
    *out << "failure " << static_cast<int>(failure.failure) << ", request class " << failure.request_class;
}
class AttemptFailureTest : public GatewayTest, public testing::WithParamInterface<AttemptFailure> {};
TEST_P(AttemptFailureTest, IsRetriedOnlyWhereARetryIsHarmless) {
    ScriptedInvoker& a = add_invoker({GetParam().failure, Behaviour::responds});
    ScriptedInvoker& b = add_invoker({GetParam().failure, Behaviour::responds});
    start_gateway();
    ScriptedClient& client = add_client(10ms, request(GetParam().request_class));
    loop.run(10s);
    EXPECT_EQ(client.count("HTTP/1.1 "), 1) << client.received;
    if (GetParam().is_retried) {
        EXPECT_EQ(client.count("plumkeel-outcome: honoured"), 1) << client.received;
        EXPECT_GE(attempt_count(), 2u);
    } else {
        EXPECT_EQ(client.count("plumkeel-outcome: written-off"), 1) << client.received;
        EXPECT_EQ(a.attempts.size() + b.attempts.size(), 1u);
    }
}
INSTANTIATE_TEST_SUITE_P(
    All, AttemptFailureTest,
    testing::Values(
        AttemptFailure{Behaviour::resets, "p", true}, AttemptFailure{Behaviour::resets, "r", true},
        AttemptFailure{Behaviour::resets, "s", false}, AttemptFailure{Behaviour::sends_half_head, "p", true},
        AttemptFailure{Behaviour::sends_half_head, "r", true}, AttemptFailure{Behaviour::sends_half_head, "s", false},
        AttemptFailure{Behaviour::sends_half_body, "p", true}, AttemptFailure{Behaviour::sends_half_body, "r", true},
        AttemptFailure{Behaviour::sends_half_body, "s", false}, AttemptFailure{Behaviour::sends_bare_503, "s", false},
        AttemptFailure{Behaviour::rejects, "s", true}, AttemptFailure{Behaviour::rejects, "r", true}));

TEST_F(GatewayTest, AFailedConnectIsRetriedForAtMostOnceRequests) {
    config.endpoint_source.fixed.push_back({"dead", "dead:1", "a", "k", 1, 0});
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    start_gateway();
    for (int i = 0; i < 6; ++i) add_client(10ms * (i + 1), request("s"));
    loop.run(10s);
    for (const auto& client : clients) EXPECT_EQ(client->count("plumkeel-outcome: honoured"), 1) << client->received;
    EXPECT_EQ(invoker.attempts.size(), 6u);
}

// The invoker closes idle connections shortly before, while or after the next attempt is sent on them.
TEST_F(GatewayTest, AnIdleConnectionMayCloseAsAnAttemptIsSentOnIt) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    invoker.closes_after = 5ms;
    start_gateway();
    Time at = 10ms;
    for (int i = 0; i < 200; ++i) {
        for (const char* kind : {"p", "s", "r"}) add_client(at, request(kind));
        at += 15ms + Time(i * 11);
    }
    loop.run(60s);
    for (const auto& client : clients) EXPECT_EQ(client->count("HTTP/1.1 "), 1) << client->received;
    // Attempts of at-most-once requests are sent on fresh connections, so none of these requests fails.
    for (std::size_t i = 1; i < clients.size(); i += 3)
        EXPECT_EQ(clients[i]->count("plumkeel-outcome: honoured"), 1) << clients[i]->received;
    // A few idempotent requests may use up their attempts.
    EXPECT_GT(status_count("jobs", "honoured"), 580) << gateway->status();
    EXPECT_EQ(status_count("jobs", "written_off"), 0);
}

TEST_F(GatewayTest, AHangingInvokerLeadsToOneResponseBeforeTheDeadline) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::hangs});
    start_gateway();
    ScriptedClient& at_most_once_client = add_client(10ms, request("s"));
    ScriptedClient& idempotent_client = add_client(20ms, request("p", "Connection: close\r\n", "work", 1000));
    loop.run(20s);
    EXPECT_EQ(at_most_once_client.count("plumkeel-outcome: written-off"), 1) << at_most_once_client.received;
    EXPECT_LT(at_most_once_client.last_received_at, 4010ms);
    EXPECT_GT(at_most_once_client.last_received_at, 3900ms);
    EXPECT_EQ(idempotent_client.count("plumkeel-outcome: bounced"), 1) << idempotent_client.received;
    EXPECT_LT(idempotent_client.last_received_at, 1020ms);
    EXPECT_GE(invoker.cancelled, 1);
}

// Responses arrive from 15 ms before the request's deadline to 5 ms after it.
TEST_F(GatewayTest, AResponseAtTheDeadlineGivesOneFinalResponse) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    invoker.response_time = 500ms;
    start_gateway();
    std::vector<ScriptedClient*> deadline_clients;
    for (int offset_us = -15000; offset_us <= 5000; offset_us += 100)
        deadline_clients.push_back(
            &add_client(1s + 2s * ((offset_us + 15000) / 100), request("s", "Connection: close\r\n", "w", 500)));
    std::size_t round = 0;
    for (int offset_us = -15000; offset_us <= 5000; offset_us += 100, ++round)
        loop.call_at(900ms + 2s * static_cast<int>(round),
                     [&invoker, offset_us] { invoker.response_time = 500ms + Time(offset_us); });
    loop.run(10min);
    int succeeded = 0, failed = 0;
    for (const ScriptedClient* client : deadline_clients) {
        EXPECT_EQ(client->count("HTTP/1.1 "), 1) << client->received;
        succeeded += client->count("plumkeel-outcome: honoured");
        failed += client->count("plumkeel-outcome: written-off");
    }
    EXPECT_GT(succeeded, 0);
    EXPECT_GT(failed, 0);
    EXPECT_EQ(succeeded + failed, static_cast<int>(deadline_clients.size()));
}

TEST_F(GatewayTest, ADisconnectedClientCancelsItsAttempt) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::hangs});
    start_gateway();
    add_client(10ms, request("p"), 300ms);
    loop.run(1s);
    EXPECT_EQ(invoker.attempts.size(), 1u);
    EXPECT_EQ(invoker.cancelled, 1);
    EXPECT_EQ(status_count("jobs", "client_left"), 1);
    EXPECT_EQ(status_count("jobs", "open"), 0);
    EXPECT_EQ(status_count("door", "held_bytes"), 0);
}

TEST_F(GatewayTest, ADisconnectInTheBodyCreatesNoRequest) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    start_gateway();
    std::string text = request("p", "", std::string(100, 'b'));
    add_client(10ms, text.substr(0, text.size() - 50), 300ms);
    loop.run(5s);
    EXPECT_EQ(invoker.attempts.size(), 0u);
    EXPECT_EQ(status_count("jobs", "taken"), 0);
    EXPECT_EQ(status_count("door", "connections"), 0);
}

TEST_F(GatewayTest, LateResponsesAreDiscardedAndCounted) {
    config.capabilities.cancellation = false;
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    invoker.response_time = 600ms;
    start_gateway();
    ScriptedClient& client = add_client(10ms, request("s", "Connection: close\r\n", "w", 300));
    loop.run(3s);
    EXPECT_EQ(client.count("HTTP/1.1 "), 1);
    EXPECT_EQ(client.count("well"), 0);
    EXPECT_EQ(status_count("jobs", "written_off"), 1);
}

TEST_F(GatewayTest, LargeResponsesStreamAndATruncatedOneEndsInAReset) {
    add_invoker({Behaviour::sends_large, Behaviour::truncates_large});
    start_gateway();
    ScriptedClient& first_client = add_client(10ms, request("p"));
    ScriptedClient& second_client = add_client(2s, request("p"));
    loop.run(30s);
    EXPECT_EQ(first_client.count("Transfer-Encoding: chunked"), 1) << first_client.received.substr(0, 300);
    EXPECT_EQ(first_client.count("\r\n0\r\n\r\n"), 1);
    EXPECT_GT(first_client.received.size(), 400'000u);
    EXPECT_EQ(second_client.count("\r\n0\r\n\r\n"), 0);
    EXPECT_TRUE(second_client.was_reset);
    EXPECT_EQ(status_count("jobs", "streamed"), 2);
    EXPECT_EQ(status_count("jobs", "open"), 0);
}

TEST_F(GatewayTest, AClientThatReadsNothingIsDisconnectedAndItsMemoryReleased) {
    config.admission.unread_timeout = 2s;
    config.pool.stream_buffer_bytes = 64 * 1024;
    add_invoker({Behaviour::sends_large});
    start_gateway();
    ScriptedClient& client = add_client(10ms, request("p"), 20s, false);
    loop.run(30s);
    EXPECT_TRUE(client.has_ended);
    EXPECT_EQ(rejection_count("unread_answer"), 1);
    EXPECT_EQ(status_count("jobs", "open"), 0);
    EXPECT_EQ(status_count("door", "connections"), 0);
}

TEST_F(GatewayTest, AReplayWithOtherCapabilitiesShowsTheFirstDifference) {
    add_invoker({Behaviour::resets, Behaviour::responds});
    add_invoker({Behaviour::resets, Behaviour::responds});
    start_gateway();
    add_client(10ms, request("p"));
    loop.run(5s);
    trace::Replayer replayer([](trace::SchedulerSettings& start) { start.capabilities.max_attempts = 1; });
    for (const trace::Record& record : trace) replayer.feed(record);
    const trace::Comparison comparison = replayer.compare();
    ASSERT_TRUE(comparison.first);
    EXPECT_EQ(comparison.first->record.type, trace::RecordType::attempt_ended);
    EXPECT_NE(comparison.first->recorded.find("sends attempt 1 of request 1 to"), std::string::npos)
        << comparison.first->recorded;
    EXPECT_NE(comparison.first->replayed.find("request 1 is rejected"), std::string::npos)
        << comparison.first->replayed;
    EXPECT_EQ(comparison.different_requests, 1u);
}

}  // namespace
}  // namespace plumkeel::gateway
