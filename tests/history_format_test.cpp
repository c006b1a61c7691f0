#include "trace_analysis/history_format.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

std::string format_request(const std::vector<Record>& records, std::uint64_t request) {
    std::string out;
    NameTable names(true);
    for (const Record& each : records) names.feed(each);
    for (const RequestHistory& history : histories_of(records))
        if (history.request == request) out = format_history(history, names);
    return out;
}

TEST(HistoryFormat, FailedRequestIsShownWithReasonsAndCandidates) {
    auto records = definition_records();
    trace::TransitionRecord sent_transition{RequestState::in_flight, DecisionReason::best_invoker, {}, {}, {}};
    sent_transition.sent = trace::TransitionRecord::SentAttempt{0, 1, false, true};
    sent_transition.candidates = {{1, 120ms, 20ms, true, ExclusionReason::none},
                                  {0, {}, {}, false, ExclusionReason::slow_start_budget}};
    records.push_back(submit_record(1s, 7));
    records.push_back(transition_record(1s, 7, RequestState::parked, DecisionReason::no_eligible_invoker));
    records.push_back({1200ms, trace::transition, 7, trace::pack(sent_transition)});
    records.push_back(attempt_ended_record(1500ms, 7, 0, AttemptOutcome::connection_lost));
    records.push_back(transition_record(1500ms, 7, RequestState::failed, DecisionReason::may_have_run));
    const std::string text = format_request(records, 7);
    for (const char* expected_text :
         {"request 7 at one: function f, request class u, tenant t", "received at 1.000000 s", "latency target 1.00 s",
          "parked: no invoker is eligible", "attempt 0 is sent to right: it was estimated to respond first",
          "right estimated to respond in 120.0 ms, 20.0 ms of it behind other requests, with a loaded copy",
          "left excluded: slow start: its request budget is used up",
          "attempt 0 at right ends after 300.0 ms: connection lost",
          "failed: it may have run, and must not run again anywhere",
          "outcome: failed after 500.0 ms, 1 attempt, parked for 200.0 ms"})
        EXPECT_NE(text.find(expected_text), std::string::npos) << expected_text << "\nin:\n" << text;
    EXPECT_LT(text.find("ends after"), text.find("failed: it may"));
}

}  // namespace
}  // namespace plumkeel::trace_analysis
