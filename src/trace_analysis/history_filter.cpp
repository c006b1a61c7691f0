#include "trace_analysis/history_filter.hpp"

#include <algorithm>
#include <array>

namespace plumkeel::trace_analysis {
namespace {

constexpr std::string_view ended_badly_word = "badly";

bool matches_if_set(const std::string& wanted, const std::string& value) {
    return wanted.empty() || wanted == value;
}

}  // namespace

bool OutcomeFilter::matches(const RequestHistory& history) const {
    return outcome ? history.final_outcome() == *outcome : history.ended_badly();
}

OutcomeFilter parse_outcome_filter(const std::string& word) {
    if (word == ended_badly_word) return {};
    std::string word_with_spaces = word;
    std::replace(word_with_spaces.begin(), word_with_spaces.end(), '-', ' ');
    for (const FinalOutcome outcome :
         std::array{FinalOutcome::succeeded, FinalOutcome::late, FinalOutcome::rejected, FinalOutcome::failed,
                    FinalOutcome::cancelled, FinalOutcome::unfinished})
        if (word_with_spaces == name_of(outcome) || word_with_spaces == export_name(outcome)) return {outcome};
    throw trace::TraceError("outcome '" + word + "' is none of " + std::string(outcome_filter_words));
}

bool HistoryFilter::matches(const RequestHistory& history) const {
    if (from && (!history.submission_recorded || history.received_at < *from)) return false;
    if (to && history.received_at >= *to) return false;
    if (!matches_if_set(request_class, history.request_class)) return false;
    if (!matches_if_set(tenant, history.tenant)) return false;
    if (!matches_if_set(function, history.function)) return false;
    if (!invoker.empty() && std::none_of(history.attempts.begin(), history.attempts.end(),
                                         [&](const AttemptHistory& attempt) { return attempt.invoker == invoker; }))
        return false;
    return !outcome || outcome->matches(history);
}

}  // namespace plumkeel::trace_analysis
