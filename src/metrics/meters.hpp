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

#include "dispatch/types.hpp"
#include "metrics/heaviest.hpp"
#include "metrics/rules.hpp"

namespace plumkeel::metrics {

struct JobEnd {
    std::string_view use_case, tenant, function;
    JobState state{};
    Why why{};
    bool late{};
    Time took{}, waited{};  // waited: before its first hop left, or until its end
    std::size_t hops{};
};

struct HopEnd {
    Ending ending{};
    Note note{};
    bool expected_warm{}, loads{};
    Time took{};
};

// What is looked at, not counted.
struct Levels {
    double open_jobs{}, parked{}, held_bytes{}, connections{}, functions{}, connections_open{};
    double trusted{}, suspect{}, aside{}, easing{}, not_ready{}, cold{};
    double out_at_doubted{};     // hops out at invokers that are doubted or set aside
    double oldest_drain_s{};     // since when an invoker that takes no more has had hops out
    double pace_median{}, pace_worst{};  // slowness learned of invokers, 1 as their kind
    double list_age_s{}, lag_s{};
    double recorder_dropped{}, log_lost{};
    double unreachable{};  // connections to invokers that did not come about
    std::map<std::string, double> turned_back;  // at the door, by objection
    std::map<std::string, double> invariants_broken;  // by invariant; all of them, also those that hold
};

class Meters {
public:
    explicit Meters(MeterRules rules, const std::string& controller);

    void job_taken(bool again) {
        taken_->Increment();
        if (again) again_->Increment();
    }
    void job_ended(const JobEnd& end);
    void hop_ended(const HopEnd& end);
    void probe_sent() { probes_->Increment(); }
    void copies_ordered() { orders_->Increment(); }
    void set(const Levels& levels);
    // Lets names change places; call it every few seconds.
    void review();

    std::string exposition() const;  // the text format
    std::vector<prometheus::MetricFamily> collect() const { return registry_.Collect(); }
    const MeterRules& rules() const { return rules_; }

private:
    using Counter = prometheus::Counter;
    using Gauge = prometheus::Gauge;
    using Histogram = prometheus::Histogram;
    struct Tenants {  // one tenant's counters, by use case and outcome
        std::map<std::string, std::array<Counter*, 5>, std::less<>> by_use_case;
    };
    Counter& jobs_of(std::string_view use_case, std::string_view tenant, std::size_t outcome);
    Histogram& histogram(prometheus::Family<Histogram>& family, std::map<std::string, Histogram*, std::less<>>& known,
                         std::string_view use_case);

    const MeterRules rules_;
    prometheus::Registry registry_;
    Heaviest tenants_, functions_;
    prometheus::Family<Counter>*jobs_{}, *function_jobs_{}, *bounces_{}, *hops_{}, *loads_{}, *turned_back_{}, *invariants_broken_{};
    prometheus::Family<Histogram>*took_{}, *waited_{}, *hop_count_{};
    prometheus::Family<Gauge>* invokers_{};
    Counter *taken_{}, *again_{}, *looks_{}, *probes_{}, *orders_{}, *beliefs_wrong_{}, *loads_unfinished_{}, *recorder_dropped_{}, *log_lost_{}, *unreachable_{};
    Histogram *hop_took_{}, *load_took_{};
    std::map<std::string, Gauge*> gauges_;
    std::map<std::string, Tenants, std::less<>> by_tenant_;
    std::map<std::string, Counter*, std::less<>> by_function_, by_reason_, by_objection_, by_invariant_;
    std::array<Counter*, 9> by_ending_{};
    std::array<Counter*, 5> by_note_{};
    std::map<std::string, Histogram*, std::less<>> took_by_, waited_by_, hops_by_;
};

}  // namespace plumkeel::metrics
