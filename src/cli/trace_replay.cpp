/// \file
/// `plumkeel trace redecide`, which replays traces and compares the decisions with the recorded ones.
#include <fmt/format.h>

#include <map>
#include <variant>

#include "cli/progress.hpp"
#include "cli/trace_input.hpp"
#include "config/jsonnet_reader.hpp"
#include "trace/reader.hpp"
#include "trace/replayer.hpp"

namespace plumkeel::cli {
namespace {

using trace::Time;
using trace::TraceError;
using trace_analysis::ControllerTrace;

constexpr std::uint64_t records_per_progress_update = 4096;

using SettingField = std::variant<Time*, double*, int*, bool*>;

/// The settings that --change may replace, by their names in the settings file.
std::map<std::string, SettingField> changeable_fields(trace::SchedulerSettings& settings) {
    Capabilities& capabilities = settings.capabilities;
    SafetyRules& rules = settings.rules;
    return {
        {"keep_alive", &capabilities.keep_alive},
        {"tick", &capabilities.clock_resolution},
        {"longest_retry_after", &capabilities.max_retry_after},
        {"memory_price", &capabilities.memory_price},
        {"hops", &capabilities.max_attempts},
        {"controllers", &capabilities.controller_count},
        {"call_off", &capabilities.cancellation},
        {"probe", &capabilities.health_checks},
        {"second_copies", &capabilities.hedging},
        {"retry_after", &capabilities.retry_after},
        {"order_copies", &capabilities.preload},
        {"loads_on_demand", &capabilities.on_demand_loading},
        {"steady_units", &capabilities.stable_capacity},
        {"cold_for", &rules.slow_start_duration},
        {"cold_share", &rules.slow_start_initial_share},
        {"push_multiple", &rules.slow_start_rate_multiple},
        {"push_span", &rules.slow_start_window},
        {"load_span", &rules.load_budget_window},
        {"free_loads", &rules.load_budget_base},
        {"loads_per_job", &rules.load_budget_per_request},
    };
}

void parse_into(Time& field, const std::string& value) {
    field = parse_duration(value);
}
void parse_into(double& field, const std::string& value) {
    field = std::stod(value);
}
void parse_into(int& field, const std::string& value) {
    field = std::stoi(value);
}
void parse_into(bool& field, const std::string& value) {
    if (value != "true" && value != "false") throw std::invalid_argument(value);
    field = value == "true";
}

void apply_change(trace::SchedulerSettings& settings, const std::string& change) {
    const auto equals = change.find('=');
    if (equals == std::string::npos) throw ConfigError("--change " + change + ": must be NAME=VALUE");
    const std::string name = change.substr(0, equals), value = change.substr(equals + 1);
    const std::map<std::string, SettingField> fields = changeable_fields(settings);
    const auto field = fields.find(name);
    if (field == fields.end())
        throw ConfigError("--change " + change + ": no setting of this name can be changed in a replay");
    try {
        std::visit([&](auto* target) { parse_into(*target, value); }, field->second);
    } catch (const std::logic_error&) {
        throw ConfigError("--change " + change + ": '" + value +
                          "' is not valid: expected a number, or true or false for a boolean setting");
    }
}

/// Replays the trace until its end or the first record that can't be replayed. Returns the reason for an early stop.
std::optional<std::string> replay(ControllerTrace& trace, trace::Replayer& replayer) {
    trace.rewind();
    Progress progress("replaying " + trace.controller());
    std::uint64_t count = 0;
    while (const auto record = trace.next()) {
        try {
            replayer.feed(*record);
        } catch (const TraceError& error) {
            return fmt::format("at {:.3f} s {}", to_seconds(record->at), error.what());
        }
        if (++count % records_per_progress_update == 0) progress.update(trace.progress());
    }
    return {};
}

void print_differences(const trace::Comparison& comparison) {
    const trace::Difference& first_difference = *comparison.first;
    fmt::print("  first difference: call {}, {:.6f} s{}\n  recorded: {}\n  replayed: {}\n", first_difference.call,
               to_seconds(first_difference.record.at),
               first_difference.record.request ? fmt::format(", request {}", first_difference.record.request) : "",
               first_difference.recorded, first_difference.replayed);
    for (const auto& [request, paths] : comparison.diverged)
        fmt::print("  request {}: recorded {}; replayed {}\n", request, paths.recorded, paths.replayed);
    if (comparison.different_requests > comparison.diverged.size())
        fmt::print("  and {} more requests\n", comparison.different_requests - comparison.diverged.size());
}

}  // namespace

int replay_traces(const TraceOptions& options) {
    int status = 0;
    for (const auto& trace : trace_analysis::open_traces(options.files, trace_analysis::open_file_source())) {
        trace::Replayer replayer([&](trace::SchedulerSettings& settings) {
            for (const std::string& change : options.setting_changes) apply_change(settings, change);
        });
        const std::optional<std::string> stop_reason = replay(*trace, replayer);
        for (const auto& file : trace->files()) print_damage(file.name, *file.reader);
        const trace::Comparison comparison = replayer.compare();
        const std::string verdict = comparison.first
                                        ? fmt::format("{} results differ, {} requests decided differently",
                                                      comparison.different_calls, comparison.different_requests)
                                        : "identical";
        fmt::print("{}: {} calls, {} requests: {}{}\n", trace->controller(), comparison.calls, comparison.requests,
                   verdict, stop_reason ? "; " + *stop_reason : "");
        if (comparison.first) print_differences(comparison);
        if (comparison.first || stop_reason) status = 1;
    }
    return status;
}

}  // namespace plumkeel::cli
