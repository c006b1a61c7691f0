#include "emulator/promql/aggregation.hpp"

#include <algorithm>
#include <iterator>
#include <map>

namespace plumkeel::promql {
namespace {

using Kind = Aggregation::Kind;

constexpr std::pair<std::string_view, Kind> kinds_by_name[] = {
    {"sum", Kind::sum}, {"max", Kind::max}, {"min", Kind::min}, {"avg", Kind::avg}, {"count", Kind::count},
};

}  // namespace

std::optional<Kind> Aggregation::find_kind(std::string_view name) {
    const auto* const it = std::ranges::find_if(kinds_by_name, [&](const auto& entry) { return entry.first == name; });
    if (it == std::end(kinds_by_name)) return {};
    return it->second;
}

void Aggregation::Group::add(double value) {
    sum += value;
    max = count ? std::max(max, value) : value;
    min = count ? std::min(min, value) : value;
    ++count;
}

double Aggregation::group_value(const Group& group) const {
    const auto count = static_cast<double>(group.count);
    switch (kind_) {
        case Kind::sum:
            return group.sum;
        case Kind::max:
            return group.max;
        case Kind::min:
            return group.min;
        case Kind::avg:
            return group.sum / count;
        case Kind::count:
            break;
    }
    return count;
}

Vector Aggregation::evaluate(const Database& database, std::int64_t time_ms) const {
    std::map<Labels, Group> groups;
    for (const VectorElement& element : operand_->evaluate(database, time_ms))
        groups[grouping_labels_.select(element.labels)].add(element.value);
    Vector result;
    for (const auto& [labels, group] : groups) result.push_back({labels, group_value(group)});
    return result;
}

}  // namespace plumkeel::promql
