/// Which labels an aggregation groups by, or an operator matches its two sides by.
#pragma once

#include <string>
#include <vector>

#include "emulator/promql/database.hpp"

namespace plumkeel::promql {

struct LabelSelection {
    enum class Type {
        only,     ///< the labels listed: `by`, `on`
        all_but,  ///< all but those listed and the metric's name: `without`, `ignoring`
    };
    Type type{};
    std::vector<std::string> labels;

    Labels select(const Labels& all) const;
};

}  // namespace plumkeel::promql
