/// Runs the program and pauses its process with SIGSTOP and SIGCONT. The remaining time of a request that arrives
/// during the pause must count from its arrival.
#include <utility>

#include "tests/process_fixture.hpp"

namespace plumkeel::platform {
namespace {

using faults::Call;

class ProcessPause : public ProcessTest {};

// Requests that arrive during a pause are sent to an invoker with the remaining time reduced by the pause, and an idle
// connection on which a request arrived during the pause is not closed.
TEST_F(ProcessPause, PauseReducesRemainingTime) {
    add_both_invokers();
    start(config());
    wait_until_ready();
    ScriptedClient& idle_client = add_client(500ms, {{0ms, message(1, request_fields(hex16(1), hex16(1)))},
                                                     {9s, message(2, request_fields(hex16(2), hex16(1)))}});
    ScriptedClient& active_client = add_client(8s, {{400ms, message(1, request_fields(hex16(3), hex16(1), 2500))},
                                                    {1s, message(2, request_fields(hex16(4), hex16(1), 600))}});
    at(6300ms, [&] { process->signal(SIGSTOP); });
    at(10s, [&] { process->signal(SIGCONT); });
    run(14s);
    EXPECT_EQ(idle_client.response(2).end_records, 1);
    EXPECT_EQ(idle_client.response(2).status(), "200");
    EXPECT_EQ(active_client.response(1).end_records, 1);
    EXPECT_EQ(active_client.response(2).end_records, 1);
    EXPECT_EQ(active_client.response(2).status(), "503");  // the request's deadline passed during the pause
    for (const auto& invoker : invokers)
        for (const std::string& line : invoker->run_lines) {
            const int remaining = remaining_ms(line);
            if (line.find(hex16(3)) != std::string::npos) {
                EXPECT_LE(remaining, 900 + remaining_time_tolerance / 1ms) << line;
            }
            EXPECT_EQ(line.find(hex16(4)), std::string::npos) << line;
        }
}

// After a pause, reads return small pieces of the input that arrived during the pause: its arrival time counts for all
// pieces. No request is sent to an invoker for a client that disconnected during the pause.
TEST_F(ProcessPause, PauseReducesRemainingTimeOfInputReadInPieces) {
    add_both_invokers();
    start(config());
    wait_until_ready();
    // These requests establish the client connections before the pause.
    ScriptedClient& staying_client = add_client(500ms, {{0ms, message(1, request_fields(hex16(1), hex16(1)))}});
    ScriptedClient& leaving_client = add_client(500ms, {{0ms, message(1, request_fields(hex16(2), hex16(1)))}});
    const std::string large_body(15'000, 'b');
    at(990ms, [&] { fault_plan.cut_short(Call::receive, 1'000'000); });
    at(1s, [&] { process->signal(SIGSTOP); });
    at(1050ms, [&] {
        ScriptedInvoker::write(staying_client.stream, message(2, request_fields(hex16(3), hex16(1), 2500), large_body));
        ScriptedInvoker::write(leaving_client.stream,
                               message(2, request_fields(hex16(4), hex16(1), 2500), large_body) +
                                   message(3, request_fields(hex16(5), hex16(1), 2500), large_body));
    });
    at(1100ms, [&] { leaving_client.stream->close(); });
    at(2s, [&] { process->signal(SIGCONT); });
    run(6s);
    EXPECT_EQ(staying_client.response(2).end_records, 1);
    for (const auto& invoker : invokers)
        for (std::size_t i = 0; i < invoker->run_lines.size(); ++i) {
            EXPECT_NE(invoker->runs[i].second, hex16(4));
            EXPECT_NE(invoker->runs[i].second, hex16(5));
            if (invoker->runs[i].second != hex16(3)) continue;
            const int remaining = remaining_ms(invoker->run_lines[i]);
            EXPECT_LE(remaining,
                      (ready_at + 1050ms + 2500ms + remaining_time_tolerance - invoker->runs[i].first) / 1ms);
        }
}

// The first reads after a pause fail for want of memory: remaining times still count from the arrival of the requests.
TEST_F(ProcessPause, PauseReducesRemainingTimeAfterFailedRead) {
    add_both_invokers();
    start(config());
    wait_until_ready();
    std::vector<ScriptedClient*> scripted_clients;
    for (std::uint64_t i = 1; i <= 10; ++i)
        scripted_clients.push_back(&add_client(500ms, {{0ms, message(1, request_fields(hex16(i), hex16(1)))}}));
    at(1s, [&] {
        process->signal(SIGSTOP);
        fault_plan.fail(Call::receive, 1'000'000, {ENOMEM});
    });
    at(1050ms, [&] {
        for (std::uint64_t i = 1; i <= 10; ++i)
            ScriptedInvoker::write(scripted_clients[i - 1]->stream,
                                   message(2, request_fields(hex16(100 + i), hex16(1), 2500)));
    });
    at(1900ms, [&] { process->signal(SIGCONT); });
    at(1910ms, [&] { fault_plan.heal(); });
    run(6s);
    EXPECT_GE(expect_remaining_time_since(1050ms, 2500ms), 5u);
    for (ScriptedClient* client : scripted_clients) EXPECT_EQ(client->response(2).end_records, 1);
}

// The first calls of accept(2) after a pause fail: remaining times still count from the arrival of the connections.
TEST_F(ProcessPause, PauseReducesRemainingTimeAfterFailedAccept) {
    add_both_invokers();
    start(config());
    wait_until_ready();
    at(1s, [&] {
        process->signal(SIGSTOP);
        fault_plan.fail(Call::accept, 1'000'000, {ENOBUFS});
    });
    std::vector<ScriptedClient*> scripted_clients;
    for (std::uint64_t i = 1; i <= 10; ++i)
        scripted_clients.push_back(&add_client(1050ms, {{0ms, message(1, request_fields(hex16(i), hex16(1), 2500))}}));
    at(1900ms, [&] { process->signal(SIGCONT); });
    at(1910ms, [&] { fault_plan.heal(); });
    run(6s);
    EXPECT_GE(expect_remaining_time_since(1050ms, 2500ms), 5u);
    for (ScriptedClient* client : scripted_clients) EXPECT_EQ(client->response(1).end_records, 1);
}

// send(2) fails with ENOBUFS before and shortly after a pause, so that a response waits: its client must not be
// disconnected as a client that does not read.
TEST_F(ProcessPause, ClientOfUnsentResponseIsNotDisconnected) {
    add_both_invokers();
    for (const auto& invoker : invokers) invoker->service_time = 100ms;
    start(config());
    wait_until_ready();
    ScriptedClient& scripted_client = add_client(500ms, {{0ms, message(1, request_fields(hex16(1), hex16(1)))},
                                                         {500ms, message(2, request_fields(hex16(2), hex16(1)))},
                                                         {2s, message(3, request_fields(hex16(3), hex16(1), 2900))}});
    at(1050ms, [&] { fault_plan.fail(Call::send, 1'000'000, {ENOBUFS}); });
    at(1300ms, [&] { process->signal(SIGSTOP); });
    at(3500ms, [&] { process->signal(SIGCONT); });
    at(3550ms, [&] { fault_plan.heal(); });
    run(6s);
    EXPECT_EQ(scripted_client.response(2).end_records, 1);
    EXPECT_EQ(scripted_client.response(3).end_records, 1);
}

// Invokers close their idle connections just when a request arrives that must not run twice: it must be sent on a new
// connection, not on a closed one.
TEST_F(ProcessPause, NonIdempotentRequestIsNotSentOnClosedConnection) {
    add_both_invokers();
    start(replaced(config(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    wait_until_ready();
    std::vector<ScriptedClient*> scripted_clients;
    for (std::uint64_t i = 1; i <= 30; ++i)
        scripted_clients.push_back(&add_client(550ms + 100ms * static_cast<int>(i), {{}}));
    for (std::uint64_t i = 1; i <= 30; ++i)
        at(600ms + 100ms * static_cast<int>(i), [&, i] {
            process->signal(SIGSTOP);
            ScriptedInvoker::write(scripted_clients[i - 1]->stream, message(1, request_fields(hex16(i), hex16(i % 3))));
            for (const auto& invoker : invokers)
                for (const auto& stream : std::exchange(invoker->streams, {})) stream->close();
            loop.call_at(loop.now() + 5ms, [&] { process->signal(SIGCONT); });
        });
    run(5s);
    std::size_t succeeded_requests = 0;
    for (ScriptedClient* client : scripted_clients) succeeded_requests += client->response(1).status() == "200";
    EXPECT_EQ(succeeded_requests, 30u);
}

}  // namespace
}  // namespace plumkeel::platform
