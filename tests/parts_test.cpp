// The small parts that decide something by themselves: load reports, the logs'
// trickle; and the seam, by the streams in memory.
#include <gtest/gtest.h>

#include "log/log.hpp"
#include "net/simulated_event_loop.hpp"
#include "net/write_queue.hpp"
#include "orca/orca.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

// ---------------------------------------------------------------- load reports

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
