/// \file
/// A summary as a picture.
#pragma once

#include <string>

#include "trace_analysis/summary.hpp"

namespace plumkeel::trace_analysis {

/// Writes an SVG file with requests by outcome, parked requests and attempts by invoker over time, and the annotations.
/// Throws TraceError if there is nothing to draw or the file cannot be written.
void draw_summary(const Summary& summary, const std::string& title, const std::string& file);

}  // namespace plumkeel::trace_analysis
