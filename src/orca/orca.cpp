#include "orca/orca.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <cmath>

namespace plumkeel::orca {
namespace {

constexpr std::string_view held_name = "inflight", queued_name = "queue", named = "named_metrics.";

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

void note(LoadReport& report, std::string_view name, double value) {
    if (!std::isfinite(value) || value < 0) return;
    if (name == held_name) report.in_flight = value;
    if (name == queued_name) report.queued = value;
}

LoadReport read_text(std::string_view rest) {
    LoadReport report;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        std::string_view pair = trimmed(rest.substr(0, comma));
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        const auto equals = pair.find_first_of("=:");
        if (equals == std::string_view::npos || !pair.starts_with(named)) continue;
        const std::string_view digits = trimmed(pair.substr(equals + 1));
        double value = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (error != std::errc{} || end != digits.data() + digits.size()) continue;
        note(report, trimmed(pair.substr(named.size(), equals - named.size())), value);
    }
    return report;
}

LoadReport read_json(std::string_view rest) {
    LoadReport report;
    boost::system::error_code error;
    const auto value = boost::json::parse({rest.data(), rest.size()}, error);
    if (error || !value.is_object()) return report;
    const auto* metrics = value.as_object().if_contains("named_metrics");
    if (!metrics || !metrics->is_object()) return report;
    for (const auto& [name, figure] : metrics->as_object())
        if (figure.is_number()) note(report, {name.data(), name.size()}, figure.to_number<double>());
    return report;
}

}  // namespace

LoadReport parse(std::string_view value) {
    value = trimmed(value);
    if (value.starts_with("TEXT ")) return read_text(value.substr(5));
    if (value.starts_with("JSON ")) return read_json(value.substr(5));
    return {};
}

std::string format(const LoadReport& report) {
    std::string out = "TEXT ";
    if (report.in_flight) out += fmt::format("named_metrics.{}={:g}", held_name, *report.in_flight);
    if (report.queued)
        out += fmt::format("{}named_metrics.{}={:g}", report.in_flight ? ", " : "", queued_name, *report.queued);
    return out;
}

}  // namespace plumkeel::orca
