#include "gateway/status.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

namespace plumkeel::gateway {

namespace {

double seconds(Time time) {
    return std::chrono::duration<double>(time).count();
}

double round_to_tenths(double value) {
    return static_cast<double>(static_cast<long>(value * 10 + 0.5)) / 10;
}

/// The learned factor by which the invoker is slower than the average of the fleet.
double total_slowdown(const Invoker& invoker) {
    return invoker.type ? invoker.type->slowdown_factor * invoker.load_estimate.slowdown_factor
                        : invoker.load_estimate.slowdown_factor;
}

/// Name of the invoker's health in the status document and in the label `standing` of plumkeel_invokers.
std::string_view status_health_name(const InvokerEndpoint& endpoint) {
    static constexpr std::string_view names[] = {"trusted", "suspect", "aside", "easing"};
    return endpoint.accepts_attempts() ? names[static_cast<std::size_t>(endpoint.health.state)] : "not_ready";
}

/// Name of the invoker's health in the log.
std::string_view log_health_name(const InvokerEndpoint& endpoint) {
    static constexpr std::string_view names[] = {"healthy", "suspect", "ejected", "recovering"};
    return endpoint.accepts_attempts() ? names[static_cast<std::size_t>(endpoint.health.state)] : "not_ready";
}

/// Calls `callback` with the name and the count of each rejection reason that has occurred.
template <class Callback>
void for_each_rejection(const Admission& admission, Callback callback) {
    for (std::size_t i = 1; i < rejection_reason_count; ++i) {
        const auto reason = static_cast<RejectionReason>(i);
        if (const std::uint64_t count = admission.rejection_count(reason)) callback(response_for(reason).word, count);
    }
}

template <class Callback>
void for_each_invariant(Callback callback) {
    for (std::size_t i = 0; i < invariant_count; ++i) callback(static_cast<Invariant>(i));
}

}  // namespace

boost::json::object StatusReader::status() const {
    const RequestCounters& counters = sources_.counters;
    const std::optional<double> list_age = list_age_s();
    return {{"controller", incarnation_},
            {"up_s", static_cast<double>(sources_.loop.now().count()) / 1e6},
            {"closing", sources_.admission.closing()},
            {"jobs", request_counts()},
            {"hops", counters.attempts},
            {"probes", counters.health_checks},
            {"orders", counters.preloads},
            {"door", admission_counts()},
            {"lines", connection_counts()},
            {"functions", sources_.requests.function_count()},
            {"invokers", endpoint_counts()},
            {"list_age_s", list_age ? boost::json::value(*list_age) : boost::json::value(nullptr)},
            {"invariants_broken", invariant_counts()},
            {"wall_clock_steps", sources_.endpoints.wall_clock_steps()},
            {"log_lost", sources_.log.dropped_lines()}};
}

boost::json::object StatusReader::request_counts() const {
    const RequestCounters& counters = sources_.counters;
    return {{"taken", counters.received},
            {"honoured", counters.succeeded},
            {"bounced", counters.rejected},
            {"written_off", counters.failed},
            {"client_left", counters.cancelled},
            {"open", sources_.admission.open_requests()},
            {"parked", sources_.scheduler.parked_count()},
            {"streamed", counters.streamed},
            {"late_answers", counters.late_responses}};
}

boost::json::object StatusReader::admission_counts() const {
    boost::json::object rejections;
    for_each_rejection(sources_.admission,
                       [&](std::string_view word, std::uint64_t count) { rejections[word] = count; });
    return {{"connections", sources_.admission.connections()},
            {"held_bytes", sources_.admission.reserved_bytes()},
            {"turned_back", std::move(rejections)}};
}

boost::json::object StatusReader::connection_counts() const {
    std::size_t open = 0;
    for (const auto& [name, endpoint] : sources_.endpoints.endpoints()) open += endpoint->pool->connection_count();
    const ConnectionCounts& counts = sources_.endpoints.connection_counts();
    return {{"open", open},
            {"opened", counts.opened},
            {"reused", counts.reused},
            {"unreachable", counts.unreachable},
            {"late", counts.late_responses},
            {"spoilt", counts.malformed}};
}

boost::json::object StatusReader::endpoint_counts() const {
    boost::json::object result{{"trusted", 0}, {"suspect", 0}, {"aside", 0}, {"easing", 0}, {"not_ready", 0}};
    for (const auto& [name, endpoint] : sources_.endpoints.endpoints()) {
        boost::json::value& count = result[status_health_name(*endpoint)];
        count = count.as_int64() + 1;
    }
    return result;
}

boost::json::object StatusReader::invariant_counts() const {
    boost::json::object result;
    for_each_invariant([&](Invariant invariant) {
        if (const std::uint64_t count = sources_.invariants.violations(invariant)) result[name_of(invariant)] = count;
    });
    return result;
}

boost::json::array StatusReader::estimates() const {
    boost::json::array rows;
    for (const auto& [name, endpoint] : sources_.endpoints.endpoints()) {
        const ConnectionPool& pool = *endpoint->pool;
        if (!endpoint->is_listed && endpoint->in_flight.empty() && pool.connection_count() == 0) continue;
        boost::json::object row{{"invoker", name},
                                {"health", log_health_name(*endpoint)},
                                {"in_flight", endpoint->in_flight.size()},
                                {"sent", pool.in_flight_count()},
                                {"queued", pool.queued_count()},
                                {"connections", pool.connection_count()},
                                {"slowdown", round_to_tenths(total_slowdown(*endpoint))}};
        if (endpoint->load_estimate.reported_load)
            row["reported_load"] = round_to_tenths(*endpoint->load_estimate.reported_load);
        if (endpoint->slow_start.since) row["slow_start"] = true;
        rows.push_back(std::move(row));
    }
    return rows;
}

metrics::MetricSnapshot StatusReader::metric_snapshot() const {
    const Admission& admission = sources_.admission;
    metrics::MetricSnapshot snapshot;
    snapshot.open_requests = static_cast<double>(admission.open_requests());
    snapshot.reserved_bytes = static_cast<double>(admission.reserved_bytes());
    snapshot.client_connections = static_cast<double>(admission.connections());
    snapshot.functions = static_cast<double>(sources_.requests.function_count());
    snapshot.parked_requests = static_cast<double>(sources_.scheduler.parked_count());
    add_endpoint_values(snapshot);
    snapshot.list_age_s = list_age_s().value_or(snapshot.list_age_s);
    for_each_invariant([&](Invariant invariant) {
        snapshot.invariant_violations[std::string(name_of(invariant))] =
            static_cast<double>(sources_.invariants.violations(invariant));
    });
    snapshot.dropped_log_lines = static_cast<double>(sources_.log.dropped_lines());
    snapshot.failed_connects = static_cast<double>(sources_.endpoints.connection_counts().unreachable);
    for_each_rejection(admission, [&](std::string_view word, std::uint64_t count) {
        snapshot.rejections[std::string(word)] = static_cast<double>(count);
    });
    return snapshot;
}

void StatusReader::add_endpoint_values(metrics::MetricSnapshot& snapshot) const {
    std::vector<double> slowdowns;
    for (const auto& [name, endpoint] : sources_.endpoints.endpoints()) {
        snapshot.invoker_connections += static_cast<double>(endpoint->pool->connection_count());
        if (endpoint->draining_since && !endpoint->in_flight.empty())
            snapshot.longest_drain_s =
                std::max(snapshot.longest_drain_s, seconds(sources_.loop.now() - *endpoint->draining_since));
        if (!endpoint->accepts_attempts()) {
            ++snapshot.not_ready;
            continue;
        }
        snapshot.slow_start += endpoint->slow_start.since.has_value();
        slowdowns.push_back(endpoint->load_estimate.slowdown_factor * endpoint->load_estimate.contention_factor);
        double* const by_health[] = {&snapshot.healthy, &snapshot.suspect, &snapshot.ejected, &snapshot.recovering};
        ++*by_health[static_cast<std::size_t>(endpoint->health.state)];
        if (endpoint->health.state == HealthState::suspect || endpoint->health.state == HealthState::ejected)
            snapshot.in_flight_at_unhealthy += static_cast<double>(endpoint->in_flight.size());
    }
    if (slowdowns.empty()) return;
    const auto median = slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2);
    std::ranges::nth_element(slowdowns, median);
    snapshot.slowdown_median = *median;
    snapshot.slowdown_worst = *std::ranges::max_element(slowdowns);
}

std::optional<double> StatusReader::list_age_s() const {
    const std::optional<Time> confirmed_at = list_confirmed_at_ ? list_confirmed_at_() : std::nullopt;
    if (!confirmed_at) return std::nullopt;
    return seconds(sources_.loop.now() - *confirmed_at);
}

}  // namespace plumkeel::gateway
