#include "trace_analysis/history_builder.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"
#include "trace_analysis/history_filter.hpp"
#include "trace_analysis/history_format.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

HistoryFilter filter_received_from(Time from) {
    HistoryFilter filter;
    filter.from = from;
    return filter;
}

TEST(HistoryBuilder, RequestsSubmittedBeforeTheTraceAreMarked) {
    auto records = definition_records();
    records.push_back(attempt_ended_record(1500ms, 7, 0, AttemptOutcome::succeeded));
    records.push_back(transition_record(1500ms, 7, RequestState::succeeded, DecisionReason::response_received));
    records.push_back(submit_record(2s, 8));
    const auto histories = histories_of(records);
    ASSERT_EQ(histories.size(), 2u);
    EXPECT_FALSE(histories[0].submission_recorded);
    EXPECT_EQ(name_of(histories[0].final_outcome()), "succeeded");
    EXPECT_EQ(name_of(histories[1].final_outcome()), "unfinished");
    NameTable names(true);
    for (const Record& each : records) names.feed(each);
    EXPECT_NE(format_history(histories[0], names).find("received before this trace"), std::string::npos);
    EXPECT_FALSE(filter_received_from(1s).matches(histories[0]));
    EXPECT_TRUE(filter_received_from(1s).matches(histories[1]));
}

TEST(HistoryBuilder, PassesOnOldestOpenRequestBeyondLimit) {
    std::vector<std::uint64_t> passed_requests;
    HistoryBuilder builder([&](const RequestHistory& history) { passed_requests.push_back(history.request); }, false,
                           3);
    for (const Record& each : definition_records()) builder.feed(each);
    for (std::uint64_t request = 1; request <= 5; ++request) builder.feed(submit_record(Time(request), request));
    EXPECT_EQ(passed_requests, (std::vector<std::uint64_t>{1, 2}));
}

}  // namespace
}  // namespace plumkeel::trace_analysis
