/// \file
/// Tests of MergedStream and estimate_offsets() with the traces of two controllers that recorded the same failures.
#include "trace_analysis/merged_stream.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"
#include "trace/replayer.hpp"
#include "trace_analysis/clock_offset.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

SimulatedTraceOptions options_for(const char* name, std::uint64_t seed, Time clock_behind = {}) {
    SimulatedTraceOptions options;
    options.name = name;
    options.seed = seed;
    options.clock_behind = clock_behind;
    return options;
}

/// The traces of controllers "a" and "b", where the clock of "b" is behind by `clock_behind`.
struct TwoTraces {
    FileSet file_set;
    std::vector<std::unique_ptr<ControllerTrace>> traces;
    explicit TwoTraces(Time clock_behind) {
        file_set.write("a", simulated_trace(options_for("a", 3)));
        file_set.write("b", simulated_trace(options_for("b", 4, clock_behind)));
        traces = open_traces(file_set.names(), file_set.source_opener());
    }
    std::vector<ControllerTrace*> trace_pointers() { return {traces[0].get(), traces[1].get()}; }
};

TEST(ClockOffset, IsEstimatedFromEventsRecordedByBothControllers) {
    for (const Time clock_lag : {Time(0), Time(70ms), Time(350ms)}) {
        TwoTraces two_traces(clock_lag);
        const auto offsets = estimate_offsets(two_traces.trace_pointers());
        EXPECT_EQ(offsets[0].offset, Time{});
        EXPECT_GE(offsets[1].events, 3u);
        EXPECT_LE(std::chrono::abs(offsets[1].offset - clock_lag), 1ms)
            << clock_lag.count() << " " << offsets[1].offset.count();
    }
}

TEST(MergedStream, KeepsRecordOrderAndSeparatesRequestsOfControllers) {
    TwoTraces two_traces(70ms);
    const std::vector<Time> offsets = {Time{}, Time(70ms)};
    MergedStream stream(two_traces.trace_pointers(), offsets);
    const auto merged_records = read_all(stream);
    EXPECT_TRUE(std::is_sorted(merged_records.begin(), merged_records.end(),
                               [](const Record& a, const Record& b) { return a.at < b.at; }));
    MergedStream second_stream(two_traces.trace_pointers(), offsets);
    EXPECT_EQ(read_all(second_stream), merged_records);
    // Merging must not change the history of a request, except for the offset of its controller's clock.
    std::map<std::uint64_t, RequestHistory> histories;
    for (RequestHistory& history : histories_of(merged_records)) histories[history.request] = std::move(history);
    for (std::uint64_t controller_index = 0; controller_index < 2; ++controller_index) {
        two_traces.traces[controller_index]->rewind();
        for (const RequestHistory& original : histories_of(read_all(*two_traces.traces[controller_index]))) {
            const RequestHistory& merged = histories.at(original.request * 2 + controller_index);
            EXPECT_EQ(merged.function, original.function);
            EXPECT_EQ(merged.tenant, original.tenant);
            EXPECT_EQ(merged.outcome, original.outcome);
            EXPECT_EQ(merged.received_at - original.received_at, controller_index ? Time(70ms) : Time{});
            ASSERT_EQ(merged.attempts.size(), original.attempts.size());
            for (std::size_t i = 0; i < original.attempts.size(); ++i)
                EXPECT_EQ(merged.attempts[i].invoker, original.attempts[i].invoker);
        }
    }
    EXPECT_EQ(histories.size(), 800u);
    NameTable names;
    for (const Record& each : merged_records) names.feed(each);
    EXPECT_EQ(names.request(7), "3@b");
    trace::Replayer replayer;
    EXPECT_THROW(replayer.feed(merged_records.front()), trace::TraceError);
}

TEST(MergedStream, RecordsOfEqualTimeAreOrderedByController) {
    FileSet file_set;
    for (const char* name : {"a", "b"}) {
        auto records = definition_records();
        auto scheduler_settings = trace::unpack<trace::SchedulerSettings>(records[0].body);
        scheduler_settings.name = name;
        records[0].body = trace::pack(scheduler_settings);
        for (std::uint64_t request = 1; request <= 3; ++request) records.push_back(submit_record(1s, request));
        file_set.write(name, records);
    }
    auto traces = open_traces({"b", "a"}, file_set.source_opener());
    std::vector<std::uint64_t> submitted_requests;
    MergedStream stream({traces[0].get(), traces[1].get()}, {Time{}, Time{}});
    while (const auto record = stream.next())
        if (record->type == trace::submit) submitted_requests.push_back(record->request);
    EXPECT_EQ(submitted_requests, (std::vector<std::uint64_t>{2, 4, 6, 3, 5, 7}));
}

}  // namespace
}  // namespace plumkeel::trace_analysis
