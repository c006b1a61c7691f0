#include "metrics/metric_families.hpp"

#include "metrics/metric_labels.hpp"

namespace plumkeel::metrics {
namespace {

constexpr const char* prefix = "plumkeel_";

}  // namespace

MetricFamilies::MetricFamilies(prometheus::Registry& registry, const std::string& controller)
    : registry_(registry),
      labels_({{label_name::controller, controller}}),
      requests(add_counter("jobs_total", "Requests completed, by outcome")),
      function_requests(add_counter("function_jobs_total", "Requests completed, by function")),
      failures(add_counter("given_up_total", "Requests that the controller rejected or failed, by reason")),
      attempts(add_counter("hops_total", "Attempts completed, by outcome")),
      loads(add_counter("copies_met_total", "Successful attempts, by whether the function was loaded")),
      rejections(add_counter("turned_back_total", "Requests rejected at admission, by reason")),
      invariant_violations(
          add_counter("invariants_broken_total", "Violations of invariants at run time, by invariant: 0 expected")),
      received(add_counter("jobs_taken_total", "Requests received")),
      client_retries(add_counter("jobs_again_total", "Requests that their clients had sent before")),
      collections(add_counter("looks_total", "Updates of the gauges: constant while the controller stalls")),
      health_checks(add_counter("probes_total", "Health checks sent")),
      preloads(add_counter("orders_total", "Preload and unload commands sent")),
      warm_mispredictions(
          add_counter("beliefs_wrong_total", "Attempts at an invoker estimated warm that had to load the function")),
      unfinished_loads(
          add_counter("loads_unfinished_total", "Attempts that were to load their function and did not succeed")),
      dropped_trace_records(add_counter("trace_records_dropped_total", "Trace records that the recorder dropped")),
      dropped_log_lines(add_counter("log_lines_lost_total", "Log lines not written")),
      failed_connects(add_counter("lines_unreachable_total", "Failed connections to invokers")),
      request_duration(add_histogram("job_seconds", "From request to response, of requests that succeeded")),
      queue_time(add_histogram("waited_seconds", "Until the first attempt of a request, or its end")),
      attempts_per_request(add_histogram("job_hops", "Attempts of a request")),
      attempt_duration(add_histogram("hop_seconds", "Successful attempts at a warm invoker")),
      load_duration(add_histogram("load_seconds", "Successful attempts that loaded the function")),
      invokers(add_gauge("invokers", "Invokers, by state")) {}

CounterFamily& MetricFamilies::add_counter(const std::string& name, const char* help) {
    return prometheus::BuildCounter().Name(prefix + name).Help(help).Labels(labels_).Register(registry_);
}

HistogramFamily& MetricFamilies::add_histogram(const std::string& name, const char* help) {
    return prometheus::BuildHistogram().Name(prefix + name).Help(help).Labels(labels_).Register(registry_);
}

GaugeFamily& MetricFamilies::add_gauge(const std::string& name, const char* help) {
    return prometheus::BuildGauge().Name(prefix + name).Help(help).Labels(labels_).Register(registry_);
}

}  // namespace plumkeel::metrics
