#include "emulator/promql/label_selection.hpp"

namespace plumkeel::promql {

Labels LabelSelection::select(const Labels& available_labels) const {
    if (type == Type::exclude) {
        Labels selected_labels = without_metric_name(available_labels);
        for (const std::string& label : labels) selected_labels.erase(label);
        return selected_labels;
    }
    Labels selected_labels;
    for (const std::string& label : labels)
        if (const auto it = available_labels.find(label); it != available_labels.end()) selected_labels.insert(*it);
    return selected_labels;
}

}  // namespace plumkeel::promql
