/// The program when its process is stopped for a while (SIGSTOP): what arrived meanwhile counts from when it arrived.
#include <utility>

#include "tests/process_fixture.hpp"

namespace plumkeel::platform {
namespace {

using faults::Call;

class ProcessPause : public ProcessTest {};

// The process is stopped for a while. A request that waited in its socket for most of its time is not sent on with all
// of it, and an idle connection on which a request arrived meanwhile is not closed.
TEST_F(ProcessPause, PauseCountsForInputThatArrivedMeanwhile) {
    both_invokers();
    start(config());
    wait_until_ready();
    ScriptedClient& idle = client(500ms, {{0ms, message(1, request_fields(hex16(1), hex16(1)))},
                                          {9s, message(2, request_fields(hex16(2), hex16(1)))}});
    ScriptedClient& fresh = client(8s, {{400ms, message(1, request_fields(hex16(3), hex16(1), 2500))},
                                        {1s, message(2, request_fields(hex16(4), hex16(1), 600))}});
    at(6300ms, [&] { process->signal(SIGSTOP); });
    at(10s, [&] { process->signal(SIGCONT); });
    run(14s);
    EXPECT_EQ(idle.response(2).end_records, 1);
    EXPECT_EQ(idle.response(2).status(), "200");
    EXPECT_EQ(fresh.response(1).end_records, 1);
    EXPECT_EQ(fresh.response(2).end_records, 1);
    EXPECT_EQ(fresh.response(2).status(), "503");  // its client must be assumed to have given up
    for (const auto& each : invokers)
        for (const std::string& line : each->run_lines) {
            const int remaining = remaining_ms(line);
            if (line.find(hex16(3)) != std::string::npos) {
                EXPECT_LE(remaining, 900 + remaining_time_tolerance / 1ms) << line;
            }
            EXPECT_EQ(line.find(hex16(4)), std::string::npos) << line;
        }
}

// After a pause, input is read in many small pieces: all of it arrived before, and the disconnect of a client behind it
// is noticed before anything is sent for that client.
TEST_F(ProcessPause, PauseCountsForInputReadInPieces) {
    both_invokers();
    start(config());
    wait_until_ready();
    // Requests before the pause, so that it meets established connections.
    ScriptedClient& stays = client(500ms, {{0ms, message(1, request_fields(hex16(1), hex16(1)))}});
    ScriptedClient& leaves = client(500ms, {{0ms, message(1, request_fields(hex16(2), hex16(1)))}});
    const std::string large(15'000, 'b');
    at(990ms, [&] { plan.cut_short(Call::receive, 1'000'000); });
    at(1s, [&] { process->signal(SIGSTOP); });
    at(1050ms, [&] {
        ScriptedInvoker::write(stays.stream, message(2, request_fields(hex16(3), hex16(1), 2500), large));
        ScriptedInvoker::write(leaves.stream, message(2, request_fields(hex16(4), hex16(1), 2500), large) +
                                                  message(3, request_fields(hex16(5), hex16(1), 2500), large));
    });
    at(1100ms, [&] { leaves.stream->close(); });
    at(2s, [&] { process->signal(SIGCONT); });
    run(6s);
    EXPECT_EQ(stays.response(2).end_records, 1);
    for (const auto& each : invokers)
        for (std::size_t i = 0; i < each->run_lines.size(); ++i) {
            EXPECT_NE(each->runs[i].second, hex16(4));
            EXPECT_NE(each->runs[i].second, hex16(5));
            if (each->runs[i].second != hex16(3)) continue;
            const int remaining = remaining_ms(each->run_lines[i]);
            EXPECT_LE(remaining, (ready_at + 1050ms + 2500ms + remaining_time_tolerance - each->runs[i].first) / 1ms);
        }
}

// The same where memory is short for a moment after the pause and the first reads fail.
TEST_F(ProcessPause, PauseCountsForInputReadAfterFailedRead) {
    both_invokers();
    start(config());
    wait_until_ready();
    std::vector<ScriptedClient*> all;
    for (std::uint64_t i = 1; i <= 10; ++i)
        all.push_back(&client(500ms, {{0ms, message(1, request_fields(hex16(i), hex16(1)))}}));
    at(1s, [&] {
        process->signal(SIGSTOP);
        plan.fail(Call::receive, 1'000'000, {ENOMEM});
    });
    at(1050ms, [&] {
        for (std::uint64_t i = 1; i <= 10; ++i)
            ScriptedInvoker::write(all[i - 1]->stream, message(2, request_fields(hex16(100 + i), hex16(1), 2500)));
    });
    at(1900ms, [&] { process->signal(SIGCONT); });
    at(1910ms, [&] { plan.heal(); });
    run(6s);
    EXPECT_GE(expect_remaining_time_since(1050ms, 2500ms), 5u);
    for (ScriptedClient* each : all) EXPECT_EQ(each->response(2).end_records, 1);
}

// The same where accept(2) fails for a moment after the pause.
TEST_F(ProcessPause, PauseCountsForConnectionsAcceptedAfterFailedAccept) {
    both_invokers();
    start(config());
    wait_until_ready();
    at(1s, [&] {
        process->signal(SIGSTOP);
        plan.fail(Call::accept, 1'000'000, {ENOBUFS});
    });
    std::vector<ScriptedClient*> all;
    for (std::uint64_t i = 1; i <= 10; ++i)
        all.push_back(&client(1050ms, {{0ms, message(1, request_fields(hex16(i), hex16(1), 2500))}}));
    at(1900ms, [&] { process->signal(SIGCONT); });
    at(1910ms, [&] { plan.heal(); });
    run(6s);
    EXPECT_GE(expect_remaining_time_since(1050ms, 2500ms), 5u);
    for (ScriptedClient* each : all) EXPECT_EQ(each->response(1).end_records, 1);
}

// A response could not be sent before a pause, for want of memory, nor at once after it: its client has read all that
// was sent and is not treated as one that does not read.
TEST_F(ProcessPause, ResponseUnsentBeforePauseIsNotTakenForUnread) {
    both_invokers();
    for (const auto& each : invokers) each->service_time = 100ms;
    start(config());
    wait_until_ready();
    ScriptedClient& one = client(500ms, {{0ms, message(1, request_fields(hex16(1), hex16(1)))},
                                         {500ms, message(2, request_fields(hex16(2), hex16(1)))},
                                         {2s, message(3, request_fields(hex16(3), hex16(1), 2900))}});
    at(1050ms, [&] { plan.fail(Call::send, 1'000'000, {ENOBUFS}); });
    at(1300ms, [&] { process->signal(SIGSTOP); });
    at(3500ms, [&] { process->signal(SIGCONT); });
    at(3550ms, [&] { plan.heal(); });
    run(6s);
    EXPECT_EQ(one.response(2).end_records, 1);
    EXPECT_EQ(one.response(3).end_records, 1);
}

// Invokers close idle connections at the moment when a request arrives that must not run twice: it is not sent on a
// connection that is closed already.
TEST_F(ProcessPause, NonIdempotentRequestIsNotSentOnClosedConnection) {
    both_invokers();
    start(replaced(config(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    wait_until_ready();
    std::vector<ScriptedClient*> all;
    for (std::uint64_t i = 1; i <= 30; ++i) all.push_back(&client(550ms + 100ms * static_cast<int>(i), {{}}));
    for (std::uint64_t i = 1; i <= 30; ++i)
        at(600ms + 100ms * static_cast<int>(i), [&, i] {
            process->signal(SIGSTOP);
            ScriptedInvoker::write(all[i - 1]->stream, message(1, request_fields(hex16(i), hex16(i % 3))));
            for (const auto& each : invokers)
                for (const auto& stream : std::exchange(each->streams, {})) stream->close();
            loop.call_at(loop.now() + 5ms, [&] { process->signal(SIGCONT); });
        });
    run(5s);
    std::size_t served = 0;
    for (ScriptedClient* each : all) served += each->response(1).status() == "200";
    EXPECT_EQ(served, 30u);
}

}  // namespace
}  // namespace plumkeel::platform
