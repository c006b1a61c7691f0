#include "scale/many_controllers.hpp"

#include <cmath>

#include "scale/popularity.hpp"

namespace plumkeel::scale {
namespace {

constexpr std::size_t replaced_invoker = 0, dead_invoker = 1;
constexpr double max_rare_requests_per_minute = 1;  // a function with more requests is not rare

void add_counts(HostCounts& sum, const HostCounts& counts) {
    sum.requests += counts.requests;
    sum.served += counts.served;
    sum.within_target += counts.within_target;
    sum.attempts += counts.attempts;
    sum.health_checks += counts.health_checks;
    sum.rejected_attempts += counts.rejected_attempts;
    sum.cold_starts += counts.cold_starts;
    sum.latency_sum_s += counts.latency_sum_s;
    sum.processor_time += counts.processor_time;
    for (std::size_t i = 0; i < sum.attempts_by_invoker.size(); ++i)
        sum.attempts_by_invoker[i] += counts.attempts_by_invoker[i];
}

class ManyControllersRun {
public:
    explicit ManyControllersRun(const ManyControllersCase& controllers_case)
        : case_(controllers_case),
          fleet_(case_.fleet),
          popularity_(case_.functions, case_.popularity_exponent),
          random_(case_.seed) {
        HostSettings settings = case_.host_settings;
        settings.controllers = case_.controllers;
        for (int i = 0; i < case_.controllers; ++i)
            hosts_.push_back(std::make_unique<SchedulerHost>(events_, fleet_, settings,
                                                             case_.seed * 1'000'003 + static_cast<std::uint64_t>(i)));
        requests_by_function_.resize(case_.functions);
    }

    std::vector<Measurement> run() {
        for (const auto& host : hosts_) host->announce_all();
        schedule_request();
        events_.run_until(case_.length / 3);
        const HostCounts counts_at_replacement = counts();
        replace_invoker();
        events_.run_until(case_.length / 2);
        fleet_.kill(dead_invoker);
        const std::uint64_t attempts_before_death = counts().attempts_by_invoker[dead_invoker];
        events_.run_until(case_.length * 2 / 3);
        const std::uint64_t attempts_to_dead = counts().attempts_by_invoker[dead_invoker] - attempts_before_death;
        announce_death();
        events_.run_until(case_.length);
        return measurements(counts_at_replacement, attempts_to_dead);
    }

private:
    void schedule_request() {
        const double gap_s = -std::log(1 - random_.next()) / case_.requests_per_s;
        events_.schedule_at(events_.now() + Time(static_cast<Time::rep>(gap_s * 1e6)), [this] {
            if (events_.now() >= case_.length) return;
            const auto function = popularity_.sample(random_);
            ++requests_by_function_[function];
            const auto host = static_cast<std::size_t>(random_.next() * static_cast<double>(hosts_.size()));
            hosts_[host]->submit(function);
            schedule_request();
        });
    }

    void replace_invoker() {
        fleet_.restart(replaced_invoker);
        for (const auto& host : hosts_) {
            host->set_invoker(replaced_invoker, true, true, events_.now());
            host->announce({replaced_invoker});
        }
    }

    void announce_death() {
        for (const auto& host : hosts_) {
            host->set_invoker(dead_invoker, false, false, std::nullopt);
            host->announce({dead_invoker});
        }
    }

    HostCounts counts() const {
        HostCounts sum;
        sum.attempts_by_invoker.resize(case_.fleet.invokers);
        for (const auto& host : hosts_) add_counts(sum, host->counts());
        return sum;
    }

    double length_s() const { return std::chrono::duration<double>(case_.length).count(); }

    // The mean number of instances of a rare function in the fleet at the end of the run.
    double instances_of_rare_function() const {
        const double max_rare_requests = std::max(1.0, max_rare_requests_per_minute * length_s() / 60);
        double rare_functions = 0, instances = 0;
        for (std::size_t i = 0; i < requests_by_function_.size(); ++i) {
            const std::uint64_t requests = requests_by_function_[i];
            if (requests == 0 || static_cast<double>(requests) > max_rare_requests) continue;
            ++rare_functions;
            instances += static_cast<double>(fleet_.instance_count(static_cast<ModelledFleet::FunctionNumber>(i)));
        }
        return rare_functions > 0 ? instances / rare_functions : 0;
    }

    // Attempts at the replaced invoker since its replacement, in percent of the mean number at unaffected invokers.
    double share_of_replaced(const HostCounts& counts_at_replacement, const HostCounts& end_counts) const {
        const auto attempts = [&](std::size_t invoker) {
            return static_cast<double>(end_counts.attempts_by_invoker[invoker] -
                                       counts_at_replacement.attempts_by_invoker[invoker]);
        };
        double other_attempts = 0;
        for (std::size_t i = dead_invoker + 1; i < end_counts.attempts_by_invoker.size(); ++i)
            other_attempts += attempts(i);
        const double mean_other_attempts = other_attempts / (static_cast<double>(case_.fleet.invokers) - 2);
        return 100 * attempts(replaced_invoker) / std::max(1.0, mean_other_attempts);
    }

    std::vector<Measurement> measurements(const HostCounts& counts_at_replacement,
                                          std::uint64_t attempts_to_dead) const {
        const HostCounts total = counts();
        const double invokers = static_cast<double>(case_.fleet.invokers),
                     controllers = static_cast<double>(case_.controllers);
        const double requests = std::max(1.0, static_cast<double>(total.requests));
        return {
            {"samples_an_invoker_a_minute", "count",
             static_cast<double>(total.attempts + total.health_checks) / invokers / controllers / length_s() * 60},
            {"attempts_to_dead", "count", static_cast<double>(attempts_to_dead)},
            {"instances_of_a_rare_function", "count", instances_of_rare_function()},
            {"cold_starts", "1/s", static_cast<double>(total.cold_starts) / length_s()},
            {"share_of_replaced", "%", share_of_replaced(counts_at_replacement, total)},
            {"full", "1/s", static_cast<double>(total.rejected_attempts) / length_s()},
            {"attempts_a_call", "count", static_cast<double>(total.attempts) / requests},
            {"probes_a_call", "count", static_cast<double>(total.health_checks) / requests},
            {"served", "%", 100 * static_cast<double>(total.served) / requests},
            {"within_target", "%", 100 * static_cast<double>(total.within_target) / requests},
            {"mean_wait", "ms", 1000 * total.latency_sum_s / std::max(1.0, static_cast<double>(total.served))},
            {"processor_a_call", "us",
             std::chrono::duration<double, std::micro>(total.processor_time).count() / requests},
        };
    }

    const ManyControllersCase case_;
    EventQueue events_;
    ModelledFleet fleet_;
    const Popularity popularity_;
    Pcg random_;
    std::vector<std::unique_ptr<SchedulerHost>> hosts_;
    std::vector<std::uint64_t> requests_by_function_;
};

}  // namespace

std::vector<Measurement> measure_many_controllers(const ManyControllersCase& controllers_case) {
    return ManyControllersRun(controllers_case).run();
}

}  // namespace plumkeel::scale
