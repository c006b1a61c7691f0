/// \file
/// MergedStream and estimate_offsets: the traces of two controllers that saw the same failures.
#include "trace_analysis/merged_stream.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"
#include "trace/replayer.hpp"
#include "trace_analysis/clock_offset.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

SimulatedTraceOptions named(const char* name, std::uint64_t seed, Time clock_behind = {}) {
    SimulatedTraceOptions options;
    options.name = name;
    options.seed = seed;
    options.clock_behind = clock_behind;
    return options;
}

/// Controllers "a" and "b"; the clock of "b" is behind.
struct TwoTraces {
    FileSet set;
    std::vector<std::unique_ptr<ControllerTrace>> traces;
    explicit TwoTraces(Time clock_behind) {
        set.write("a", simulated_trace(named("a", 3)));
        set.write("b", simulated_trace(named("b", 4, clock_behind)));
        traces = open_traces(set.names(), set.opener());
    }
    std::vector<ControllerTrace*> both() { return {traces[0].get(), traces[1].get()}; }
};

TEST(ClockOffset, IsEstimatedFromEventsThatBothControllersSaw) {
    for (const Time behind : {Time(0), Time(70ms), Time(350ms)}) {
        TwoTraces two(behind);
        const auto found = estimate_offsets(two.both());
        EXPECT_EQ(found[0].offset, Time{});
        EXPECT_GE(found[1].events, 3u);
        EXPECT_LE(std::chrono::abs(found[1].offset - behind), 1ms) << behind.count() << " " << found[1].offset.count();
    }
}

TEST(MergedStream, KeepsEachControllersOrderAndItsRequestsApart) {
    TwoTraces two(70ms);
    const std::vector<Time> offsets = {Time{}, Time(70ms)};
    MergedStream stream(two.both(), offsets);
    const auto got = read_all(stream);
    EXPECT_TRUE(std::is_sorted(got.begin(), got.end(), [](const Record& a, const Record& b) { return a.at < b.at; }));
    MergedStream second_stream(two.both(), offsets);
    EXPECT_EQ(read_all(second_stream), got);
    // Every request's history is as in its own trace, but for the offset of its clock.
    std::map<std::uint64_t, RequestHistory> histories;
    for (RequestHistory& history : histories_of(got)) histories[history.request] = std::move(history);
    for (std::uint64_t side = 0; side < 2; ++side) {
        two.traces[side]->rewind();
        for (const RequestHistory& own : histories_of(read_all(*two.traces[side]))) {
            const RequestHistory& merged = histories.at(own.request * 2 + side);
            EXPECT_EQ(merged.function, own.function);
            EXPECT_EQ(merged.tenant, own.tenant);
            EXPECT_EQ(merged.outcome, own.outcome);
            EXPECT_EQ(merged.received_at - own.received_at, side ? Time(70ms) : Time{});
            ASSERT_EQ(merged.attempts.size(), own.attempts.size());
            for (std::size_t i = 0; i < own.attempts.size(); ++i)
                EXPECT_EQ(merged.attempts[i].invoker, own.attempts[i].invoker);
        }
    }
    EXPECT_EQ(histories.size(), 800u);
    NameTable names;
    for (const Record& each : got) names.feed(each);
    EXPECT_EQ(names.request(7), "3@b");
    trace::Replayer replayer;
    EXPECT_THROW(replayer.feed(got.front()), trace::TraceError);
}

TEST(MergedStream, RecordsOfTheSameTimeAreInTheOrderOfTheControllers) {
    FileSet set;
    for (const char* name : {"a", "b"}) {
        auto records = first_records();
        auto start = trace::unpack<trace::SchedulerSettings>(records[0].body);
        start.name = name;
        records[0].body = trace::pack(start);
        for (std::uint64_t request = 1; request <= 3; ++request) records.push_back(submit_record(1s, request));
        set.write(name, records);
    }
    auto traces = open_traces({"b", "a"}, set.opener());
    std::vector<std::uint64_t> order;
    MergedStream stream({traces[0].get(), traces[1].get()}, {Time{}, Time{}});
    while (const auto record = stream.next())
        if (record->type == trace::submit) order.push_back(record->request);
    EXPECT_EQ(order, (std::vector<std::uint64_t>{2, 4, 6, 3, 5, 7}));
}

}  // namespace
}  // namespace plumkeel::trace_analysis
