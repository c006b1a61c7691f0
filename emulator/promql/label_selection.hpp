/// Selects the labels by which an aggregation groups series, or by which a binary operator matches series.
#pragma once

#include <string>
#include <vector>

#include "emulator/promql/database.hpp"

namespace plumkeel::promql {

struct LabelSelection {
    enum class Type {
        include,  ///< selects the listed labels: `by`, `on`
        exclude,  ///< selects all labels except the listed ones and the metric name: `without`, `ignoring`
    };
    Type type{};
    std::vector<std::string> labels;

    Labels select(const Labels& available_labels) const;
};

}  // namespace plumkeel::promql
