// Tales as text: for a person, as lines of JSON, and as events of the Chrome trace-event format. Pure.
#pragma once

#include <string>

#include "tale/tale.hpp"

namespace plumkeel::tale {

// A job's story in plain lines; moments are from the trace's start, and since it was taken.
std::string story_of(const Tale& tale, const Names& names);
// One line each: for find.
std::string line_of(const Tale& tale, const Names& names);

std::string json_of(const Tale& tale, const Names& names);
// The events of one job, each followed by a comma and a line end: a bar a hop in its invoker's row, and its
// waiting as a bar in the row "parked".
std::string chrome_events(const Tale& tale, const Names& names);
std::string chrome_mark(Time at, const std::string& what);

}  // namespace plumkeel::tale
