#include "emulator/promql/label_selection.hpp"

namespace plumkeel::promql {

Labels LabelSelection::select(const Labels& all) const {
    if (type == Type::all_but) {
        Labels selected = without_metric_name(all);
        for (const std::string& label : labels) selected.erase(label);
        return selected;
    }
    Labels selected;
    for (const std::string& label : labels)
        if (const auto it = all.find(label); it != all.end()) selected.insert(*it);
    return selected;
}

}  // namespace plumkeel::promql
