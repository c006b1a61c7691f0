#include "orca/orca.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <optional>

namespace plumkeel::orca {
namespace {

constexpr std::string_view text_prefix = "TEXT ";
constexpr std::string_view json_prefix = "JSON ";
constexpr std::string_view named_metrics_prefix = "named_metrics.";
constexpr std::string_view in_flight_name = "inflight";
constexpr std::string_view queued_name = "queue";

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return {};
    return value;
}

void set_metric(LoadReport& report, std::string_view name, double value) {
    if (!std::isfinite(value) || value < 0) return;
    if (name == in_flight_name) report.in_flight = value;
    if (name == queued_name) report.queued = value;
}

void parse_text_metric(LoadReport& report, std::string_view metric) {
    const auto separator = metric.find_first_of("=:");
    if (separator == std::string_view::npos || !metric.starts_with(named_metrics_prefix)) return;
    const auto value = parse_number(trim(metric.substr(separator + 1)));
    if (!value) return;
    const std::size_t name_begin = named_metrics_prefix.size();
    set_metric(report, trim(metric.substr(name_begin, separator - name_begin)), *value);
}

LoadReport parse_text(std::string_view metrics_text) {
    LoadReport report;
    while (!metrics_text.empty()) {
        const auto comma = metrics_text.find(',');
        parse_text_metric(report, trim(metrics_text.substr(0, comma)));
        metrics_text = comma == std::string_view::npos ? std::string_view() : metrics_text.substr(comma + 1);
    }
    return report;
}

LoadReport parse_json(std::string_view text) {
    LoadReport report;
    boost::system::error_code error;
    const auto value = boost::json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object()) return report;
    const auto* metrics = value.as_object().if_contains("named_metrics");
    if (!metrics || !metrics->is_object()) return report;
    for (const auto& [name, number] : metrics->as_object())
        if (number.is_number()) set_metric(report, {name.data(), name.size()}, number.to_number<double>());
    return report;
}

}  // namespace

LoadReport parse(std::string_view text) {
    text = trim(text);
    if (text.starts_with(text_prefix)) return parse_text(text.substr(text_prefix.size()));
    if (text.starts_with(json_prefix)) return parse_json(text.substr(json_prefix.size()));
    return {};
}

std::string format(const LoadReport& report) {
    std::string text(text_prefix);
    auto add = [&text, separator = ""](std::string_view name, double value) mutable {
        text += fmt::format("{}{}{}={:g}", separator, named_metrics_prefix, name, value);
        separator = ", ";
    };
    if (report.in_flight) add(in_flight_name, *report.in_flight);
    if (report.queued) add(queued_name, *report.queued);
    return text;
}

}  // namespace plumkeel::orca
