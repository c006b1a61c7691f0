/// \file
/// Exports request histories as JSON lines and as events of the Chrome trace-event format. Keys, states and outcomes
/// are a stable interface; the texts of reasons may change between versions.
#pragma once

#include <string>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Returns a JSON object on one line, without a newline at the end.
std::string to_json(const RequestHistory& history, const NameTable& names);

/// Returns the events of one request, each followed by a comma and a newline: one event for each attempt, in the row of
/// its invoker, and one for each period in which the request was parked, in the row "parked".
std::string to_chrome_events(const RequestHistory& history, const NameTable& names);
/// Returns an event that marks a point in time in all rows.
std::string to_chrome_event(Time at, const std::string& what);

}  // namespace plumkeel::trace_analysis
