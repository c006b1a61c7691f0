/// Tests of the event loops, timers, notifications and simulated streams.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "net/notification.hpp"
#include "net/simulated_event_loop.hpp"
#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;
using net::Time;

TEST(SimulatedEventLoop, StreamsKeepOrderAndApplyBackpressure) {
    net::SimulatedEventLoop loop(1ms, 1000);
    const auto listener = loop.listen({"a", 1}).listener;
    const std::string sent_text(50'000, 'x');
    std::string received;
    bool reached_end = false;
    std::size_t pending_after_send = 0;
    auto reader = [&]() -> net::Task<> {
        const auto accepted = co_await listener->accept();
        std::vector<char> buffer(300);
        for (;;) {
            const auto result = co_await accepted.stream->read(net::asio::buffer(buffer));
            received.append(buffer.data(), result.bytes);
            if (result.error) {
                reached_end = result.error == net::asio::error::eof;
                co_return;
            }
        }
    };
    auto writer = [&]() -> net::Task<> {
        const net::Address address{"a", 1};
        const auto connected = co_await loop.connect(address, 1s);
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, connected.stream);
        write_queue->send("", std::make_shared<const std::string>(sent_text));
        pending_after_send = write_queue->pending_bytes();
        co_await write_queue->wait_below(0);
        connected.stream->shutdown_send();
    };
    loop.spawn(reader());
    loop.spawn(writer());
    loop.run();
    EXPECT_EQ(received, sent_text);
    EXPECT_TRUE(reached_end);
    EXPECT_EQ(pending_after_send, sent_text.size() - 1000);
    EXPECT_GE(loop.now(), 50ms);  // 1000 bytes in transit at a time, each segment with 1 ms latency
}

TEST(SimulatedEventLoop, TimersRunInOrderAndCanBeCancelled) {
    net::SimulatedEventLoop loop;
    std::string order;
    loop.call_at(3ms, [&] { order += 'c'; });
    loop.call_at(1ms, [&] { order += 'a'; });
    auto cancelled = loop.call_at(2ms, [&] { order += 'x'; });
    loop.call_at(1ms, [&] { order += 'b'; });
    loop.cancel(cancelled);
    loop.run();
    EXPECT_EQ(order, "abc");
    EXPECT_EQ(loop.now(), 3ms);
}

// Guards against timers that are late for as long as a flood of input goes on: overdue timers waited for a number of
// iterations, however long each of them took.
TEST(SocketEventLoop, OverdueTimersWaitForABoundedTimeWhileIterationsAreLong) {
    constexpr Time iteration_time = 40ms, wait_limit = 100ms;
    net::SocketEventLoop loop;
    Time worst_delay{};
    auto keep_busy = [&]() -> net::Task<> {
        while (loop.now() < 2s) {
            for (const Time until = loop.now() + iteration_time; loop.now() < until;) {
            }
            co_await loop.yield();
        }
    };
    for (Time due = 100ms; due < 1s; due += 50ms)
        loop.call_at(due, [&, due] { worst_delay = std::max(worst_delay, loop.now() - due); });
    loop.spawn(keep_busy());
    loop.call_at(2s, [&] { loop.stop(); });
    loop.run();
    // A timer falls due in an iteration, waits for four iterations or until wait_limit, and runs in the next one.
    EXPECT_LE(worst_delay, std::max(wait_limit, 4 * iteration_time) + 2 * iteration_time);
}

TEST(EventLoop, YieldLetsOtherCoroutinesContinueFirst) {
    net::SimulatedEventLoop loop;
    std::string order;
    auto counter = [&](char name) -> net::Task<> {
        for (int i = 0; i < 3; ++i) {
            order += name;
            co_await loop.yield();
        }
    };
    loop.spawn(counter('a'));
    loop.spawn(counter('b'));
    loop.run();
    EXPECT_EQ(order, "ababab");
}

TEST(WriteQueue, ABatchIsWrittenTogether) {
    net::SimulatedEventLoop loop(1ms, 4);
    const auto listener = loop.listen({"a", 1}).listener;
    std::string received;
    auto reader = [&]() -> net::Task<> {
        const auto accepted = co_await listener->accept();
        std::vector<char> buffer(16);
        for (;;) {
            const auto result = co_await accepted.stream->read(net::asio::buffer(buffer));
            if (result.error) co_return;
            received.append(buffer.data(), result.bytes);
        }
    };
    auto writer = [&]() -> net::Task<> {
        const net::Address address{"a", 1};
        const auto connected = co_await loop.connect(address, 1s);
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, connected.stream);
        {
            const net::WriteQueue::Batch batch(*write_queue);
            write_queue->send("ab");
            write_queue->send("cd", std::make_shared<const std::string>("ef"));
            EXPECT_EQ(write_queue->pending_bytes(), 6u);
            EXPECT_EQ(write_queue->sent_bytes(), 0u);
        }
        EXPECT_EQ(write_queue->sent_bytes(), 4u) << "as much as fits";
        co_await write_queue->wait_below(0);
        write_queue->send("g");
        co_await write_queue->wait_below(0);
        connected.stream->shutdown_send();
    };
    loop.spawn(reader());
    loop.spawn(writer());
    loop.run();
    EXPECT_EQ(received, "abcdefg");
}

TEST(Notification, WakesAllWaitersOnce) {
    net::SimulatedEventLoop loop;
    net::Notification notification(loop);
    bool condition = false;
    int wake_ups = 0, finished = 0;
    auto waiter = [&]() -> net::Task<> {
        while (!condition) {
            co_await notification.wait();
            ++wake_ups;
        }
        ++finished;
    };
    loop.spawn(waiter());
    loop.spawn(waiter());
    loop.call_at(5ms, [&] {
        condition = true;
        notification.notify();
    });
    loop.run();
    EXPECT_EQ(finished, 2);
    EXPECT_EQ(wake_ups, 2);
}

TEST(SimulatedEventLoop, RefusedConnectAndResetAreReported) {
    net::SimulatedEventLoop loop;
    net::Error refused, reset;
    auto connect_and_reset = [&]() -> net::Task<> {
        const net::Address unused_address{"b", 1}, address{"a", 1};
        refused = (co_await loop.connect(unused_address, 1s)).error;
        const auto listener = loop.listen(address).listener;
        const auto connected = co_await loop.connect(address, 1s);
        const auto accepted = co_await listener->accept();
        accepted.stream->reset();
        std::vector<char> buffer(10);
        reset = (co_await connected.stream->read(net::asio::buffer(buffer))).error;
    };
    loop.spawn(connect_and_reset());
    loop.run();
    EXPECT_EQ(refused, net::asio::error::connection_refused);
    EXPECT_EQ(reset, net::asio::error::connection_reset);
}

// connect() must not complete in the iteration in which it was called, so that the caller can register the pending
// connection before it fails.
TEST(SocketEventLoop, FailedConnectCompletesInLaterIteration) {
    net::SocketEventLoop loop;
    bool call_returned = false, completed_within_call = true;
    const net::Address malformed{"not an address", 1};
    const auto connect = [&]() -> net::Task<> {
        const auto connected = co_await loop.connect(malformed, 1s);
        EXPECT_TRUE(connected.error);
        completed_within_call = !call_returned;
    };
    loop.call_at(loop.now(), [&] {
        loop.spawn(connect());
        call_returned = true;
        loop.call_at(loop.now() + 10ms, [&] { loop.stop(); });
    });
    loop.run();
    EXPECT_FALSE(completed_within_call);
}

}  // namespace
}  // namespace plumkeel
