#include "metrics/request_metrics.hpp"

#include "metrics/duration_buckets.hpp"

namespace plumkeel::metrics {
namespace {

const Histogram::BucketBoundaries attempt_count_buckets = {0, 1, 2, 3, 4, 6};
constexpr std::size_t counted_names_ratio = 10;  // number of names that are counted for each name that is reported

}  // namespace

void HistogramByClass::observe(std::string_view request_class, double value) {
    auto it = histograms_.find(request_class);
    if (it == histograms_.end()) {
        const std::string name(request_class);
        it = histograms_.emplace(name, &family_.Add({{label_name::request_class, name}}, buckets_)).first;
    }
    it->second->Observe(value);
}

RequestMetrics::RequestMetrics(MetricFamilies& families, const MetricsConfig& config)
    : families_(families),
      tenants_(config.max_tenants, config.max_tenants * counted_names_ratio),
      functions_(config.max_functions, config.max_functions * counted_names_ratio),
      request_duration_(families.request_duration, duration_buckets()),
      queue_time_(families.queue_time, duration_buckets()),
      attempts_per_request_(families.attempts_per_request, attempt_count_buckets) {}

void RequestMetrics::record(const CompletedRequest& request) {
    const bool reported_tenant = request.tenant.empty() || tenants_.add(request.tenant);
    const std::string_view tenant = reported_tenant ? request.tenant : HeavyHitters::others;
    outcome_counter(request.request_class, tenant, request_outcome(request.state, request.late)).Increment();
    function_counter(functions_.add(request.function) ? request.function : HeavyHitters::others).Increment();
    queue_time_.observe(request.request_class, to_seconds(request.queue_time));
    attempts_per_request_.observe(request.request_class, static_cast<double>(request.attempts));
    if (request.state == RequestState::succeeded)
        request_duration_.observe(request.request_class, to_seconds(request.duration));
    if (request.state == RequestState::rejected || request.state == RequestState::failed)
        failure_counter(request.reason).Increment();
}

Counter& RequestMetrics::outcome_counter(std::string_view request_class, std::string_view tenant,
                                         RequestOutcome outcome) {
    auto tenant_it = counters_by_tenant_.find(tenant);
    if (tenant_it == counters_by_tenant_.end())
        tenant_it = counters_by_tenant_.emplace(std::string(tenant), CountersByClass{}).first;
    CountersByClass& by_class = tenant_it->second;
    auto it = by_class.find(request_class);
    if (it == by_class.end())
        it = by_class.emplace(std::string(request_class), add_outcome_counters(request_class, tenant)).first;
    return *it->second[static_cast<std::size_t>(outcome)];
}

// Adds the counters of all outcomes with the value 0. A counter that is added together with its first event would start
// at 1, and Prometheus' rate() would miss that event.
RequestMetrics::OutcomeCounters RequestMetrics::add_outcome_counters(std::string_view request_class,
                                                                     std::string_view tenant) {
    OutcomeCounters counters{};
    for (const RequestOutcome outcome : request_outcomes)
        counters[static_cast<std::size_t>(outcome)] =
            &families_.requests.Add({{label_name::request_outcome, label(outcome)},
                                     {label_name::request_class, std::string(request_class)},
                                     {label_name::tenant, std::string(tenant)}});
    return counters;
}

Counter& RequestMetrics::function_counter(std::string_view function) {
    auto it = counters_by_function_.find(function);
    if (it == counters_by_function_.end()) {
        const std::string name(function);
        Counter& added = families_.function_requests.Add({{label_name::function, name}});
        it = counters_by_function_.emplace(name, &added).first;
    }
    return *it->second;
}

Counter& RequestMetrics::failure_counter(DecisionReason reason) {
    Counter*& counter = counters_by_reason_[label(reason)];
    if (!counter) counter = &families_.failures.Add({{label_name::failure_reason, label(reason)}});
    return *counter;
}

void RequestMetrics::update_reported_names() {
    for (const std::string& tenant : tenants_.update_reported_names().removed) {
        const auto it = counters_by_tenant_.find(tenant);
        if (it == counters_by_tenant_.end()) continue;
        for (const auto& [request_class, counters] : it->second)
            for (Counter* counter : counters) families_.requests.Remove(counter);
        counters_by_tenant_.erase(it);
    }
    for (const std::string& function : functions_.update_reported_names().removed) {
        const auto it = counters_by_function_.find(function);
        if (it == counters_by_function_.end()) continue;
        families_.function_requests.Remove(it->second);
        counters_by_function_.erase(it);
    }
}

}  // namespace plumkeel::metrics
