#include "trace_analysis/history_filter.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

/// Returns the histories of four requests: one that succeeds, one that succeeds late, one that fails and one that is
/// rejected.
std::vector<RequestHistory> four_histories() {
    auto records = definition_records();
    const auto add = [&](std::uint64_t request, RequestState to, Time duration) {
        records.push_back(submit_record(1s, request));
        records.push_back(
            transition_record(1s, request, RequestState::in_flight, DecisionReason::best_invoker, 0, request % 2));
        records.push_back(attempt_ended_record(
            1s + duration, request, 0,
            to == RequestState::succeeded ? AttemptOutcome::succeeded : AttemptOutcome::timed_out));
        records.push_back(transition_record(1s + duration, request, to, DecisionReason::response_received));
    };
    add(1, RequestState::succeeded, 200ms);
    add(2, RequestState::succeeded, 1500ms);  // the latency target is 1 s
    add(3, RequestState::failed, 100ms);
    add(4, RequestState::rejected, 100ms);
    return histories_of(records);
}

std::ptrdiff_t count_matches(const HistoryFilter& filter) {
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
    EXPECT_EQ(count_matches(by_outcome("succeeded")), 1);
    EXPECT_EQ(count_matches(by_outcome("late")), 1);
    EXPECT_EQ(count_matches(by_outcome("failed")), 1);
    EXPECT_EQ(count_matches(by_outcome("rejected")), 1);
    EXPECT_EQ(count_matches(by_outcome("badly")), 3);
    EXPECT_THROW(parse_outcome_filter("lost"), trace::TraceError);
}

TEST(HistoryFilter, AcceptsOutcomeNamesOfExportedJson) {
    EXPECT_EQ(count_matches(by_outcome("honoured")), 1);
    EXPECT_EQ(count_matches(by_outcome("bounced")), 1);
    EXPECT_EQ(count_matches(by_outcome("written-off")), 1);
    EXPECT_EQ(count_matches(by_outcome("written off")), 1);
    EXPECT_EQ(count_matches(by_outcome("abandoned")), 0);
}

TEST(HistoryFilter, SelectsByInvokerAndTenant) {
    HistoryFilter by_invoker, by_tenant;
    by_invoker.invoker = "right";
    by_tenant.tenant = "nobody";
    EXPECT_EQ(count_matches(by_invoker), 2);
    EXPECT_EQ(count_matches(by_tenant), 0);
}

}  // namespace
}  // namespace plumkeel::trace_analysis
