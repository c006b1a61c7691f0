#include "metrics/metric_families.hpp"

#include "metrics/metric_labels.hpp"

namespace plumkeel::metrics {
namespace {

constexpr const char* metric_name_prefix = "plumkeel_";

}  // namespace

MetricFamilies::MetricFamilies(prometheus::Registry& registry, const std::string& controller)
    : registry_(registry),
      labels_({{label_name::controller, controller}}),
      requests(add_counter("jobs_total", "Completed requests, by outcome")),
      function_requests(add_counter("function_jobs_total", "Completed requests, by function")),
      failures(add_counter("given_up_total", "Requests that the controller rejected or failed, by reason")),
      attempts(add_counter("hops_total", "Completed attempts, by outcome")),
      loads(add_counter("copies_met_total", "Successful attempts, by whether the invoker had the function loaded")),
      rejections(add_counter("turned_back_total", "Requests rejected at admission, by reason")),
      invariant_violations(
          add_counter("invariants_broken_total",
                      "Violations of invariants at run time, by invariant; any is a defect of the gateway")),
      received_requests(add_counter("jobs_taken_total", "Requests received")),
      client_retries(add_counter("jobs_again_total", "Requests that are retries by clients")),
      gauge_updates(add_counter("looks_total", "Updates of the gauges; does not increase while the controller stalls")),
      health_checks(add_counter("probes_total", "Health checks sent")),
      preloads(add_counter("orders_total", "Preload and unload commands sent")),
      warm_mispredictions(
          add_counter("beliefs_wrong_total",
                      "Attempts that had to load the function although it was expected to be loaded at the invoker")),
      unfinished_loads(add_counter("loads_unfinished_total",
                                   "Attempts that were expected to load the function and did not succeed")),
      dropped_trace_records(add_counter("trace_records_dropped_total", "Trace records that the recorder dropped")),
      dropped_log_lines(add_counter("log_lines_lost_total", "Log lines that were not written")),
      failed_connects(add_counter("lines_unreachable_total", "Failed attempts to connect to invokers")),
      request_duration(add_histogram("job_seconds", "Time from request to response of successful requests")),
      queue_time(
          add_histogram("waited_seconds", "Time from a request to its first attempt, or to its end if there was none")),
      attempts_per_request(add_histogram("job_hops", "Attempts per request")),
      attempt_duration(
          add_histogram("hop_seconds", "Duration of successful attempts at invokers that had the function loaded")),
      load_duration(add_histogram("load_seconds", "Duration of successful attempts that loaded the function")),
      invokers(add_gauge("invokers", "Number of invokers, by state")) {}

CounterFamily& MetricFamilies::add_counter(const std::string& name, const char* help) {
    return prometheus::BuildCounter().Name(metric_name_prefix + name).Help(help).Labels(labels_).Register(registry_);
}

HistogramFamily& MetricFamilies::add_histogram(const std::string& name, const char* help) {
    return prometheus::BuildHistogram().Name(metric_name_prefix + name).Help(help).Labels(labels_).Register(registry_);
}

GaugeFamily& MetricFamilies::add_gauge(const std::string& name, const char* help) {
    return prometheus::BuildGauge().Name(metric_name_prefix + name).Help(help).Labels(labels_).Register(registry_);
}

}  // namespace plumkeel::metrics
