#include "scale/many_controllers.hpp"

#include <cmath>

#include "scale/popularity.hpp"

namespace plumkeel::scale {
namespace {

constexpr std::size_t replaced_invoker = 0, dead_invoker = 1;
constexpr double rare_calls_per_minute = 1;  // at most, from all controllers: what counts as a rare function

class ManyControllersRun {
public:
    explicit ManyControllersRun(const ManyControllersCase& of)
        : case_(of), fleet_(of.fleet), popularity_(of.functions, of.exponent), random_(of.seed) {
        HostSettings settings = of.host;
        settings.controllers = of.controllers;
        for (int i = 0; i < of.controllers; ++i)
            hosts_.push_back(std::make_unique<ControllerHost>(events_, fleet_, settings,
                                                              of.seed * 1'000'003 + static_cast<std::uint64_t>(i)));
        calls_of_.resize(of.functions);
    }

    std::vector<Measured> play() {
        for (const auto& host : hosts_) host->tell_whole_list();
        schedule_call();
        const Time third = case_.length / 3, half = case_.length / 2, told = case_.length * 2 / 3;
        events_.run_until(third);
        const HostCounts at_third = sum();
        replace();
        events_.run_until(half);
        fleet_.kill(dead_invoker);
        const std::uint64_t sent_before_death = sum().attempts_to[dead_invoker];
        events_.run_until(told);
        const std::uint64_t sent_to_dead = sum().attempts_to[dead_invoker] - sent_before_death;
        tell_death();
        events_.run_until(case_.length);
        return figures(at_third, sent_to_dead);
    }

private:
    void schedule_call() {
        const double gap = -std::log(1 - random_.next()) / case_.calls_per_s;
        events_.at(events_.now() + Time(static_cast<Time::rep>(gap * 1e6)), [this] {
            if (events_.now() >= case_.length) return;
            const auto function = popularity_.sample(random_);
            ++calls_of_[function];
            hosts_[static_cast<std::size_t>(random_.next() * static_cast<double>(hosts_.size()))]->call(function);
            schedule_call();
        });
    }

    void replace() {
        fleet_.restart(replaced_invoker);
        for (const auto& host : hosts_) {
            host->set_invoker(replaced_invoker, true, true, events_.now());
            host->tell_changed({replaced_invoker});
        }
    }

    void tell_death() {
        for (const auto& host : hosts_) {
            host->set_invoker(dead_invoker, false, false, std::nullopt);
            host->tell_changed({dead_invoker});
        }
    }

    HostCounts sum() const {
        HostCounts out;
        out.attempts_to.resize(case_.fleet.invokers);
        for (const auto& host : hosts_) {
            const HostCounts& of = host->counts();
            out.calls += of.calls;
            out.served += of.served;
            out.within_target += of.within_target;
            out.attempts += of.attempts;
            out.probes += of.probes;
            out.full += of.full;
            out.cold_starts += of.cold_starts;
            out.waited_s += of.waited_s;
            out.processor += of.processor;
            for (std::size_t i = 0; i < out.attempts_to.size(); ++i) out.attempts_to[i] += of.attempts_to[i];
        }
        return out;
    }

    // Of functions called, but at most so seldom; the mean number of instances that stand in the fleet at the end.
    double instances_of_rare() const {
        const double most = rare_calls_per_minute * std::chrono::duration<double>(case_.length).count() / 60;
        double functions = 0, instances = 0;
        for (std::size_t i = 0; i < calls_of_.size(); ++i) {
            if (calls_of_[i] == 0 || static_cast<double>(calls_of_[i]) > std::max(1.0, most)) continue;
            ++functions;
            instances += static_cast<double>(fleet_.instances_of(static_cast<ModelledFleet::FunctionNumber>(i)));
        }
        return functions > 0 ? instances / functions : 0;
    }

    std::vector<Measured> figures(const HostCounts& at_third, std::uint64_t sent_to_dead) const {
        const HostCounts all = sum();
        const double span = std::chrono::duration<double>(case_.length).count();
        const double invokers = static_cast<double>(case_.fleet.invokers),
                     controllers = static_cast<double>(case_.controllers);
        const double calls = std::max(1.0, static_cast<double>(all.calls));
        double others = 0;
        for (std::size_t i = 2; i < all.attempts_to.size(); ++i)
            others += static_cast<double>(all.attempts_to[i] - at_third.attempts_to[i]);
        const double mean_of_others = others / (invokers - 2);
        const double replaced =
            static_cast<double>(all.attempts_to[replaced_invoker] - at_third.attempts_to[replaced_invoker]);
        return {
            {"samples_an_invoker_a_minute", "count",
             static_cast<double>(all.attempts + all.probes) / invokers / controllers / span * 60},
            {"attempts_to_dead", "count", static_cast<double>(sent_to_dead)},
            {"instances_of_a_rare_function", "count", instances_of_rare()},
            {"cold_starts", "1/s", static_cast<double>(all.cold_starts) / span},
            {"share_of_replaced", "%", 100 * replaced / std::max(1.0, mean_of_others)},
            {"full", "1/s", static_cast<double>(all.full) / span},
            {"attempts_a_call", "count", static_cast<double>(all.attempts) / calls},
            {"probes_a_call", "count", static_cast<double>(all.probes) / calls},
            {"served", "%", 100 * static_cast<double>(all.served) / calls},
            {"within_target", "%", 100 * static_cast<double>(all.within_target) / calls},
            {"mean_wait", "ms", 1000 * all.waited_s / std::max(1.0, static_cast<double>(all.served))},
            {"processor_a_call", "us", std::chrono::duration<double, std::micro>(all.processor).count() / calls},
        };
    }

    const ManyControllersCase case_;
    EventQueue events_;
    ModelledFleet fleet_;
    const Popularity popularity_;
    Pcg random_;
    std::vector<std::unique_ptr<ControllerHost>> hosts_;
    std::vector<std::uint64_t> calls_of_;  // by function
};

}  // namespace

std::vector<Measured> measure_many_controllers(const ManyControllersCase& of) {
    return ManyControllersRun(of).play();
}

}  // namespace plumkeel::scale
