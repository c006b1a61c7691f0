/// Draws one metric against the size as an SVG chart with PLplot: a line of medians per series and a mark per run.
#pragma once

#include <string>
#include <vector>

#include "scale/results.hpp"

namespace plumkeel::scale {

/// Result rows with a label such as "before" or "after" that distinguishes them in a chart. The label may be empty.
struct LabelledRows {
    std::string label;
    std::vector<Row> rows;
};

/// Draws a chart with logarithmic axes. Returns false and draws nothing if no series has values above 0 at two or more
/// sizes. Throws ResultsError if the file can't be written.
bool draw_metric(const std::vector<LabelledRows>& row_sets, const std::string& experiment, const std::string& size_name,
                 const std::string& metric, const std::string& file);

}  // namespace plumkeel::scale
