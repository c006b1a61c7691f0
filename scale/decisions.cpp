#include "scale/decisions.hpp"

#include "scale/decision_run.hpp"

namespace plumkeel::scale {
namespace {

/// Differences of two snapshots, related to requests and time.
class Rates {
public:
    Rates(const DecisionSnapshot& before, const DecisionSnapshot& after, double seconds)
        : before_(before), after_(after), seconds_(seconds) {}

    double a_second(std::uint64_t HostCounts::*count) const { return difference(count) / seconds_; }
    double a_request(double difference) const { return difference / std::max(1.0, requests()); }
    double share(std::uint64_t HostCounts::*count) const { return 100 * a_request(difference(count)); }
    double a_placement(double PlacementWork::*count) const { return work(count) / placements(); }
    double work(double PlacementWork::*count) const { return after_.work.*count - before_.work.*count; }
    double placements() const { return std::max(1.0, work(&PlacementWork::placements)); }
    double allocations() const { return static_cast<double>(after_.allocations - before_.allocations); }
    double processor_share() const { return 100 * seconds_of(after_.counts.processor) / seconds_; }
    static double seconds_of(std::chrono::nanoseconds duration) {
        return std::chrono::duration<double>(duration).count();
    }

private:
    double requests() const { return difference(&HostCounts::requests); }
    double difference(std::uint64_t HostCounts::*count) const {
        return static_cast<double>(after_.counts.*count - before_.counts.*count);
    }

    const DecisionSnapshot &before_, &after_;
    const double seconds_;
};

std::vector<Measurement> processor_figures(const SchedulerHost& host, const Rates& rates) {
    const auto microseconds = [](std::chrono::nanoseconds duration) { return Rates::seconds_of(duration) * 1e6; };
    return {{"processor_share", "%", rates.processor_share()},
            {"processor_a_call", "us", rates.a_request(microseconds(host.counts().processor))},
            {"worst_turn", "us", microseconds(host.counts().longest_call)},
            {"worst_call", "us", microseconds(host.longest(SchedulerCall::submit))},
            {"worst_attempt_end", "us", microseconds(host.longest(SchedulerCall::attempt_ended))},
            {"worst_timer", "us", microseconds(host.longest(SchedulerCall::wake))},
            {"worst_list", "us", microseconds(host.longest(SchedulerCall::endpoints_changed))}};
}

std::vector<Measurement> work_figures(const SchedulerHost& host, const Rates& rates) {
    return {{"module_memory", "bytes", static_cast<double>(scheduler_allocations().live_bytes)},
            {"allocations_a_call", "count", rates.a_request(rates.allocations())},
            {"functions_held", "count", static_cast<double>(host.known_functions())},
            {"visited_a_choice", "count", rates.a_placement(&PlacementWork::examined)},
            {"weighed_a_choice", "count", rates.a_placement(&PlacementWork::scored)},
            {"hashed_a_choice", "count", rates.a_placement(&PlacementWork::hashed)},
            {"hashed", "count", rates.work(&PlacementWork::hashed)},
            {"swept_a_call", "count", rates.a_request(rates.work(&PlacementWork::swept))},
            {"choices_a_call", "count", rates.a_request(rates.placements())}};
}

std::vector<Measurement> traffic_figures(const SchedulerHost& host, const Rates& rates) {
    return {{"probes", "1/s", rates.a_second(&HostCounts::health_checks)},
            {"attempts", "1/s", rates.a_second(&HostCounts::attempts)},
            {"new_connections", "1/s", rates.a_second(&HostCounts::new_connections)},
            {"open_connections", "count", static_cast<double>(host.open_connections())},
            {"cold_starts", "1/s", rates.a_second(&HostCounts::cold_starts)},
            {"full", "1/s", rates.a_second(&HostCounts::rejected_attempts)},
            {"served", "%", rates.share(&HostCounts::served)},
            {"rejected", "%", rates.share(&HostCounts::rejected)}};
}

// What reaches one invoker from all controllers together, were each like this one.
std::vector<Measurement> invoker_figures(const DecisionCase& decision_case, const SchedulerHost& host,
                                         const Rates& rates) {
    const double controllers_an_invoker =
        static_cast<double>(decision_case.host.controllers) / static_cast<double>(decision_case.fleet.invokers);
    return {{"attempts_an_invoker", "1/s", rates.a_second(&HostCounts::attempts) * controllers_an_invoker},
            {"probes_an_invoker", "1/s", rates.a_second(&HostCounts::health_checks) * controllers_an_invoker},
            {"handshakes_an_invoker", "1/s", rates.a_second(&HostCounts::new_connections) * controllers_an_invoker},
            {"connections_an_invoker", "count", static_cast<double>(host.open_connections()) * controllers_an_invoker}};
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
    const double seconds = Rates::seconds_of(decision_case.length - warm_up);
    const Rates rates(before, after, seconds);
    std::vector<Measurement> figures = processor_figures(run.host(), rates);
    const auto append = [&](std::vector<Measurement> more) { figures.insert(figures.end(), more.begin(), more.end()); };
    append(work_figures(run.host(), rates));
    append(traffic_figures(run.host(), rates));
    append(invoker_figures(decision_case, run.host(), rates));
    if (decision_case.disturbance == Disturbance::parked_functions)
        append({{"parked", "count", static_cast<double>(run.parked())}});
    return figures;
}

}  // namespace plumkeel::scale
