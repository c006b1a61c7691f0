#include <fmt/format.h>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

/// A run of a function at an invoker.
struct Run {
    std::int64_t time_us{};
    std::string invoker, request;
};

/// All runs of one client's request, sorted by time. They may belong to several sendings of the request.
struct RequestRuns {
    std::string request_class;  // as recorded with the latest run
    std::vector<Run> runs;
};

std::map<std::string, RequestRuns> collect_runs(const RecordIndex& records) {
    std::map<std::string, RequestRuns> by_client_request;
    for (const RecordedEvent& event : records.events()) {
        if (!event.is(source::invoker, event::run)) continue;
        RequestRuns& request = by_client_request[event.text(key::origin)];
        request.runs.push_back({event.time_us, event.process, RecordIndex::request_key(event)});
        request.request_class = event.text(key::request_class);
    }
    return by_client_request;
}

std::uint64_t count_effects(const RecordIndex& records) {
    std::uint64_t effects = 0;
    for (const RecordedEvent& event : records.events())
        effects += event.is(source::invoker, event::run) && event.has(key::request);
    return effects;
}

void check_repeated_run(const AuditContext& context, const std::string& client_request,
                        const DeploymentRules::RequestClass& request_class, const Run& first, const Run& repeated) {
    if (request_class.idempotency == Idempotency::at_most_once)
        return context.report(
            Rule::no_duplicate_effect, repeated.request, repeated.time_us,
            fmt::format("at-most-once {} ran at {} and again at {}", client_request, first.invoker, repeated.invoker));
    // Invokers in one deduplication scope ignore a repeated idempotency key within the deduplication window.
    const bool in_scope = context.rules.in_one_scope(first.invoker, repeated.invoker, request_class.scope);
    const std::int64_t window_end_us = first.time_us + request_class.deduplication_window_us + context.rules.slack_us;
    if (!in_scope || repeated.time_us > window_end_us)
        context.report(
            Rule::no_duplicate_effect, repeated.request, repeated.time_us,
            fmt::format("deduplicated {} ran at {} and again at {}, outside its deduplication scope or window",
                        client_request, first.invoker, repeated.invoker));
}

}  // namespace

void check_effects(const AuditContext& context) {
    context.verdict.effects = count_effects(context.records);
    for (const auto& [client_request, request] : collect_runs(context.records)) {
        const auto request_class = context.rules.request_classes.find(request.request_class);
        if (request_class == context.rules.request_classes.end() ||
            request_class->second.idempotency == Idempotency::idempotent)
            continue;
        for (std::size_t i = 1; i < request.runs.size(); ++i)
            check_repeated_run(context, client_request, request_class->second, request.runs[0], request.runs[i]);
    }
}

}  // namespace plumkeel::emulator
