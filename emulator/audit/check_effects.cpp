#include <fmt/format.h>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

struct Run {
    std::int64_t time_us{};
    std::string invoker, request;
};

/// All runs of one client's request, in order of time.
struct OriginRuns {
    std::string request_class;  // of the last one
    std::vector<Run> runs;
};

std::map<std::string, OriginRuns> collect_runs(const RecordIndex& records) {
    std::map<std::string, OriginRuns> by_origin;
    for (const RecordedEvent& event : records.events()) {
        if (!event.is(source::invoker, event::run)) continue;
        OriginRuns& origin = by_origin[event.text(key::origin)];
        origin.runs.push_back({event.time_us, event.process, RecordIndex::request_key(event)});
        origin.request_class = event.text(key::request_class);
    }
    return by_origin;
}

std::uint64_t count_effects(const RecordIndex& records) {
    std::uint64_t effects = 0;
    for (const RecordedEvent& event : records.events())
        effects += event.is(source::invoker, event::run) && event.has(key::request);
    return effects;
}

void check_repeated_run(const AuditContext& context, const std::string& origin,
                        const DeploymentRules::RequestClass& request_class, const Run& first, const Run& repeated) {
    if (request_class.idempotency == Idempotency::at_most_once)
        return context.report(
            Rule::no_duplicate_effect, repeated.request, repeated.time_us,
            fmt::format("at-most-once {} ran at {} and again at {}", origin, first.invoker, repeated.invoker));
    // The invokers of a scope ignore a duplicate within the window: outside of these it has an effect again.
    const bool in_scope = context.rules.in_one_scope(first.invoker, repeated.invoker, request_class.scope);
    const std::int64_t window_end = first.time_us + request_class.deduplication_window_us + context.rules.slack_us;
    if (!in_scope || repeated.time_us > window_end)
        context.report(Rule::no_duplicate_effect, repeated.request, repeated.time_us,
                       fmt::format("deduplicated {} ran at {} and again at {}, outside its scope or window", origin,
                                   first.invoker, repeated.invoker));
}

}  // namespace

void check_effects(const AuditContext& context) {
    context.verdict.effects = count_effects(context.records);
    for (const auto& [origin, all] : collect_runs(context.records)) {
        const auto found = context.rules.request_classes.find(all.request_class);
        if (found == context.rules.request_classes.end() || found->second.idempotency == Idempotency::idempotent)
            continue;
        for (std::size_t i = 1; i < all.runs.size(); ++i)
            check_repeated_run(context, origin, found->second, all.runs[0], all.runs[i]);
    }
}

}  // namespace plumkeel::emulator
