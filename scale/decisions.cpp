#include "scale/decisions.hpp"

#include <cmath>

#include "scale/popularity.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t parked_at_once = 1024;

double seconds(std::chrono::nanoseconds span) {
    return std::chrono::duration<double>(span).count();
}

Time span_of(double in_seconds) {
    return Time(static_cast<Time::rep>(in_seconds * 1e6));
}

// What choosing cost, where the module counts it.
struct ChoiceWork {
    double placements{}, examined{}, scored{}, hashed{}, swept{};
};

template <class Module>
ChoiceWork choice_work(const Module& module) {
    if constexpr (requires { module.work(); }) {
        const auto& work = module.work();
        return {static_cast<double>(work.placements), static_cast<double>(work.examined),
                static_cast<double>(work.scored), static_cast<double>(work.hashed), static_cast<double>(work.swept)};
    } else {
        return {};
    }
}

class DecisionRun {
public:
    explicit DecisionRun(const DecisionCase& of)
        : case_(of),
          fleet_(of.fleet),
          host_(events_, fleet_, of.host, of.seed),
          popularity_(of.functions, of.exponent),
          random_(of.seed) {}

    std::vector<Measured> play() {
        host_.tell_whole_list();
        schedule_call();
        disturb();
        const Time warm_up = case_.length / 4;
        events_.run_until(warm_up);
        host_.restart_clocks();
        const HostCounts before = host_.counts();
        const ChoiceWork work_before = choice_work(host_.controller());
        const std::uint64_t allocated_before = module_allocations().allocations;
        events_.run_until(case_.length);
        return figures(before, work_before, allocated_before, seconds(case_.length - warm_up));
    }

private:
    void schedule_call() {
        const double gap = -std::log(1 - random_.next()) / case_.calls_per_s;
        events_.at(events_.now() + span_of(gap), [this] {
            if (events_.now() >= case_.length) return;
            host_.call(case_.disturbance == Disturbance::new_names ? new_name_++ : popularity_.sample(random_));
            schedule_call();
        });
    }

    void disturb() {
        switch (case_.disturbance) {
            case Disturbance::none:
            case Disturbance::new_names:
                break;
            case Disturbance::restarts:
                for (std::size_t i = 0; i < case_.fleet.invokers; ++i)
                    events_.at(case_.length * static_cast<long>(i) / static_cast<long>(case_.fleet.invokers),
                               [this, i] { restart(i); });
                break;
            case Disturbance::zone_outage:
                events_.at(case_.length / 3, [this] { zone(false); });
                events_.at(case_.length * 2 / 3, [this] { zone(true); });
                break;
            case Disturbance::whole_list:
                events_.at(case_.length / 2, [this] { host_.tell_whole_list(); });
                break;
            case Disturbance::parked_functions:
                events_.at(case_.length / 2, [this] { park_many(); });
                break;
            case Disturbance::units_change:
                for (Time at = 1s; at < case_.length; at += 1s) events_.at(at, [this] { change_units(); });
                break;
        }
    }

    void restart(std::size_t invoker) {
        fleet_.restart(invoker);
        host_.set_invoker(invoker, true, true, events_.now());
        host_.tell_changed({invoker});
    }

    void zone(bool back) {
        std::vector<std::size_t> changed;
        for (std::size_t i = 0; i < case_.fleet.invokers; i += case_.fleet.zones) {
            back ? fleet_.restart(i) : fleet_.kill(i);
            host_.set_invoker(i, back, true, back ? std::optional(events_.now()) : std::nullopt);
            changed.push_back(i);
        }
        host_.tell_changed(changed);
    }

    // All invokers drain for a second, in which the calls come.
    void park_many() {
        set_all_ready(false);
        for (std::size_t i = 0; i < parked_at_once; ++i)
            host_.call(static_cast<ControllerHost::FunctionNumber>(case_.functions + i));
        parked_ = host_.parked();
        events_.at(events_.now() + 1s, [this] { set_all_ready(true); });
    }

    void set_all_ready(bool ready) {
        for (std::size_t i = 0; i < case_.fleet.invokers; ++i) host_.set_invoker(i, true, ready, std::nullopt);
        host_.tell_whole_list();
    }

    void change_units() {
        std::vector<std::size_t> changed;
        for (std::size_t i = 0; i < std::max<std::size_t>(1, case_.fleet.invokers / 100); ++i) {
            const auto number = static_cast<std::size_t>(random_.next() * static_cast<double>(case_.fleet.invokers));
            host_.set_invoker(number, true, true, std::nullopt, 0.5 + random_.next());
            changed.push_back(number);
        }
        host_.tell_changed(changed);
    }

    std::vector<Measured> figures(const HostCounts& before, const ChoiceWork& work_before,
                                  std::uint64_t allocated_before, double span) const {
        const HostCounts& now = host_.counts();
        const double calls = static_cast<double>(now.calls - before.calls);
        const ChoiceWork work = choice_work(host_.controller());
        const double choices = std::max(1.0, work.placements - work_before.placements);
        const auto microseconds = [](std::chrono::nanoseconds t) { return seconds(t) * 1e6; };
        const auto a_second = [&](std::uint64_t after, std::uint64_t earlier) {
            return static_cast<double>(after - earlier) / span;
        };
        std::vector<Measured> out = {
            {"processor_share", "%", 100 * seconds(now.processor) / span},
            {"processor_a_call", "us", microseconds(now.processor) / std::max(1.0, calls)},
            {"worst_turn", "us", microseconds(now.worst_turn)},
            {"worst_call", "us", microseconds(host_.worst_of(Turn::call))},
            {"worst_attempt_end", "us", microseconds(host_.worst_of(Turn::attempt_end))},
            {"worst_timer", "us", microseconds(host_.worst_of(Turn::timer))},
            {"worst_list", "us", microseconds(host_.worst_of(Turn::list))},
            {"module_memory", "bytes", static_cast<double>(module_allocations().live_bytes)},
            {"allocations_a_call", "count",
             static_cast<double>(module_allocations().allocations - allocated_before) / std::max(1.0, calls)},
            {"functions_held", "count", static_cast<double>(host_.functions_held())},
            {"visited_a_choice", "count", (work.examined - work_before.examined) / choices},
            {"weighed_a_choice", "count", (work.scored - work_before.scored) / choices},
            {"hashed_a_choice", "count", (work.hashed - work_before.hashed) / choices},
            {"hashed", "count", work.hashed - work_before.hashed},
            {"swept_a_call", "count", (work.swept - work_before.swept) / std::max(1.0, calls)},
            {"choices_a_call", "count", choices / std::max(1.0, calls)},
            {"probes", "1/s", a_second(now.probes, before.probes)},
            {"attempts", "1/s", a_second(now.attempts, before.attempts)},
            {"new_connections", "1/s", a_second(now.new_connections, before.new_connections)},
            {"open_connections", "count", static_cast<double>(host_.open_connections())},
            {"cold_starts", "1/s", a_second(now.cold_starts, before.cold_starts)},
            {"full", "1/s", a_second(now.full, before.full)},
            {"served", "%", 100 * static_cast<double>(now.served - before.served) / std::max(1.0, calls)},
            {"rejected", "%", 100 * static_cast<double>(now.rejected - before.rejected) / std::max(1.0, calls)},
        };
        // What reaches one invoker from all controllers together, were each like this one.
        const double all = static_cast<double>(case_.host.controllers) / static_cast<double>(case_.fleet.invokers);
        out.push_back({"attempts_an_invoker", "1/s", a_second(now.attempts, before.attempts) * all});
        out.push_back({"probes_an_invoker", "1/s", a_second(now.probes, before.probes) * all});
        out.push_back({"handshakes_an_invoker", "1/s", a_second(now.new_connections, before.new_connections) * all});
        out.push_back({"connections_an_invoker", "count", static_cast<double>(host_.open_connections()) * all});
        if (case_.disturbance == Disturbance::parked_functions)
            out.push_back({"parked", "count", static_cast<double>(parked_)});
        return out;
    }

    const DecisionCase case_;
    EventQueue events_;
    ModelledFleet fleet_;
    ControllerHost host_;
    const Popularity popularity_;
    Pcg random_;
    ControllerHost::FunctionNumber new_name_{};
    std::size_t parked_{};
};

}  // namespace

std::vector<Measured> measure_decisions(const DecisionCase& of) {
    return DecisionRun(of).play();
}

}  // namespace plumkeel::scale
