#include "scale/decision_run.hpp"

#include <cmath>

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t parked_function_count = 1024;
constexpr Time drain_duration = 1s, capacity_change_interval = 1s;
constexpr std::size_t invokers_per_capacity_change = 100;  // one invoker in this many changes at each interval

template <class SchedulerType>
PlacementWork placement_work(const SchedulerType& scheduler) {
    if constexpr (requires { scheduler.work(); }) {
        const auto& work = scheduler.work();
        return {static_cast<double>(work.placements), static_cast<double>(work.examined),
                static_cast<double>(work.scored), static_cast<double>(work.hashed), static_cast<double>(work.swept)};
    } else {
        return {};
    }
}

}  // namespace

DecisionRun::DecisionRun(const DecisionCase& decision_case)
    : case_(decision_case),
      fleet_(decision_case.fleet),
      host_(events_, fleet_, decision_case.host_settings, decision_case.seed),
      popularity_(decision_case.functions, decision_case.popularity_exponent),
      random_(decision_case.seed) {
    host_.announce_all();
    schedule_request();
    schedule_disturbance();
}

DecisionSnapshot DecisionRun::snapshot() const {
    return {host_.counts(), placement_work(host_.scheduler()), scheduler_allocations().allocations};
}

void DecisionRun::schedule_request() {
    const double gap_s = -std::log(1 - random_.next()) / case_.requests_per_s;
    events_.schedule_at(events_.now() + Time(static_cast<Time::rep>(gap_s * 1e6)), [this] {
        if (events_.now() >= case_.length) return;
        const bool is_new = case_.disturbance == Disturbance::new_functions;
        host_.submit(is_new ? next_new_function_++ : popularity_.sample(random_));
        schedule_request();
    });
}

void DecisionRun::schedule_disturbance() {
    const auto invokers = static_cast<long>(case_.fleet.invokers);
    switch (case_.disturbance) {
        case Disturbance::none:
        case Disturbance::new_functions:
            break;
        case Disturbance::restarts:
            for (long i = 0; i < invokers; ++i)
                events_.schedule_at(case_.length * i / invokers,
                                    [this, i] { restart_invoker(static_cast<std::size_t>(i)); });
            break;
        case Disturbance::zone_outage:
            events_.schedule_at(case_.length / 3, [this] { set_zone_up(false); });
            events_.schedule_at(case_.length * 2 / 3, [this] { set_zone_up(true); });
            break;
        case Disturbance::full_list:
            events_.schedule_at(case_.length / 2, [this] { host_.announce_all(); });
            break;
        case Disturbance::parked_functions:
            events_.schedule_at(case_.length / 2, [this] { park_functions(); });
            break;
        case Disturbance::capacity_changes:
            for (Time change_time = capacity_change_interval; change_time < case_.length;
                 change_time += capacity_change_interval)
                events_.schedule_at(change_time, [this] { change_capacities(); });
            break;
    }
}

void DecisionRun::restart_invoker(std::size_t invoker) {
    fleet_.restart(invoker);
    host_.set_invoker(invoker, true, true, events_.now());
    host_.announce({invoker});
}

void DecisionRun::set_zone_up(bool up) {
    std::vector<std::size_t> changed;
    for (std::size_t i = 0; i < case_.fleet.invokers; i += case_.fleet.zones) {
        up ? fleet_.restart(i) : fleet_.kill(i);
        host_.set_invoker(i, up, true, up ? std::optional(events_.now()) : std::nullopt);
        changed.push_back(i);
    }
    host_.announce(changed);
}

// Submits requests while all invokers drain, so that the scheduler parks them; then makes the invokers ready again.
void DecisionRun::park_functions() {
    set_all_ready(false);
    for (std::size_t i = 0; i < parked_function_count; ++i)
        host_.submit(static_cast<SchedulerHost::FunctionNumber>(case_.functions + i));
    parked_ = host_.parked();
    events_.schedule_at(events_.now() + drain_duration, [this] { set_all_ready(true); });
}

void DecisionRun::set_all_ready(bool ready) {
    for (std::size_t i = 0; i < case_.fleet.invokers; ++i) host_.set_invoker(i, true, ready, std::nullopt);
    host_.announce_all();
}

void DecisionRun::change_capacities() {
    std::vector<std::size_t> changed;
    for (std::size_t i = 0; i < std::max<std::size_t>(1, case_.fleet.invokers / invokers_per_capacity_change); ++i) {
        const auto invoker = static_cast<std::size_t>(random_.next() * static_cast<double>(case_.fleet.invokers));
        host_.set_invoker(invoker, true, true, std::nullopt, 0.5 + random_.next());
        changed.push_back(invoker);
    }
    host_.announce(changed);
}

}  // namespace plumkeel::scale
