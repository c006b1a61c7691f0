/// \file
/// Filters request histories by time, names and outcome.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Matches one outcome, or all outcomes other than success within the latency target.
struct OutcomeFilter {
    std::optional<FinalOutcome> outcome;  ///< If absent, matches RequestHistory::ended_badly().

    bool matches(const RequestHistory& history) const;
};

/// Words that parse_outcome_filter() accepts, for help texts and error messages. It also accepts the words used in
/// exported JSON.
constexpr std::string_view outcome_filter_words =
    "succeeded, late, rejected, failed, cancelled, unfinished, or 'badly' (every outcome but succeeded)";
/// Parses an outcome. Throws TraceError if the word is not an outcome.
OutcomeFilter parse_outcome_filter(const std::string& word);

/// A history matches if it meets all conditions that are set.
struct HistoryFilter {
    std::optional<Time> from, to;  ///< Matches requests received at or after `from` and before `to`.
    std::string request_class, tenant, function;
    std::string invoker;  ///< Matches requests with an attempt at this invoker.
    std::optional<OutcomeFilter> outcome;

    bool matches(const RequestHistory& history) const;
};

}  // namespace plumkeel::trace_analysis
