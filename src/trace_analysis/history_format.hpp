/// \file
/// Formats request histories as human-readable text.
#pragma once

#include <string>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Returns several lines: the request, its events in order, and its outcome. The times of events are relative to the
/// time at which the request was received.
std::string format_history(const RequestHistory& history, const NameTable& names);
/// Returns a summary of the request on one line, without a newline at the end.
std::string format_line(const RequestHistory& history, const NameTable& names);

}  // namespace plumkeel::trace_analysis
