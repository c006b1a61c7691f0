/// One metric over size as an SVG chart, a line of medians for each series and a mark for each run. Draws with PLplot.
#pragma once

#include <string>
#include <vector>

#include "scale/results.hpp"

namespace plumkeel::scale {

/// A set of rows under a name of its own, such as "before" and "after".
struct LabelledRows {
    std::string label;
    std::vector<Row> rows;
};

/// Both axes are logarithmic. Draws nothing and returns false where no row above 0 matches. Throws ResultsError where
/// the file can't be written.
bool draw_metric(const std::vector<LabelledRows>& sets, const std::string& experiment, const std::string& size_name,
                 const std::string& metric, const std::string& file);

}  // namespace plumkeel::scale
