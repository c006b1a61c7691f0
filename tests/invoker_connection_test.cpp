/// Connections to invokers of the platform: invalid responses, connection limits, address changes, failed and delayed
/// writes. The scripts force the order of events; docs/design/021-endings.md and 031-crossings.md list the cases.
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

// A connection that is reset while connecting does not mean that the machine is gone, with all functions loaded there.
TEST(ConnectError, OnlyRefusalOrTimeoutMeansUnreachable) {
    namespace error = net::asio::error;
    for (const net::Error& nobody :
         {net::Error(error::connection_refused), net::Error(error::timed_out), net::Error(error::host_unreachable)})
        EXPECT_EQ(ExposedPool::connect_failure_cause(nobody), delivery::StopCause::no_connection);
    for (const net::Error& here : {net::Error(error::connection_reset), net::Error(error::no_descriptors),
                                   net::Error(error::broken_pipe), net::Error(error::no_buffer_space),
                                   net::Error(error::operation_aborted), net::Error(error::network_unreachable)}) {
        EXPECT_EQ(ExposedPool::connect_failure_cause(here), delivery::StopCause::connection_lost);
        EXPECT_EQ(delivery::outcome_of(delivery::Progress::not_connected, ExposedPool::connect_failure_cause(here)),
                  AttemptOutcome::never_sent);
    }
}

// Eight connections for twenty invokers: an idle one is closed for an invoker without any.
TEST_F(InvokerConnection, IdleConnectionMakesRoomForAnotherInvoker) {
    for (int i = 0; i < 20; ++i) add_invoker();
    open(config_with_invokers(20, "64"));
    for (std::uint64_t i = 1; i <= 300; ++i) add_request(30ms * static_cast<int>(i), i, hex16(i));
    loop.run(30s);
    EXPECT_EQ(succeeded_requests(), 300u);
    std::size_t used = 0;
    for (const auto& each : invokers) used += !each->runs.empty();
    EXPECT_GT(used, 9u);  // more than there may be connections
}

// All connections have calls in flight: the next invoker waits for the first that becomes idle, not for its deadline.
TEST_F(InvokerConnection, FreedConnectionIsGivenToAWaitingInvoker) {
    for (int i = 0; i < 20; ++i) add_invoker({InvokerBehaviour::never_respond});
    open(config_with_invokers(20, "64"));
    std::vector<ScriptedClient*> all;
    for (std::uint64_t i = 1; i <= 30; ++i) all.push_back(&add_client(10ms, {{0ms, request_text(1, i)}}));
    loop.run(200ms);
    std::size_t open_connections = 0;
    const std::size_t before = total_runs();
    for (const auto& each : invokers) open_connections += static_cast<std::size_t>(each->open_connections);
    ASSERT_EQ(open_connections, 8u);
    ASSERT_LT(before, 30u);
    for (const auto& each : invokers) {
        each->script = {InvokerBehaviour::respond};
        for (const auto& run : each->runs)
            ScriptedInvoker::write(each->streams[0], run.second + " data n=reused 2\r\nok\r\n");
    }
    loop.run(2s);
    EXPECT_EQ(total_runs(), 30u);
    for (ScriptedClient* each : all) EXPECT_EQ(each->response(1).status(), "200");
}

// Discovery reports another address while the connection to the old one is being made: what is unsent goes to the new
// one, since another invoker may be at the old one by now.
TEST_F(InvokerConnection, AddressChangeWhileConnectingMovesUnsentAttempts) {
    ScriptedInvoker& old = add_invoker();
    ScriptedInvoker& fresh = add_invoker();
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(config_with_long_deadlines());
    loop.run(5ms);
    add_request(10ms, 1);
    loop.call_at(10'300us, [&] {
        discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.2"}}));
    });  // sent at 10.3, received at 10.4
    loop.run(2s);
    EXPECT_TRUE(old.runs.empty());
    EXPECT_EQ(fresh.runs.size(), 1u);
    EXPECT_EQ(succeeded_requests(), 1u);
}

// What is in flight at the old address is awaited there, and nothing new is sent to it.
TEST_F(InvokerConnection, AddressChangeAwaitsInFlightAttempts) {
    ScriptedInvoker& old = add_invoker();
    ScriptedInvoker& fresh = add_invoker();
    old.service_time = 500ms;
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(config_with_long_deadlines());
    add_long_deadline_request(10ms, 1), add_long_deadline_request(200ms, 2);
    loop.call_at(100ms, [&] { discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.2"}})); });
    loop.run(2s);
    EXPECT_EQ(old.runs.size(), 1u);
    EXPECT_EQ(fresh.runs.size(), 1u);
    EXPECT_EQ(succeeded_requests(), 2u);
    EXPECT_EQ(old.open_connections, 0);
}

// The deadline is near when the connection is made: an attempt needs a whole millisecond.
class SlowConnect : public PlatformTest, public testing::WithParamInterface<const char*> {
protected:
    SlowConnect() : PlatformTest(1ms) {}  // a connection takes 2 ms to come up
};

TEST_P(SlowConnect, SendsNothingWithoutRemainingTime) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 0ms;
    open(replaced(config_with_long_deadlines(), R"("quantum":1.0)", R"("quantum":0.01)"));
    auto fields = job_fields(hex16(1), hex16(1));
    fields[2].second = GetParam();
    ScriptedClient& one = add_client(10ms, {{0ms, message(1, fields)}});
    loop.run(3s);
    EXPECT_EQ(only.connections, 1);
    EXPECT_TRUE(only.runs.empty());
    EXPECT_EQ(one.response(1).times, 1);
}

INSTANTIATE_TEST_SUITE_P(All, SlowConnect, testing::Values("2.1", "2.5", "2.9"),
                         [](const auto& each) { return "Budget" + std::to_string(each.index); });

// The connection is reset under an idempotent request: it is retried at once, and its timeout is not awaited.
TEST_F(InvokerConnection, ResetRetriesAnIdempotentRequest) {
    ScriptedInvoker& a = add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    ScriptedInvoker& b = add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    open();
    add_request(10ms, 1);
    loop.run(3s);
    EXPECT_EQ(succeeded_requests(), 1u);
    EXPECT_EQ(a.runs.size() + b.runs.size(), 2u);
}

// The connection is reset at the moment at which an at-most-once request is written to it: the write fails, so it never
// ran, and is rerouted.
TEST_F(InvokerConnection, FailedWriteCountsAsNeverSent) {
    ScriptedInvoker& only = add_invoker();
    open(replaced(config_with_long_deadlines(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    add_long_deadline_request(10ms, 1);
    ScriptedClient& second = add_client(20ms, {});
    expected_requests.emplace_back(hex16(2), &second);
    loop.run(100ms);
    ASSERT_EQ(only.streams.size(), 1u);
    loop.call_at(110ms, [&] {
        ScriptedInvoker::write(second.stream,
                               request_text(1, 2, "work"));  // both arrive at the same moment, this one first
        only.streams[0]->reset();
    });
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 2u);
    EXPECT_EQ(only.runs.size(), 2u);
}

// The only connection to an invoker that does not read for a while: a part of an attempt is in its socket when the
// client disconnects. The rest does not follow more than 0.1 s later.
TEST_F(InvokerConnection, PartiallyWrittenAttemptDoesNotStartAfterItsClientLeft) {
    ScriptedInvoker& only = add_invoker();
    only.starts_reading_at = 500ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open(config_with_long_deadlines());
    ScriptedClient& gone = add_client(10ms, {{0ms, request_text(1, 1, std::string(16'000, 'x'))}});
    ScriptedClient& stays = add_client(20ms, {{0ms, request_text(1, 2, "work")}});
    loop.call_at(60ms, [&] { gone.stream->close(); });
    loop.run(5s);
    for (const auto& [at, id] : only.runs) EXPECT_NE(id, hex16(1)) << "started at " << at.count() << " us";
    EXPECT_EQ(stays.response(1).status(), "200");
}

// The same where the client stays: its remaining time has shrunk meanwhile, and the invoker is given no more than that.
TEST_F(InvokerConnection, DelayedAttemptStatesNoMoreThanTheRemainingTime) {
    ScriptedInvoker& only = add_invoker();
    only.starts_reading_at = 500ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open(config_with_long_deadlines());
    add_client(10ms, {{0ms, message(1, job_fields(hex16(1), hex16(1), 3000), std::string(16'000, 'x'))}});
    loop.run(8s);
    ASSERT_EQ(only.runs.size(), only.run_lines.size());
    for (std::size_t i = 0; i < only.runs.size(); ++i) {
        const int patience = std::stoi(only.run_lines[i].substr(only.run_lines[i].find("patience=") + 9));
        EXPECT_LE(patience, (10ms + 3000ms + 150ms - only.runs[i].first) / 1ms) << only.run_lines[i];
    }
}

// An invoker rejects a request and responds twice; between the two responses the request is sent to it again, as
// discovery has reported a change. The second response does not belong to the second attempt, which runs: a third would
// take effect twice.
TEST_F(InvokerConnection, SecondResponseIsNotTakenForTheNextAttempt) {
    ScriptedInvoker& only =
        add_invoker({InvokerBehaviour::respond, InvokerBehaviour::reject_twice, InvokerBehaviour::respond});
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    open(replaced(config_with_long_deadlines(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    const std::string function = hex16(7);
    add_client(10ms, {{0ms, message(1, job_fields(hex16(1), function, 60000))}});
    add_client(100ms, {{0ms, message(1, job_fields(hex16(2), function, 60000))}});
    loop.call_at(122ms, [&] { discovery_server.send(frame(discovery_server.last_event = 2, 2, {{1, "10.0.0.1"}})); });
    loop.run(5s);
    ASSERT_GE(only.runs.size(), 3u);
    EXPECT_LT(only.runs[2].first, 124ms);  // else the second attempt was not between the two responses
    EXPECT_EQ(only.runs.size(), 3u);
}

// No network can be reached from this machine for a moment: no invoker was asked, so none is considered unhealthy, or
// restarted when it is over.
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

// The thread stalls between the decision to send a request and the write: the invoker is given what remains after the
// stall.
TEST_F(InvokerConnection, StallBeforeSendingReducesTheRemainingTime) {
    ScriptedInvoker& only = add_invoker();
    open(config_with_long_deadlines());
    ScriptedClient& one = add_client(10ms, {{0ms, message(1, job_fields(hex16(1), hex16(1), 3000))}});
    bool paused = false;
    on_record = [&](const trace::Record& record) {
        if (record.request == 0 || std::exchange(paused, true)) return;
        loop.stall(1s);
    };
    loop.run(5s);
    ASSERT_TRUE(paused);
    ASSERT_EQ(only.run_lines.size(), 1u);
    const int patience = std::stoi(only.run_lines[0].substr(only.run_lines[0].find("patience=") + 9));
    EXPECT_LE(patience, 2000 + 150);
    EXPECT_EQ(one.response(1).status(), "200");
}

}  // namespace
}  // namespace plumkeel::platform
