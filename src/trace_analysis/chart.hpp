/// \file
/// Draws the summary of a trace as an SVG image.
#pragma once

#include <string>

#include "trace_analysis/summary.hpp"

namespace plumkeel::trace_analysis {

/// Writes an SVG file with diagrams over time of requests by outcome, parked requests and attempts by invoker, and a
/// list of annotations. Throws TraceError if the trace has no requests or the file cannot be written.
void draw_summary(const Summary& summary, const std::string& title, const std::string& file);

}  // namespace plumkeel::trace_analysis
