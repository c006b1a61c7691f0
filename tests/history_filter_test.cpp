#include "trace_analysis/history_filter.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

/// Two requests that succeed, one of them late, one that fails and one that is rejected.
std::vector<RequestHistory> four_histories() {
    auto records = first_records();
    const auto add = [&](std::uint64_t id, RequestState to, Time took) {
        records.push_back(submit_record(1s, id));
        records.push_back(transition_record(1s, id, RequestState::in_flight, DecisionReason::best_invoker, 0, id % 2));
        records.push_back(attempt_ended_record(
            1s + took, id, 0, to == RequestState::succeeded ? AttemptOutcome::succeeded : AttemptOutcome::timed_out));
        records.push_back(transition_record(1s + took, id, to, DecisionReason::response_received));
    };
    add(1, RequestState::succeeded, 200ms);
    add(2, RequestState::succeeded, 1500ms);  // the latency target is 1 s
    add(3, RequestState::failed, 100ms);
    add(4, RequestState::rejected, 100ms);
    return histories_of(records);
}

std::ptrdiff_t count(const HistoryFilter& filter) {
    const auto histories = four_histories();
    return std::count_if(histories.begin(), histories.end(),
                         [&](const RequestHistory& history) { return filter.matches(history); });
}

HistoryFilter by_outcome(const char* word) {
    HistoryFilter filter;
    filter.outcome = parse_outcome_filter(word);
    return filter;
}

TEST(HistoryFilter, SelectsByOutcome) {
    EXPECT_EQ(count(by_outcome("succeeded")), 1);
    EXPECT_EQ(count(by_outcome("late")), 1);
    EXPECT_EQ(count(by_outcome("failed")), 1);
    EXPECT_EQ(count(by_outcome("rejected")), 1);
    EXPECT_EQ(count(by_outcome("badly")), 3);
    EXPECT_THROW(parse_outcome_filter("lost"), trace::TraceError);
}

TEST(HistoryFilter, AcceptsTheWordsOfExportedJson) {
    EXPECT_EQ(count(by_outcome("honoured")), 1);
    EXPECT_EQ(count(by_outcome("bounced")), 1);
    EXPECT_EQ(count(by_outcome("written-off")), 1);
    EXPECT_EQ(count(by_outcome("written off")), 1);
    EXPECT_EQ(count(by_outcome("abandoned")), 0);
}

TEST(HistoryFilter, SelectsByInvokerAndTenant) {
    HistoryFilter by_invoker, by_tenant;
    by_invoker.invoker = "right";
    by_tenant.tenant = "nobody";
    EXPECT_EQ(count(by_invoker), 2);
    EXPECT_EQ(count(by_tenant), 0);
}

}  // namespace
}  // namespace plumkeel::trace_analysis
