// The small parts that decide something by themselves: the door, load reports, proofs, the logs'
// trickle; and the seam, by the streams in memory.
#include <gtest/gtest.h>

#include "admission/admission.hpp"
#include "gateway/delivery.hpp"
#include "log/log.hpp"
#include "net/simulated_event_loop.hpp"
#include "net/write_queue.hpp"
#include "orca/orca.hpp"
#include "web/protocol.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

// ---------------------------------------------------------------- the door

TEST(Admission, CountsInAndOut) {
    AdmissionLimits rules;
    rules.max_requests = 1;
    rules.max_connections = 1;
    rules.max_memory_bytes = 10;
    Admission admission(rules);
    EXPECT_EQ(admission.admit_connection(), RejectionReason::none);
    EXPECT_EQ(admission.admit_connection(), RejectionReason::too_many_connections);
    admission.release_connection();
    EXPECT_EQ(admission.admit_connection(), RejectionReason::none);
    EXPECT_EQ(admission.admit_request(), RejectionReason::none);
    EXPECT_EQ(admission.admit_request(), RejectionReason::too_many_requests);
    EXPECT_EQ(admission.reserve(8), RejectionReason::none);
    EXPECT_EQ(admission.reserve(8), RejectionReason::no_memory);
    EXPECT_EQ(admission.reserved_bytes(), 8u);
    admission.release(8);
    EXPECT_EQ(admission.reserve(8), RejectionReason::none);
    admission.close();
    EXPECT_EQ(admission.admit_body(0), RejectionReason::closing);
}

TEST(Admission, TimeLeft) {
    AdmissionLimits rules;
    Admission strict(rules);
    Time left{};
    EXPECT_EQ(strict.parse_remaining("", left), RejectionReason::remaining_missing);
    for (const char* absurd : {"0", "-5", "1e3", "4000ms", "99999999999999999999", "9223372036854775807"})
        EXPECT_EQ(strict.parse_remaining(absurd, left), RejectionReason::remaining_invalid) << absurd;
    EXPECT_EQ(strict.parse_remaining("4000", left), RejectionReason::none);
    EXPECT_EQ(left, 4s);
    rules.default_remaining = 3s;
    EXPECT_EQ(Admission(rules).parse_remaining("", left), RejectionReason::none);
    EXPECT_EQ(left, 3s);
}

TEST(Admission, WithoutDescriptorsAcceptingDoesNotSpin) {
    Admission admission({});
    // Neither does it hold up for long who waits in the backlog: requests there have deadlines of a second.
    for (int i = 0; i < 20; ++i) {
        const Time pause = admission.accept_pause();
        EXPECT_LE(pause, 160ms);
        EXPECT_GE(pause, i < 3 ? 20ms : 160ms) << i;
    }
    EXPECT_EQ(admission.counted(RejectionReason::no_descriptors), 20u);
    admission.accepted();
    EXPECT_LT(admission.accept_pause(), 50ms);
}

TEST(Admission, APaceIsJudgedOverTheWholeBody) {
    Admission admission({});
    EXPECT_EQ(admission.check_body_rate(0s, 1s, 0), RejectionReason::none);
    EXPECT_EQ(admission.check_body_rate(0s, 3s, 100), RejectionReason::body_too_slow);
    EXPECT_EQ(admission.check_body_rate(0s, 3s, 5000), RejectionReason::none);
}

// ---------------------------------------------------------------- load reports and proofs

TEST(Orca, ReadsTextAndJson) {
    for (const char* text : {"TEXT cpu_utilization=0.3, named_metrics.inflight=3,named_metrics.queue=1.5",
                             R"(JSON {"cpu_utilization":0.3,"named_metrics":{"inflight":3,"queue":1.5}})"}) {
        const LoadReport report = orca::read(text);
        EXPECT_EQ(report.in_flight, 3) << text;
        EXPECT_EQ(report.queued, 1.5) << text;
    }
    const LoadReport again = orca::read(orca::write({4, 2}));
    EXPECT_EQ(again.in_flight, 4);
    EXPECT_EQ(again.queued, 2);
}

TEST(Orca, NonsenseTellsNothing) {
    for (const char* text : {"", "TEXT", "TEXT ", "TEXT named_metrics.inflight=many", "TEXT named_metrics.inflight=-1",
                             "TEXT named_metrics.inflight=nan", "JSON {", "JSON []", R"(JSON {"named_metrics":3})",
                             R"(JSON {"named_metrics":{"inflight":"3"}})", "BIN AAAA", "inflight=3"})
        EXPECT_FALSE(orca::read(text).in_flight) << text;
}

TEST(Proof, OnlyTheInvokersWordOrAnUnwrittenByteProvesThatItNeverRan) {
    using namespace protocol;
    using namespace delivery;
    EXPECT_EQ(ending_of(503, "turned-away"), AttemptOutcome::rejected);
    EXPECT_EQ(ending_of(503, "not-loaded"), AttemptOutcome::load_failed);
    EXPECT_EQ(ending_of(503, ""), AttemptOutcome::failed);
    EXPECT_EQ(ending_of(503, "surely"), AttemptOutcome::failed);
    EXPECT_EQ(ending_of(200, ""), AttemptOutcome::succeeded);
    for (const StopCause cause :
         {StopCause::connection_lost, StopCause::timed_out, StopCause::cancelled, StopCause::cancelled_unsent}) {
        EXPECT_EQ(outcome_of(Progress::not_written, cause), AttemptOutcome::never_sent);
        const AttemptOutcome some = outcome_of(Progress::may_have_run, cause);
        EXPECT_TRUE(some == AttemptOutcome::connection_lost || some == AttemptOutcome::timed_out ||
                    some == AttemptOutcome::cancelled);
    }
    EXPECT_EQ(outcome_of(Progress::not_connected, StopCause::no_connection), AttemptOutcome::unreachable);
}

TEST(Trickle, KeepsARateAndTellsWhatItLeftOut) {
    RateLimiter trickle(10, 5);
    int passed = 0;
    for (int i = 0; i < 1000; ++i) passed += trickle.allow(Time(i * 1000));
    EXPECT_GE(passed, 14);
    EXPECT_LE(passed, 16);
    EXPECT_EQ(trickle.take_suppressed(), 1000u - static_cast<unsigned>(passed));
    EXPECT_EQ(trickle.take_suppressed(), 0u);
}

// ---------------------------------------------------------------- the seam

TEST(Seam, StreamsInMemoryKeepOrderAndPressBack) {
    net::SimulatedEventLoop loop(1ms, 1000);
    const auto listener = loop.listen({"a", 1}).listener;
    const std::string text(50'000, 'x');
    std::string got;
    bool ended = false;
    std::size_t most = 0;
    auto reader = [&]() -> net::Task<> {
        const auto accepted = co_await listener->accept();
        std::vector<char> room(300);
        for (;;) {
            const auto moved = co_await accepted.stream->read(net::asio::buffer(room));
            got.append(room.data(), moved.bytes);
            if (moved.error) {
                ended = moved.error == net::asio::error::eof;
                co_return;
            }
        }
    };
    auto writer = [&]() -> net::Task<> {
        const net::Address to{"a", 1};
        const auto connected = co_await loop.connect(to, 1s);
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, connected.stream);
        write_queue->send("", std::make_shared<const std::string>(text));
        most = write_queue->pending_bytes();
        co_await write_queue->wait_below(0);
        connected.stream->shutdown_send();
    };
    loop.spawn(reader());
    loop.spawn(writer());
    loop.run();
    EXPECT_EQ(got, text);
    EXPECT_TRUE(ended);
    EXPECT_EQ(most, text.size() - 1000);
    EXPECT_GE(loop.now(), 50ms);  // a thousand bytes a way, a millisecond each
}

TEST(Seam, DueTimesComeInOrderAndCanBeDropped) {
    net::SimulatedEventLoop loop;
    std::string order;
    loop.call_at(3ms, [&] { order += 'c'; });
    loop.call_at(1ms, [&] { order += 'a'; });
    auto dropped = loop.call_at(2ms, [&] { order += 'x'; });
    loop.call_at(1ms, [&] { order += 'b'; });
    loop.cancel(dropped);
    loop.run();
    EXPECT_EQ(order, "abc");
    EXPECT_EQ(loop.now(), 3ms);
}

TEST(Seam, TwoThatWaitForOneSignalAreBothWokenAndNotByEachOther) {
    net::SimulatedEventLoop loop;
    net::Notification signal(loop);
    bool open = false;
    int woken = 0, through = 0;
    auto waiter = [&]() -> net::Task<> {
        while (!open) {
            co_await signal.wait();
            ++woken;
        }
        ++through;
    };
    loop.spawn(waiter());
    loop.spawn(waiter());
    loop.call_at(5ms, [&] {
        open = true;
        signal.notify();
    });
    loop.run();
    EXPECT_EQ(through, 2);
    EXPECT_EQ(woken, 2);
}

TEST(Seam, NobodyThereIsToldAndSoIsAReset) {
    net::SimulatedEventLoop loop;
    net::Error refused, reset;
    auto run = [&]() -> net::Task<> {
        const net::Address nowhere{"b", 1}, there{"a", 1};
        refused = (co_await loop.connect(nowhere, 1s)).error;
        const auto listener = loop.listen(there).listener;
        const auto connected = co_await loop.connect(there, 1s);
        const auto accepted = co_await listener->accept();
        accepted.stream->reset();
        std::vector<char> room(10);
        reset = (co_await connected.stream->read(net::asio::buffer(room))).error;
    };
    loop.spawn(run());
    loop.run();
    EXPECT_EQ(refused, net::asio::error::connection_refused);
    EXPECT_EQ(reset, net::asio::error::connection_reset);
}

}  // namespace
}  // namespace plumkeel
