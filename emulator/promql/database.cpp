#include "emulator/promql/database.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace plumkeel::promql {
namespace {

constexpr std::uint64_t stale_marker_bits = 0x7ff0000000000002;  // StaleNaN in the source code of Prometheus

}  // namespace

Labels without_metric_name(Labels labels) {
    labels.erase(metric_name_label);
    return labels;
}

double stale_marker() {
    return std::bit_cast<double>(stale_marker_bits);
}

bool is_stale_marker(double value) {
    return std::bit_cast<std::uint64_t>(value) == stale_marker_bits;
}

void Database::add(Series series) {
    if (series.samples.empty()) return;
    first_ms_ = std::min(first_ms_, series.samples.front().ms);
    last_ms_ = std::max(last_ms_, series.samples.back().ms);
    const std::string name = series.labels[metric_name_label];
    series_by_name_[name].push_back(std::move(series));
}

const std::vector<Series>& Database::find_series(const std::string& metric_name) const {
    static const std::vector<Series> no_series;
    const auto it = series_by_name_.find(metric_name);
    return it == series_by_name_.end() ? no_series : it->second;
}

}  // namespace plumkeel::promql
