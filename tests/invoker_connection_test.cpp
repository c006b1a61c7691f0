/// Connections to invokers: invalid responses, connection limits, address changes, failed and delayed writes. The
/// scripts force the order of events; docs/design/021-endings.md and 031-crossings.md list the cases.
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

class InvokerConnection : public PlatformTest {};

class InvalidResponse : public PlatformTest, public testing::WithParamInterface<InvokerBehaviour> {};

TEST_P(InvalidResponse, IsNotForwardedAndEveryRequestHasOneResponse) {
    for (int i = 0; i < 2; ++i) {
        std::vector<InvokerBehaviour> script;
        for (int n = 0; n < 12; ++n) script.push_back(n % 3 == 1 ? GetParam() : InvokerBehaviour::respond);
        script.push_back(InvokerBehaviour::respond);
        add_invoker(script);
    }
    open();
    for (std::uint64_t i = 1; i <= 40; ++i) add_request(10ms * static_cast<int>(i), i);
    loop.run(20s);
    EXPECT_GE(succeeded_requests(), GetParam() == InvokerBehaviour::never_respond ? 32u : 40u);
    for (const auto& [id, it] : expected_requests)
        if (it->response(1).status() == "200") {
            EXPECT_EQ(it->response(1).body(), ScriptedInvoker::response_body_for(id));
        }
}

INSTANTIATE_TEST_SUITE_P(All, InvalidResponse,
                         testing::Values(InvokerBehaviour::garbage_first, InvokerBehaviour::endless_line,
                                         InvokerBehaviour::length_too_small, InvokerBehaviour::length_too_large,
                                         InvokerBehaviour::length_over_limit, InvokerBehaviour::truncate,
                                         InvokerBehaviour::reset, InvokerBehaviour::stall_midway,
                                         InvokerBehaviour::respond_twice, InvokerBehaviour::unsolicited_first,
                                         InvokerBehaviour::never_respond, InvokerBehaviour::reject,
                                         InvokerBehaviour::fail));

struct ExposedPool : gateway::ConnectionPool {
    using gateway::ConnectionPool::connect_failure_cause;
};

// Other connect errors must not mark the invoker unreachable, which would discard the knowledge of its loaded
// functions.
TEST(ConnectError, OnlyRefusalOrTimeoutMeansUnreachable) {
    namespace error = net::asio::error;
    for (const net::Error& unreachable_error :
         {net::Error(error::connection_refused), net::Error(error::timed_out), net::Error(error::host_unreachable)})
        EXPECT_EQ(ExposedPool::connect_failure_cause(unreachable_error), delivery::StopCause::no_connection);
    for (const net::Error& local_error :
         {net::Error(error::connection_reset), net::Error(error::no_descriptors), net::Error(error::broken_pipe),
          net::Error(error::no_buffer_space), net::Error(error::operation_aborted),
          net::Error(error::network_unreachable)}) {
        EXPECT_EQ(ExposedPool::connect_failure_cause(local_error), delivery::StopCause::connection_lost);
        EXPECT_EQ(
            delivery::outcome_of(delivery::Progress::not_connected, ExposedPool::connect_failure_cause(local_error)),
            AttemptOutcome::never_sent);
    }
}

// With a limit of eight connections for twenty invokers, an idle connection is closed to connect to another invoker.
TEST_F(InvokerConnection, IdleConnectionMakesRoomForAnotherInvoker) {
    for (int i = 0; i < 20; ++i) add_invoker();
    open(config_with_invokers(20, "64"));
    for (std::uint64_t i = 1; i <= 300; ++i) add_request(30ms * static_cast<int>(i), i, hex16(i));
    loop.run(30s);
    EXPECT_EQ(succeeded_requests(), 300u);
    std::size_t used_invokers = 0;
    for (const auto& each : invokers) used_invokers += !each->runs.empty();
    EXPECT_GT(used_invokers, 9u);  // more invokers than connections allowed at a time
}

// When all connections have calls in flight, an invoker without a connection gets the first one that becomes idle.
TEST_F(InvokerConnection, FreedConnectionIsGivenToAWaitingInvoker) {
    for (int i = 0; i < 20; ++i) add_invoker({InvokerBehaviour::never_respond});
    open(config_with_invokers(20, "64"));
    std::vector<ScriptedClient*> all_clients;
    for (std::uint64_t i = 1; i <= 30; ++i) all_clients.push_back(&add_client(10ms, {{0ms, request_text(1, i)}}));
    loop.run(200ms);
    std::size_t open_connections = 0;
    const std::size_t runs_before = total_runs();
    for (const auto& each : invokers) open_connections += static_cast<std::size_t>(each->open_connections);
    ASSERT_EQ(open_connections, 8u);
    ASSERT_LT(runs_before, 30u);
    for (const auto& each : invokers) {
        each->script = {InvokerBehaviour::respond};
        for (const auto& run : each->runs)
            ScriptedInvoker::write(each->streams[0], run.second + " data n=reused 2\r\nok\r\n");
    }
    loop.run(2s);
    EXPECT_EQ(total_runs(), 30u);
    for (ScriptedClient* each : all_clients) EXPECT_EQ(each->response(1).status(), "200");
}

// Discovery reports a new address while the connection to the old one is being established: unsent attempts go to the
// new address, since another invoker may have the old one.
TEST_F(InvokerConnection, AddressChangeWhileConnectingMovesUnsentAttempts) {
    ScriptedInvoker& old_invoker = add_invoker();
    ScriptedInvoker& new_invoker = add_invoker();
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(config_with_long_deadlines());
    loop.run(5ms);
    add_request(10ms, 1);
    loop.call_at(10'300us, [&] {
        discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.2"}}));
    });  // sent at 10.3 ms, received at 10.4 ms
    loop.run(2s);
    EXPECT_TRUE(old_invoker.runs.empty());
    EXPECT_EQ(new_invoker.runs.size(), 1u);
    EXPECT_EQ(succeeded_requests(), 1u);
}

// After an address change, attempts in flight at the old address are awaited there, and no new ones are sent to it.
TEST_F(InvokerConnection, AddressChangeAwaitsInFlightAttempts) {
    ScriptedInvoker& old_invoker = add_invoker();
    ScriptedInvoker& new_invoker = add_invoker();
    old_invoker.service_time = 500ms;
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(config_with_long_deadlines());
    add_long_deadline_request(10ms, 1), add_long_deadline_request(200ms, 2);
    loop.call_at(100ms, [&] { discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.2"}})); });
    loop.run(2s);
    EXPECT_EQ(old_invoker.runs.size(), 1u);
    EXPECT_EQ(new_invoker.runs.size(), 1u);
    EXPECT_EQ(succeeded_requests(), 2u);
    EXPECT_EQ(old_invoker.open_connections, 0);
}

// Less than 1 ms remains until the deadline when the connection is established: no attempt is sent.
class SlowConnect : public PlatformTest, public testing::WithParamInterface<const char*> {
protected:
    SlowConnect() : PlatformTest(1ms) {}  // connecting takes 2 ms
};

TEST_P(SlowConnect, SendsNothingWithoutRemainingTime) {
    ScriptedInvoker& invoker = add_invoker();
    invoker.service_time = 0ms;
    open(replaced(config_with_long_deadlines(), R"("quantum":1.0)", R"("quantum":0.01)"));
    auto fields = request_fields(hex16(1), hex16(1));
    fields[2].second = GetParam();
    ScriptedClient& client = add_client(10ms, {{0ms, message(1, fields)}});
    loop.run(3s);
    EXPECT_EQ(invoker.connections, 1);
    EXPECT_TRUE(invoker.runs.empty());
    EXPECT_EQ(client.response(1).end_records, 1);
}

INSTANTIATE_TEST_SUITE_P(All, SlowConnect, testing::Values("2.1", "2.5", "2.9"),
                         [](const auto& each) { return "Budget" + std::to_string(each.index); });

// The connection is reset while an idempotent request is in flight: the request is retried at once.
TEST_F(InvokerConnection, ResetRetriesAnIdempotentRequest) {
    ScriptedInvoker& first_invoker = add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    ScriptedInvoker& second_invoker = add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    open();
    add_request(10ms, 1);
    loop.run(3s);
    EXPECT_EQ(succeeded_requests(), 1u);
    EXPECT_EQ(first_invoker.runs.size() + second_invoker.runs.size(), 2u);
}

// The connection is reset at the moment at which an at-most-once request is written to it: the request never ran, so it
// is sent again.
TEST_F(InvokerConnection, FailedWriteCountsAsNeverSent) {
    ScriptedInvoker& invoker = add_invoker();
    open(replaced(config_with_long_deadlines(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    add_long_deadline_request(10ms, 1);
    ScriptedClient& second_client = add_client(20ms, {});
    expected_requests.emplace_back(hex16(2), &second_client);
    loop.run(100ms);
    ASSERT_EQ(invoker.streams.size(), 1u);
    loop.call_at(110ms, [&] {
        ScriptedInvoker::write(second_client.stream,
                               request_text(1, 2, "work"));  // arrives at the same time as the reset, before it
        invoker.streams[0]->reset();
    });
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 2u);
    EXPECT_EQ(invoker.runs.size(), 2u);
}

// A client disconnects while its attempt is partly written to an invoker that does not read. The attempt must not be
// completed later, since it would run without a client.
TEST_F(InvokerConnection, PartiallyWrittenAttemptDoesNotStartAfterItsClientLeft) {
    ScriptedInvoker& invoker = add_invoker();
    invoker.starts_reading_at = 500ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open(config_with_long_deadlines());
    ScriptedClient& leaving_client = add_client(10ms, {{0ms, request_text(1, 1, std::string(16'000, 'x'))}});
    ScriptedClient& staying_client = add_client(20ms, {{0ms, request_text(1, 2, "work")}});
    loop.call_at(60ms, [&] { leaving_client.stream->close(); });
    loop.run(5s);
    for (const auto& [at, id] : invoker.runs) EXPECT_NE(id, hex16(1)) << "started at " << at.count() << " us";
    EXPECT_EQ(staying_client.response(1).status(), "200");
}

// An attempt is delayed because the invoker does not read: the remaining time in its RUN line must not exceed the time
// that remains on arrival by more than 150 ms.
TEST_F(InvokerConnection, DelayedAttemptStatesNoMoreThanTheRemainingTime) {
    ScriptedInvoker& invoker = add_invoker();
    invoker.starts_reading_at = 500ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open(config_with_long_deadlines());
    add_client(10ms, {{0ms, message(1, request_fields(hex16(1), hex16(1), 3000), std::string(16'000, 'x'))}});
    loop.run(8s);
    ASSERT_EQ(invoker.runs.size(), invoker.run_lines.size());
    for (std::size_t i = 0; i < invoker.runs.size(); ++i) {
        const int patience = std::stoi(invoker.run_lines[i].substr(invoker.run_lines[i].find("patience=") + 9));
        EXPECT_LE(patience, (10ms + 3000ms + 150ms - invoker.runs[i].first) / 1ms) << invoker.run_lines[i];
    }
}

// An invoker sends the rejection of an attempt twice, and the next attempt of the request is sent to it in between. The
// second rejection must not end that attempt: a third attempt would take effect a second time.
TEST_F(InvokerConnection, SecondResponseIsNotTakenForTheNextAttempt) {
    ScriptedInvoker& invoker =
        add_invoker({InvokerBehaviour::respond, InvokerBehaviour::reject_twice, InvokerBehaviour::respond});
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(replaced(config_with_long_deadlines(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    const std::string function = hex16(7);
    add_client(10ms, {{0ms, message(1, request_fields(hex16(1), function, 60000))}});
    add_client(100ms, {{0ms, message(1, request_fields(hex16(2), function, 60000))}});
    loop.call_at(122ms, [&] { discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.1"}})); });
    loop.run(5s);
    ASSERT_GE(invoker.runs.size(), 3u);
    EXPECT_LT(invoker.runs[2].first, 124ms);  // the second attempt arrived between the two rejections
    EXPECT_EQ(invoker.runs.size(), 3u);
}

// The controller's own network fails for a moment: no invoker is considered restarted or in slow start afterwards.
TEST_F(InvokerConnection, LocalNetworkErrorDoesNotTriggerSlowStart) {
    add_invoker(), add_invoker();
    open(replaced(default_config, R"("cold":1000.0)", R"("cold":16000.0)"));
    const auto fail = [&](net::Error error) {
        for (const char* each : {"10.0.0.1", "10.0.0.2"}) loop.fail_connects({each, 7001}, error);
    };
    fail(net::asio::error::network_unreachable);
    for (std::uint64_t i = 1; i <= 20; ++i) add_request(10ms * static_cast<int>(i), i, hex16(i));
    loop.call_at(400ms, [&] { fail({}); });
    for (std::uint64_t i = 21; i <= 60; ++i) add_request(1s + 50ms * static_cast<int>(i), i, hex16(i));
    loop.run(2s);
    for (const auto& row : server->gateway().estimates()) EXPECT_FALSE(row.as_object().contains("slow_start"));
    loop.run(10s);
    EXPECT_GE(succeeded_requests(), 40u);
}

// The thread stalls between the decision to send a request and the write: the RUN line states the time that remains
// after the stall.
TEST_F(InvokerConnection, StallBeforeSendingReducesTheRemainingTime) {
    ScriptedInvoker& invoker = add_invoker();
    open(config_with_long_deadlines());
    ScriptedClient& client = add_client(10ms, {{0ms, message(1, request_fields(hex16(1), hex16(1), 3000))}});
    bool stalled = false;
    on_record = [&](const trace::Record& record) {
        if (record.request == 0 || std::exchange(stalled, true)) return;
        loop.stall(1s);
    };
    loop.run(5s);
    ASSERT_TRUE(stalled);
    ASSERT_EQ(invoker.run_lines.size(), 1u);
    const int patience = std::stoi(invoker.run_lines[0].substr(invoker.run_lines[0].find("patience=") + 9));
    EXPECT_LE(patience, 2000 + 150);
    EXPECT_EQ(client.response(1).status(), "200");
}

}  // namespace
}  // namespace plumkeel::platform
