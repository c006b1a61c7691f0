/// \file
/// Selects requests by what a person asks for.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// One outcome, or any but success within the latency target.
struct OutcomeFilter {
    std::optional<FinalOutcome> outcome;  ///< Absent: all that ended badly.

    bool matches(const RequestHistory& history) const;
};

/// The words that parse_outcome_filter accepts, for messages; it takes the words of exported JSON as well.
constexpr std::string_view outcome_filter_words =
    "succeeded, late, rejected, failed, cancelled, unfinished, or badly for all but succeeded";
/// Throws TraceError for a word that is no outcome.
OutcomeFilter parse_outcome_filter(const std::string& word);

/// What is not set does not matter.
struct HistoryFilter {
    std::optional<Time> from, to;  ///< Received at or after, and before.
    std::string request_class, tenant, function;
    std::string invoker;  ///< That any attempt was sent to.
    std::optional<OutcomeFilter> outcome;

    bool matches(const RequestHistory& history) const;
};

}  // namespace plumkeel::trace_analysis
