/// \file
/// Histories of requests for other tools: lines of JSON, and events of the Chrome trace-event format. Keys, states and
/// outcomes are an interface and stay as the first version had them; reasons are clauses for people and may change.
#pragma once

#include <string>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// One JSON object on one line, without its end.
std::string to_json(const RequestHistory& history, const NameTable& names);

/// The events of one request, each followed by a comma and a line end: one for each attempt in the row of its invoker,
/// and one for each time that it was parked, in the row "parked".
std::string to_chrome_events(const RequestHistory& history, const NameTable& names);
/// An event that marks a moment in all rows.
std::string to_chrome_event(Time at, const std::string& what);

}  // namespace plumkeel::trace_analysis
