// A summary as a picture (SVG): jobs by outcome over time, parked jobs, hops by invoker, and marks where the list
// changed or invokers fell. Draws with PLplot.
#pragma once

#include <string>

#include "trace_analysis/summary.hpp"

namespace plumkeel::trace_analysis {

// Throws trace::Fault where there is nothing to draw or the file can't be written.
void draw_summary(const Summary& summary, const std::string& title, const std::string& file);

}  // namespace plumkeel::trace_analysis
