#include "trace_analysis/summary.hpp"

#include <algorithm>

namespace plumkeel::trace_analysis {
namespace {

constexpr std::size_t max_annotations = 10'000;
/// An invoker counts as failed if failure_threshold connections to it are lost within this time.
constexpr Time failure_window = std::chrono::seconds(2);
constexpr std::size_t failure_threshold = 3;
/// Equal annotations within this time describe the same event, recorded by several controllers.
constexpr Time same_event_window = std::chrono::seconds(3);
/// If a controller gets its first endpoints after this time, it is annotated as started during the trace.
constexpr Time initial_endpoints_window = std::chrono::seconds(1);

constexpr const char* describe(EndpointChangeType type) {
    switch (type) {
        case EndpointChangeType::listed:
            return "is listed";
        case EndpointChangeType::ready:
            return "is ready";
        case EndpointChangeType::draining:
            return "drains";
        case EndpointChangeType::restarted:
            return "has restarted";
        case EndpointChangeType::removed:
            return "is removed from the list";
    }
    return "?";
}

std::size_t second_of(Time at) {
    return static_cast<std::size_t>(at / std::chrono::seconds(1));
}

}  // namespace

Summary::Summary(std::size_t max_rows, std::size_t max_seconds) : max_rows_(max_rows), max_seconds_(max_seconds) {}

template <class Stats>
Stats& Summary::find_or_add_row(std::map<std::string, Stats>& table, const std::string& name) {
    const auto it = table.find(name);
    if (it != table.end()) return it->second;
    return table[table.size() < max_rows_ ? name : "(others)"];
}

/// Returns the statistics of the second that contains `at`, or null if it is outside the time line.
SecondStats* Summary::find_or_add_second(Time at) {
    if (at < Time{}) return nullptr;
    const std::size_t index = second_of(at);
    if (index >= max_seconds_) return nullptr;
    if (index >= stats_by_second_.size()) {
        stats_by_second_.resize(index + 1);
        parked_change_by_second_.resize(index + 2);
    }
    return &stats_by_second_[index];
}

void Summary::add(const RequestHistory& history) {
    all_.add(history);
    find_or_add_row(request_classes_, history.request_class).add(history);
    find_or_add_row(tenants_, history.tenant).add(history);
    find_or_add_row(functions_, history.function).add(history);
    if (history.submission_recorded)
        if (SecondStats* received = find_or_add_second(history.received_at)) ++received->received;
    if (SecondStats* ended = find_or_add_second(history.ended_at)) ended->ended.add(history);
    for (const AttemptHistory& attempt : history.attempts) add_attempt(attempt);
    add_parked(history);
}

void Summary::add_attempt(const AttemptHistory& attempt) {
    find_or_add_row(invokers_, attempt.invoker).add(attempt);
    if (SecondStats* sent = find_or_add_second(attempt.sent_at)) ++find_or_add_row(sent->attempts, attempt.invoker);
    if (attempt.ended_at && attempt.outcome == AttemptOutcome::connection_lost) annotate_failure(attempt);
}

void Summary::annotate_failure(const AttemptHistory& attempt) {
    auto& lost_connections = recent_lost_connections_[attempt.invoker];
    std::erase_if(lost_connections, [&](Time at) { return at + failure_window < *attempt.ended_at; });
    lost_connections.push_back(*attempt.ended_at);
    if (lost_connections.size() == failure_threshold)
        annotate(lost_connections.front(), attempt.invoker + " lost its connections");
}

void Summary::add_parked(const RequestHistory& history) {
    for (std::size_t i = 0; i < history.transitions.size(); ++i) {
        const StateTransition& transition = history.transitions[i];
        if (transition.transition.to != RequestState::parked) continue;
        const Time end = history.end_of_state(i);
        if (!find_or_add_second(transition.at) || !find_or_add_second(end)) continue;
        ++parked_change_by_second_[second_of(transition.at)];
        --parked_change_by_second_[second_of(end)];
    }
}

/// Adds an annotation, unless an equal one was added within same_event_window.
void Summary::annotate(Time at, std::string what) {
    if (annotations_.size() >= max_annotations) return;
    const auto [it, is_new] = last_annotated_.try_emplace(what, at);
    if (!is_new && at - it->second < same_event_window) return;
    it->second = at;
    annotations_.push_back({at, std::move(what)});
}

void Summary::add_annotations(const Record& record, const NameTable& names) {
    if (record.type == trace::gap) annotate(record.at, "records are missing");
    if (record.type == trace::endpoint_stream_lost) annotate(record.at, "the endpoint stream was lost");
    if (record.type != trace::endpoints_changed) return;
    const auto list = trace::unpack<trace::EndpointsChanged>(record.body);
    EndpointDiff& endpoints = endpoints_[list.controller];
    const bool had_endpoints = endpoints.has_endpoints();
    for (const EndpointChange& change : endpoints.feed(list, names))
        annotate(record.at, change.invoker + " " + describe(change.type));
    const bool gets_first_endpoints = !had_endpoints && endpoints.has_endpoints();
    if (gets_first_endpoints && record.at > initial_endpoints_window && list.controller < names.controllers().size())
        annotate(record.at, "controller " + names.controllers()[list.controller] + " starts");
}

void Summary::finish() {
    std::int64_t parked = 0;
    for (std::size_t i = 0; i < stats_by_second_.size(); ++i) {
        parked += parked_change_by_second_[i];
        stats_by_second_[i].parked = static_cast<std::uint64_t>(std::max<std::int64_t>(0, parked));
    }
    std::stable_sort(annotations_.begin(), annotations_.end(),
                     [](const Annotation& a, const Annotation& b) { return a.at < b.at; });
}

std::optional<Summary::Period> Summary::worst_period(std::size_t length_s) const {
    std::optional<Period> worst;
    for (std::size_t from = 0; from < stats_by_second_.size(); ++from) {
        OutcomeCounts sum;
        const std::size_t end = std::min(stats_by_second_.size(), from + length_s);
        for (std::size_t i = from; i < end; ++i) sum.add(stats_by_second_[i].ended);
        if (sum.ended_badly() > (worst ? worst->ended.ended_badly() : 0))
            worst = Period{std::chrono::seconds(from), sum};
    }
    return worst;
}

}  // namespace plumkeel::trace_analysis
