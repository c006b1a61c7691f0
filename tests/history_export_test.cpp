#include "trace_analysis/history_export.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

TEST(HistoryExport, JsonHasTheOutcomeAndChromeEventsHaveEachAttempt) {
    const auto records = simulated_trace({});
    NameTable names(true);
    for (const Record& each : records) names.feed(each);
    for (const RequestHistory& history : histories_of(records)) {
        const std::string json = to_json(history, names);
        EXPECT_NE(json.find("\"outcome\":\"" + std::string(export_name(history.final_outcome())) + "\""),
                  std::string::npos);
        const std::string events = to_chrome_events(history, names);
        std::size_t attempt_events = 0;
        for (std::size_t position = 0; (position = events.find("\"ph\":\"X\"", position)) != std::string::npos;
             ++position)
            ++attempt_events;
        EXPECT_GE(attempt_events, history.attempts.size());
    }
}

TEST(HistoryExport, JsonNamesAreStable) {
    auto records = definition_records();
    records.push_back(submit_record(1s, 7));
    records.push_back(transition_record(1s, 7, RequestState::in_flight, DecisionReason::best_invoker, 0, 1));
    records.push_back(attempt_ended_record(1500ms, 7, 0, AttemptOutcome::connection_lost));
    records.push_back(transition_record(1500ms, 7, RequestState::failed, DecisionReason::may_have_run));
    NameTable names(true);
    for (const Record& each : records) names.feed(each);
    const std::string json = to_json(histories_of(records).at(0), names);
    for (const char* expected_text :
         {R"("job":"7")", R"("outcome":"written off")", R"("hops":[{"number":0,"invoker":"right")",
          R"("ending":"cut off")", R"("turns":[)", R"("to":"hopping")", R"("to":"written off")", R"("use_case":"u")",
          R"("taken_s":)", R"("promised_s":)", R"("expires_s":)"})
        EXPECT_NE(json.find(expected_text), std::string::npos) << expected_text << "\nin:\n" << json;
}

}  // namespace
}  // namespace plumkeel::trace_analysis
