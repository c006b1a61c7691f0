// Tales as text: for a person, as lines of JSON, and as events of the Chrome trace-event format. Pure.
#pragma once

#include <string>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

// A job's story in plain lines; moments are from the trace's start, and since it was taken.
std::string format_history(const RequestHistory& history, const NameTable& names);
// One line each: for find.
std::string format_line(const RequestHistory& history, const NameTable& names);

std::string format_json(const RequestHistory& history, const NameTable& names);
// The events of one job, each followed by a comma and a line end: a bar a hop in its invoker's row, and its
// waiting as a bar in the row "parked".
std::string chrome_events(const RequestHistory& history, const NameTable& names);
std::string chrome_annotation(Time at, const std::string& what);

}  // namespace plumkeel::trace_analysis
