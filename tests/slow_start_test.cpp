/// Simulates many controllers, each with its own scheduler, that share one fleet with one invoker in slow start. In any
/// window of the safety rules, all attempts that they send to it together must stay within its budget, also if traffic
/// is uneven or some controllers restart.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <queue>

#include "random/pcg.hpp"
#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr double mean_run_time_s = 0.2, invoker_capacity = 5, fleet_size = 20;
constexpr Time new_invoker_listed_at = 8s, simulation_end = 20s, stall_start = 5500ms;

struct Scenario {
    int controllers;
    /// Share of the warm fleet's capacity that the requests use.
    double utilization;
    /// Every tenth controller receives this multiple of the requests of each other one.
    double busy_controller_multiple;
    /// Whether half of the controllers restart during the slow start.
    bool restarts;
    /// Warm invokers that stay ready when the new invoker is listed; all others drain.
    std::size_t staying_invokers;
    /// Whether all processes stall until the new invoker is listed and then receive all events that they missed.
    bool stalls = false;
};

double seconds(Time duration) {
    return std::chrono::duration<double>(duration).count();
}

SafetyRules safety_rules() {
    SafetyRules rules;
    rules.slow_start_duration = 16s;
    rules.slow_start_initial_share = 0.16;
    rules.slow_start_rate_multiple = 2;
    rules.slow_start_window = 2s;
    return rules;
}

/// A controller process with its scheduler and the objects that it hosts. The last invoker of its fleet is the new one,
/// which has a slow start.
struct Process {
    Process(std::uint64_t seed, int controllers) : scheduler(seed, safety_rules(), capabilities(controllers)) {
        request_class.latency_target = 1500ms;
        for (int i = 0; i < fleet_size; ++i) {
            auto& invoker = *fleet.emplace_back(std::make_unique<Invoker>());
            invoker.name = "i" + std::to_string(i);
            invoker.ready = true;
            invoker.capacity = invoker_capacity;
            invoker.type = &type;
        }
    }
    static Capabilities capabilities(int controllers) {
        Capabilities result;
        result.cancellation = result.retry_after = result.on_demand_loading = result.stable_capacity = true;
        result.max_attempts = 5;
        result.controller_count = controllers;
        result.keep_alive = 10s;
        result.clock_resolution = 2ms;
        result.max_retry_after = 2s;
        return result;
    }
    /// The endpoint list: without the new invoker at first, then with it and with only `staying_invokers` others ready.
    std::vector<Invoker*> endpoint_list(bool is_new_listed, std::size_t staying_invokers) {
        std::vector<Invoker*> result;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool is_new = i + 1 == fleet.size();
            fleet[i]->ready = !is_new_listed || is_new || i < staying_invokers;
            if (is_new && is_new_listed) fleet[i]->started_at = new_invoker_listed_at;
            if (!is_new || is_new_listed) result.push_back(fleet[i].get());
        }
        return result;
    }
    Scheduler scheduler;
    RequestClass request_class;
    InvokerType type;
    std::vector<std::unique_ptr<Invoker>> fleet;
    std::map<std::string, std::unique_ptr<Function>> functions;
    std::vector<std::unique_ptr<Request>> requests;
    Time next_wake = Time::max();
};

/// Runs the simulation and returns when attempts were sent to the invoker in slow start, by all processes together.
std::vector<Time> attempt_times_in_slow_start(const Scenario& scenario, std::uint64_t seed) {
    Pcg random(seed);
    std::vector<Time> attempt_times;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<std::unique_ptr<Process>> killed_processes;  // kept alive, since events refer to their attempts
    struct Event {
        Time at;
        std::uint64_t sequence_number;
        int receiving_process;   // index of the process that receives a request; -1 if an attempt ends
        Process* attempt_owner;  // process whose attempt ends; null if a request is received
        Attempt* attempt;
        bool operator>(const Event& other) const {
            return std::pair(at, sequence_number) > std::pair(other.at, other.sequence_number);
        }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t sequence_number = 0, last_request_id = 0;
    const double fleet_requests_per_s = scenario.utilization * (fleet_size - 1) * invoker_capacity / mean_run_time_s;
    std::vector<double> traffic_weights;
    double total_weight = 0;
    for (int i = 0; i < scenario.controllers; ++i)
        total_weight += traffic_weights.emplace_back(i % 10 == 0 ? scenario.busy_controller_multiple : 1);
    const auto schedule_next_request = [&](int i, Time now) {
        const double interval_s = -std::log(1 - random.next()) /
                                  (fleet_requests_per_s * traffic_weights[static_cast<std::size_t>(i)] / total_weight);
        events.push({now + Time(static_cast<Time::rep>(interval_s * 1e6)), ++sequence_number, i, nullptr, nullptr});
    };
    const auto apply = [&](Process& process, const Actions& actions, Time now) {
        process.next_wake = actions.next_wake;
        for (Attempt* attempt : actions.to_send) {
            if (attempt->invoker == process.fleet.back().get()) attempt_times.push_back(now);
            events.push({now + Time(static_cast<Time::rep>((0.5 + random.next()) * mean_run_time_s * 1e6)),
                         ++sequence_number, -1, &process, attempt});
        }
        for (Attempt* attempt : actions.to_cancel) events.push({now, ++sequence_number, -1, &process, attempt});
    };
    const auto start_process = [&](int i, Time now) {
        auto process = std::make_unique<Process>(
            seed * 1000 + static_cast<std::uint64_t>(i) + static_cast<std::uint64_t>(now.count()),
            scenario.controllers);
        apply(*process,
              process->scheduler.endpoints_changed(
                  now, process->endpoint_list(now >= new_invoker_listed_at, scenario.staying_invokers), true),
              now);
        if (processes.size() <= static_cast<std::size_t>(i)) return processes.push_back(std::move(process));
        killed_processes.push_back(std::exchange(processes[static_cast<std::size_t>(i)], std::move(process)));
    };
    for (int i = 0; i < scenario.controllers; ++i) start_process(i, 0ms), schedule_next_request(i, 0ms);

    bool is_new_invoker_listed = false;
    int restarted_count = 0;
    for (Time now{}; now < simulation_end;) {
        Process* next_to_wake = nullptr;
        for (const auto& process : processes)
            if (!next_to_wake || process->next_wake < next_to_wake->next_wake) next_to_wake = process.get();
        const auto received_at = [&](Time at) {
            return scenario.stalls && at >= stall_start && at < new_invoker_listed_at ? new_invoker_listed_at : at;
        };
        const Time wake_at = received_at(next_to_wake->next_wake),
                   event_at = events.empty() ? Time::max() : received_at(events.top().at);
        now = std::min(wake_at, event_at);
        // After a stall, missed events are received before timers run and before the new endpoint list.
        const bool receives_missed_event = scenario.stalls && event_at == new_invoker_listed_at;
        if (!is_new_invoker_listed && now >= new_invoker_listed_at && !receives_missed_event) {
            is_new_invoker_listed = true;
            for (const auto& process : processes)
                apply(*process,
                      process->scheduler.endpoints_changed(now, process->endpoint_list(true, scenario.staying_invokers),
                                                           true),
                      now);
        }
        // The restarts are spread over four seconds of the slow start.
        while (scenario.restarts && restarted_count < scenario.controllers / 2 &&
               now >= new_invoker_listed_at + 1s +
                          Time(static_cast<Time::rep>(4e6 * restarted_count / std::max(1, scenario.controllers / 2))))
            start_process(restarted_count++, now);
        if (wake_at <= event_at && !receives_missed_event) {
            if (next_to_wake->next_wake <= now) apply(*next_to_wake, next_to_wake->scheduler.wake(now), now);
            continue;
        }
        const Event event = events.top();
        events.pop();
        if (event.receiving_process >= 0) {
            schedule_next_request(event.receiving_process, now);
            Process& process = *processes[static_cast<std::size_t>(event.receiving_process)];
            // Low indices are more frequent, so some functions are popular and use many home invokers.
            const int function_index = static_cast<int>(60 * random.next() * random.next());
            auto& function = process.functions["f" + std::to_string(function_index)];
            if (!function) {
                function = std::make_unique<Function>();
                function->name = "f" + std::to_string(function_index);
                function->concurrency = 1;
            }
            Request& request = *process.requests.emplace_back(std::make_unique<Request>());
            request.id = ++last_request_id;
            request.request_class = &process.request_class;
            request.function = function.get();
            request.remaining = 4s;
            apply(process, process.scheduler.submit(now, request), now);
        } else if (event.attempt->in_flight &&
                   std::any_of(processes.begin(), processes.end(),
                               [&](const auto& process) { return process.get() == event.attempt_owner; })) {
            const AttemptOutcome outcome =
                event.attempt->request->is_completed() ? AttemptOutcome::cancelled : AttemptOutcome::succeeded;
            apply(*event.attempt_owner,
                  event.attempt_owner->scheduler.attempt_ended(now, *event.attempt, outcome, LoadEvent::was_loaded, 0,
                                                               {}),
                  now);
        }
    }
    return attempt_times;
}

class SlowStartFleetTest : public testing::TestWithParam<Scenario> {};

TEST_P(SlowStartFleetTest, AllControllersTogetherStayWithinTheBudget) {
    const Scenario& scenario = GetParam();
    const SafetyRules rules = safety_rules();
    std::size_t max_in_window = 0, total_attempts = 0;
    double max_budget_use = 0;
    const int runs = scenario.controllers > 100 ? 3 : 10;
    for (int run = 1; run <= runs; ++run) {
        const std::vector<Time> attempt_times = attempt_times_in_slow_start(scenario, static_cast<std::uint64_t>(run));
        total_attempts += attempt_times.size();
        for (std::size_t first = 0, last = 0; last < attempt_times.size(); ++last) {
            while (attempt_times[first] + rules.slow_start_window < attempt_times[last]) ++first;
            // The capacity rises, so the start of the window has the lowest budget in it.
            const double age =
                seconds(attempt_times[first] - new_invoker_listed_at) / seconds(rules.slow_start_duration);
            const double share =
                std::min(1.0, rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * age);
            const double budget = rules.slow_start_rate_multiple * share * invoker_capacity / mean_run_time_s *
                                  seconds(rules.slow_start_window);
            const std::size_t in_window = last - first + 1;
            max_in_window = std::max(max_in_window, in_window);
            max_budget_use =
                std::max(max_budget_use, static_cast<double>(in_window) / (budget + 2 * std::sqrt(budget) + 2));
        }
    }
    RecordProperty("max_budget_use_percent", static_cast<int>(100 * max_budget_use));
    std::cout << "highest use of the budget: " << 100 * max_budget_use
              << "%, most attempts in a window: " << max_in_window << ", "
              << total_attempts / static_cast<std::size_t>(runs) << " attempts per run" << std::endl;
    EXPECT_GT(total_attempts,
              static_cast<std::size_t>(5 * runs));  // with fewer attempts the budget would not be tested
    EXPECT_LE(max_budget_use, 1.0);
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartFleetTest,
                         testing::Values(Scenario{2, 0.6, 1, false, 6}, Scenario{30, 0.6, 1, false, 6},
                                         Scenario{30, 0.6, 6, true, 6}, Scenario{30, 0.9, 6, true, 2},
                                         Scenario{30, 0.9, 6, false, 0}, Scenario{300, 0.9, 6, true, 0},
                                         Scenario{30, 0.9, 1, false, 6, true}, Scenario{30, 0.9, 6, false, 0, true}),
                         [](const auto& scenario) {
                             return "Processes" + std::to_string(scenario.param.controllers) + "Case" +
                                    std::to_string(scenario.index);
                         });

}  // namespace
}  // namespace plumkeel
