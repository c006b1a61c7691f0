#include "emulator/promql/aggregation.hpp"

#include <algorithm>
#include <iterator>
#include <map>

namespace plumkeel::promql {
namespace {

using Kind = Aggregation::Kind;

constexpr std::pair<std::string_view, Kind> names[] = {
    {"sum", Kind::sum}, {"max", Kind::max}, {"min", Kind::min}, {"avg", Kind::avg}, {"count", Kind::count},
};

}  // namespace

std::optional<Kind> Aggregation::find(std::string_view name) {
    const auto* const it = std::ranges::find_if(names, [&](const auto& each) { return each.first == name; });
    if (it == std::end(names)) return {};
    return it->second;
}

void Aggregation::Group::add(double value) {
    sum += value;
    max = count ? std::max(max, value) : value;
    min = count ? std::min(min, value) : value;
    ++count;
}

double Aggregation::result(const Group& group) const {
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

Vector Aggregation::evaluate(const Database& data, std::int64_t ms) const {
    std::map<Labels, Group> groups;
    for (const VectorElement& element : operand_->evaluate(data, ms))
        groups[grouping_.select(element.labels)].add(element.value);
    Vector vector;
    for (const auto& [labels, group] : groups) vector.push_back({labels, result(group)});
    return vector;
}

}  // namespace plumkeel::promql
