#include "trace/sampler.hpp"

#include <gtest/gtest.h>

#include "tests/simulated_trace.hpp"

namespace plumkeel::trace {
namespace {

using namespace std::chrono_literals;

/// Whether each request of the trace ended badly.
std::map<std::uint64_t, bool> requests_ended_badly(const std::vector<Record>& records) {
    std::map<std::uint64_t, bool> out;
    std::map<std::uint64_t, Time> late_after;
    for (const Record& each : records) {
        if (each.type == RecordType::submit) {
            const auto submitted = unpack<RequestSubmitted>(each.body);
            late_after[each.request] = each.at + (submitted.request_class == 0 ? Time(1s) : Time(800ms));
            out[each.request] = true;
        }
        if (each.type == RecordType::transition)
            if (const auto transition = unpack<TransitionRecord>(each.body); transition.to >= RequestState::succeeded)
                out[each.request] = transition.to != RequestState::succeeded || each.at > late_after[each.request];
    }
    return out;
}

TEST(Sampler, KeepsAllThatEndedBadlyAndItsShareOfTheRest) {
    SimulatedTraceOptions options;
    options.requests = 3000;
    const auto records = simulated_trace(options);
    std::map<std::uint64_t, std::size_t> whole, kept;
    for (const Record& each : records)
        if (each.request && each.type != RecordType::actions) ++whole[each.request];
    Sampler sampler(0.1, 1'000'000);
    Time last{};
    const auto keep = [&](const Record& record) {
        EXPECT_GE(record.at, last);  // the file's order
        last = record.at;
        if (record.type == RecordType::sampled_request)
            kept[record.request] = unpack<SampledRequest>(record.body).records.size();
        EXPECT_TRUE(record.type == RecordType::sampled_request || record.request == 0);
        EXPECT_NE(record.type, RecordType::actions);
    };
    for (const Record& each : records) sampler.feed(each, keep);
    sampler.finish(keep);
    std::size_t bad = 0, good = 0;
    for (const auto& [request, ended_badly] : requests_ended_badly(records)) {
        if (ended_badly) {
            ++bad;
            EXPECT_TRUE(kept.count(request)) << request;
        } else {
            good += kept.count(request);
        }
    }
    for (const auto& [request, n] : kept) EXPECT_EQ(n, whole[request]) << request;
    EXPECT_GT(bad, 50u);
    const double rest = static_cast<double>(good) / static_cast<double>(3000 - bad);
    EXPECT_GT(rest, 0.07);
    EXPECT_LT(rest, 0.13);
}

TEST(Sampler, BeyondItsMemoryKeepsTheOldestRequestAsFarAsKnown) {
    Sampler sampler(0, 1000);
    std::vector<std::uint64_t> kept;
    const auto keep = [&](const Record& record) {
        if (record.type == RecordType::sampled_request) kept.push_back(record.request);
    };
    for (std::uint64_t request = 1; request <= 100; ++request)
        sampler.feed({Time(request), RecordType::submit, request, pack(RequestSubmitted{0, 0, 0, 1, {}, 4s, false})},
                     keep);
    ASSERT_GT(kept.size(), 50u);
    EXPECT_EQ(kept.front(), 1u);
    sampler.finish(keep);
    EXPECT_EQ(kept.size(), 100u);
}

}  // namespace
}  // namespace plumkeel::trace
