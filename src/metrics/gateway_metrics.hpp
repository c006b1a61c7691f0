// What a controller measures of itself, in a prometheus-cpp registry. Everything is called on the controller's own
// thread; it reads no clock. The number of series is bounded by MeterRules.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <memory>
#include <string>

#include "metrics/heavy_hitters.hpp"
#include "metrics/metrics_config.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::metrics {

struct RequestEnd {
    std::string_view request_class, tenant, function;
    RequestState state{};
    DecisionReason reason{};
    bool late{};
    Time duration{}, waited{};  // waited: before its first hop left, or until its end
    std::size_t attempts{};
};

struct AttemptEnd {
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    bool expected_warm{}, starts_load{};
    Time duration{};
};

// What is looked at, not counted.
struct Levels {
    double open_requests{}, parked{}, reserved_bytes{}, connections{}, functions{}, connections_open{};
    double healthy{}, suspect{}, ejected{}, recovering{}, not_ready{}, slow_start{};
    double in_flight_at_unhealthy{};             // hops out at invokers that are doubted or set aside
    double longest_drain_s{};                    // since when an invoker that takes no more has had hops out
    double slowdown_median{}, slowdown_worst{};  // slowness learned of invokers, 1 as their kind
    double list_age_s{}, lag_s{};
    double recorder_dropped{}, log_dropped{};
    double unreachable{};                             // connections to invokers that did not come about
    std::map<std::string, double> refused;            // at the door, by objection
    std::map<std::string, double> invariants_broken;  // by invariant; all of them, also those that hold
};

class GatewayMetrics {
public:
    explicit GatewayMetrics(MetricsConfig rules, const std::string& controller);

    void request_received(bool again) {
        received_->Increment();
        if (again) client_retries_->Increment();
    }
    void request_ended(const RequestEnd& end);
    void attempt_ended(const AttemptEnd& end);
    void health_check_sent() { health_checks_->Increment(); }
    void preload_sent() { preloads_->Increment(); }
    void set_levels(const Levels& levels);
    // Lets names change places; call it every few seconds.
    void review();

    std::string exposition() const;  // the text format
    std::vector<prometheus::MetricFamily> collect() const { return registry_.Collect(); }
    const MetricsConfig& config() const { return config_; }

private:
    using Counter = prometheus::Counter;
    using Gauge = prometheus::Gauge;
    using Histogram = prometheus::Histogram;
    struct Tenants {  // one tenant's counters, by use case and outcome
        std::map<std::string, std::array<Counter*, 5>, std::less<>> by_use_case;
    };
    Counter& requests_counter(std::string_view request_class, std::string_view tenant, std::size_t outcome);
    Histogram& histogram(prometheus::Family<Histogram>& family, std::map<std::string, Histogram*, std::less<>>& known,
                         std::string_view request_class);

    const MetricsConfig config_;
    prometheus::Registry registry_;
    HeavyHitters tenants_, functions_;
    prometheus::Family<Counter>*requests_{}, *function_requests_{}, *rejections_{}, *attempts_{}, *loads_{},
        *refused_{}, *invariants_broken_{};
    prometheus::Family<Histogram>*duration_{}, *waiting_{}, *attempt_count_{};
    prometheus::Family<Gauge>* invokers_{};
    Counter *received_{}, *client_retries_{}, *rounds_{}, *health_checks_{}, *preloads_{}, *warm_mispredictions_{},
        *loads_unfinished_{}, *recorder_dropped_{}, *log_lost_{}, *unreachable_{};
    Histogram *attempt_duration_{}, *load_duration_{};
    std::map<std::string, Gauge*> gauges_;
    std::map<std::string, Tenants, std::less<>> by_tenant_;
    std::map<std::string, Counter*, std::less<>> by_function_, by_reason_, by_objection_, by_invariant_;
    std::array<Counter*, 9> by_ending_{};
    std::array<Counter*, 5> by_note_{};
    std::map<std::string, Histogram*, std::less<>> took_by_, waited_by_, hops_by_;
};

}  // namespace plumkeel::metrics
