#include "trace/sampler.hpp"

#include <gtest/gtest.h>

#include "tests/simulated_trace.hpp"

namespace plumkeel::trace {
namespace {

using namespace std::chrono_literals;

/// Returns for each request whether it ended badly: without success, or after its latency target.
std::map<std::uint64_t, bool> requests_ended_badly(const std::vector<Record>& records) {
    std::map<std::uint64_t, bool> out;
    std::map<std::uint64_t, Time> target_time;
    for (const Record& each : records) {
        if (each.type == RecordType::submit) {
            const auto submitted = unpack<RequestSubmitted>(each.body);
            target_time[each.request] = each.at + (submitted.request_class == 0 ? Time(1s) : Time(800ms));
            out[each.request] = true;
        }
        if (each.type == RecordType::transition)
            if (const auto transition = unpack<TransitionRecord>(each.body); transition.to >= RequestState::succeeded)
                out[each.request] = transition.to != RequestState::succeeded || each.at > target_time[each.request];
    }
    return out;
}

TEST(Sampler, KeepsRequestsThatEndedBadlyAndAFractionOfOthers) {
    SimulatedTraceOptions options;
    options.requests = 3000;
    const auto records = simulated_trace(options);
    std::map<std::uint64_t, std::size_t> recorded_counts, kept_counts;
    for (const Record& each : records)
        if (each.request && each.type != RecordType::actions) ++recorded_counts[each.request];
    Sampler sampler(0.1, 1'000'000);
    Time last_time{};
    const auto keep = [&](const Record& record) {
        EXPECT_GE(record.at, last_time);  // kept records must stay in order of time
        last_time = record.at;
        if (record.type == RecordType::sampled_request)
            kept_counts[record.request] = unpack<SampledRequest>(record.body).records.size();
        EXPECT_TRUE(record.type == RecordType::sampled_request || record.request == 0);
        EXPECT_NE(record.type, RecordType::actions);
    };
    for (const Record& each : records) sampler.feed(each, keep);
    sampler.finish(keep);
    std::size_t ended_badly_count = 0, kept_other_count = 0;
    for (const auto& [request, ended_badly] : requests_ended_badly(records)) {
        if (ended_badly) {
            ++ended_badly_count;
            EXPECT_TRUE(kept_counts.count(request)) << request;
        } else {
            kept_other_count += kept_counts.count(request);
        }
    }
    for (const auto& [request, count] : kept_counts) EXPECT_EQ(count, recorded_counts[request]) << request;
    EXPECT_GT(ended_badly_count, 50u);
    const double kept_fraction = static_cast<double>(kept_other_count) / static_cast<double>(3000 - ended_badly_count);
    EXPECT_GT(kept_fraction, 0.07);
    EXPECT_LT(kept_fraction, 0.13);
}

TEST(Sampler, KeepsOldestRequestWhenMemoryLimitIsExceeded) {
    Sampler sampler(0, 1000);
    std::vector<std::uint64_t> kept_requests;
    const auto keep = [&](const Record& record) {
        if (record.type == RecordType::sampled_request) kept_requests.push_back(record.request);
    };
    for (std::uint64_t request = 1; request <= 100; ++request)
        sampler.feed({Time(request), RecordType::submit, request, pack(RequestSubmitted{0, 0, 0, 1, {}, 4s, false})},
                     keep);
    ASSERT_GT(kept_requests.size(), 50u);
    EXPECT_EQ(kept_requests.front(), 1u);
    sampler.finish(keep);
    EXPECT_EQ(kept_requests.size(), 100u);
}

}  // namespace
}  // namespace plumkeel::trace
