#include "scale/decisions.hpp"

#include "scale/decision_run.hpp"

namespace plumkeel::scale {
namespace {

/// Differences between two snapshots, per second, per request and per placement.
class Rates {
public:
    Rates(const DecisionSnapshot& before, const DecisionSnapshot& after, double measured_s)
        : before_(before), after_(after), measured_s_(measured_s) {}

    double per_second(std::uint64_t HostCounts::*count) const { return difference(count) / measured_s_; }
    double per_request(double difference) const { return difference / std::max(1.0, requests()); }
    double percent_of_requests(std::uint64_t HostCounts::*count) const { return 100 * per_request(difference(count)); }
    double per_placement(double PlacementWork::*count) const { return work_difference(count) / placements(); }
    double work_difference(double PlacementWork::*count) const { return after_.work.*count - before_.work.*count; }
    double placements() const { return std::max(1.0, work_difference(&PlacementWork::placements)); }
    double allocations() const { return static_cast<double>(after_.allocations - before_.allocations); }
    double processor_share() const { return 100 * seconds_of(after_.counts.processor_time) / measured_s_; }
    static double seconds_of(std::chrono::nanoseconds duration) {
        return std::chrono::duration<double>(duration).count();
    }

private:
    double requests() const { return difference(&HostCounts::requests); }
    double difference(std::uint64_t HostCounts::*count) const {
        return static_cast<double>(after_.counts.*count - before_.counts.*count);
    }

    const DecisionSnapshot &before_, &after_;
    const double measured_s_;
};

std::vector<Measurement> processor_measurements(const SchedulerHost& host, const Rates& rates) {
    const auto microseconds = [](std::chrono::nanoseconds duration) { return Rates::seconds_of(duration) * 1e6; };
    return {{"processor_share", "%", rates.processor_share()},
            {"processor_a_call", "us", rates.per_request(microseconds(host.counts().processor_time))},
            {"worst_turn", "us", microseconds(host.counts().longest_call)},
            {"worst_call", "us", microseconds(host.longest_call(SchedulerCall::submit))},
            {"worst_attempt_end", "us", microseconds(host.longest_call(SchedulerCall::attempt_ended))},
            {"worst_timer", "us", microseconds(host.longest_call(SchedulerCall::wake))},
            {"worst_list", "us", microseconds(host.longest_call(SchedulerCall::endpoints_changed))}};
}

std::vector<Measurement> work_measurements(const SchedulerHost& host, const Rates& rates) {
    return {{"module_memory", "bytes", static_cast<double>(scheduler_allocations().live_bytes)},
            {"allocations_a_call", "count", rates.per_request(rates.allocations())},
            {"functions_held", "count", static_cast<double>(host.known_functions())},
            {"visited_a_choice", "count", rates.per_placement(&PlacementWork::examined)},
            {"weighed_a_choice", "count", rates.per_placement(&PlacementWork::scored)},
            {"hashed_a_choice", "count", rates.per_placement(&PlacementWork::hashed)},
            {"hashed", "count", rates.work_difference(&PlacementWork::hashed)},
            {"swept_a_call", "count", rates.per_request(rates.work_difference(&PlacementWork::swept))},
            {"choices_a_call", "count", rates.per_request(rates.placements())}};
}

std::vector<Measurement> traffic_measurements(const SchedulerHost& host, const Rates& rates) {
    return {{"probes", "1/s", rates.per_second(&HostCounts::health_checks)},
            {"attempts", "1/s", rates.per_second(&HostCounts::attempts)},
            {"new_connections", "1/s", rates.per_second(&HostCounts::new_connections)},
            {"open_connections", "count", static_cast<double>(host.open_connections())},
            {"cold_starts", "1/s", rates.per_second(&HostCounts::cold_starts)},
            {"full", "1/s", rates.per_second(&HostCounts::rejected_attempts)},
            {"served", "%", rates.percent_of_requests(&HostCounts::served)},
            {"rejected", "%", rates.percent_of_requests(&HostCounts::rejected)}};
}

// The load on one invoker from all controllers, if each controller sends as much as the measured one.
std::vector<Measurement> invoker_measurements(const DecisionCase& decision_case, const SchedulerHost& host,
                                              const Rates& rates) {
    const double controllers_per_invoker = static_cast<double>(decision_case.host_settings.controllers) /
                                           static_cast<double>(decision_case.fleet.invokers);
    return {
        {"attempts_an_invoker", "1/s", rates.per_second(&HostCounts::attempts) * controllers_per_invoker},
        {"probes_an_invoker", "1/s", rates.per_second(&HostCounts::health_checks) * controllers_per_invoker},
        {"handshakes_an_invoker", "1/s", rates.per_second(&HostCounts::new_connections) * controllers_per_invoker},
        {"connections_an_invoker", "count", static_cast<double>(host.open_connections()) * controllers_per_invoker}};
}

}  // namespace

std::vector<Measurement> measure_decisions(const DecisionCase& decision_case) {
    DecisionRun run(decision_case);
    const Time warm_up = decision_case.length / 4;
    run.run_until(warm_up);
    run.host().reset_processor_times();
    const DecisionSnapshot before = run.snapshot();
    run.run_until(decision_case.length);
    const DecisionSnapshot after = run.snapshot();
    const double measured_s = Rates::seconds_of(decision_case.length - warm_up);
    const Rates rates(before, after, measured_s);
    std::vector<Measurement> measurements = processor_measurements(run.host(), rates);
    const auto append = [&](std::vector<Measurement> added) {
        measurements.insert(measurements.end(), added.begin(), added.end());
    };
    append(work_measurements(run.host(), rates));
    append(traffic_measurements(run.host(), rates));
    append(invoker_measurements(decision_case, run.host(), rates));
    if (decision_case.disturbance == Disturbance::parked_functions)
        append({{"parked", "count", static_cast<double>(run.parked())}});
    return measurements;
}

}  // namespace plumkeel::scale
