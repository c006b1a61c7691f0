/// Many controllers, each with its own scheduler, on one fleet with one invoker in slow start: what they send it
/// together in any window of the settings stays within its budget. Traffic is uneven and some controllers restart in
/// mid-window.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <queue>

#include "random/pcg.hpp"
#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr double run_s = 0.2, units = 5, fleet_size = 20;
constexpr Time listed_at = 8s, until = 20s, pause_from = 5500ms;

struct Case {
    int controllers;
    double use;           // of the warm fleet's capacity
    double uneven;        // a tenth of the controllers see so many times the mean
    bool restarts;        // half of the controllers restart during the slow start
    std::size_t staying;  // of the warm invokers; the others drain as the new one is listed
    bool pause = false;   // all processes stall until the new one is listed, and then receive all that they missed
};

double seconds(Time t) {
    return std::chrono::duration<double>(t).count();
}

SafetyRules safety_rules() {
    SafetyRules rules;
    rules.slow_start_duration = 16s;
    rules.slow_start_initial_share = 0.16;
    rules.slow_start_rate_multiple = 2;
    rules.slow_start_window = 2s;
    return rules;
}

/// One process: its scheduler and all that it was is_told of. The invoker in slow start is the last of its fleet.
struct Process {
    Process(std::uint64_t seed, int controllers) : scheduler(seed, safety_rules(), capabilities(controllers)) {
        use.latency_target = 1500ms;
        for (int i = 0; i < fleet_size; ++i) {
            auto& it = *fleet.emplace_back(std::make_unique<Invoker>());
            it.name = "i" + std::to_string(i);
            it.ready = true;
            it.capacity = units;
            it.type = &type;
        }
    }
    static Capabilities capabilities(int controllers) {
        Capabilities out;
        out.cancellation = out.retry_after = out.on_demand_loading = out.stable_capacity = true;
        out.max_attempts = 5;
        out.controller_count = controllers;
        out.keep_alive = 10s;
        out.clock_resolution = 2ms;
        out.max_retry_after = 2s;
        return out;
    }
    /// The endpoint list: at first all but the new invoker, then that and the few that stay.
    std::vector<Invoker*> list(bool is_new_listed, std::size_t staying) {
        std::vector<Invoker*> out;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool is_new = i + 1 == fleet.size();
            fleet[i]->ready = !is_new_listed || is_new || i < staying;
            if (is_new && is_new_listed) fleet[i]->started_at = listed_at;
            if (!is_new || is_new_listed) out.push_back(fleet[i].get());
        }
        return out;
    }
    Scheduler scheduler;
    RequestClass use;
    InvokerType type;
    std::vector<std::unique_ptr<Invoker>> fleet;
    std::map<std::string, std::unique_ptr<Function>> functions;
    std::vector<std::unique_ptr<Request>> requests;
    Time next = Time::max();
};

/// The moments at which attempts came to the invoker in slow start, from all processes together.
std::vector<Time> arrivals_in_slow_start(const Case& of, std::uint64_t seed) {
    Pcg random(seed);
    std::vector<Time> out;
    std::vector<std::unique_ptr<Process>> all;
    std::vector<std::unique_ptr<Process>> gone;  // killed: their attempts end unnoticed
    struct Event {
        Time at;
        std::uint64_t order;
        int process;  // whose request arrives; or
        Process* of;  // whose attempt ends
        Attempt* attempt;
        bool operator>(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t order = 0, ids = 0;
    const double rate = of.use * (fleet_size - 1) * units / run_s;  // requests a second, of the whole fleet
    std::vector<double> part;
    double sum = 0;
    for (int i = 0; i < of.controllers; ++i) sum += part.emplace_back(i % 10 == 0 ? of.uneven : 1);
    const auto come = [&](int i, Time now) {
        const double gap = -std::log(1 - random.next()) / (rate * part[static_cast<std::size_t>(i)] / sum);
        events.push({now + Time(static_cast<Time::rep>(gap * 1e6)), ++order, i, nullptr, nullptr});
    };
    const auto apply = [&](Process& it, const Actions& actions, Time now) {
        it.next = actions.next_wake;
        for (Attempt* attempt : actions.to_send) {
            if (attempt->invoker == it.fleet.back().get()) out.push_back(now);
            events.push(
                {now + Time(static_cast<Time::rep>((0.5 + random.next()) * run_s * 1e6)), ++order, -1, &it, attempt});
        }
        for (Attempt* attempt : actions.to_cancel) events.push({now, ++order, -1, &it, attempt});
    };
    const auto start = [&](int i, Time now) {
        auto it = std::make_unique<Process>(
            seed * 1000 + static_cast<std::uint64_t>(i) + static_cast<std::uint64_t>(now.count()), of.controllers);
        apply(*it, it->scheduler.endpoints_changed(now, it->list(now >= listed_at, of.staying), true), now);
        if (all.size() <= static_cast<std::size_t>(i)) return all.push_back(std::move(it));
        gone.push_back(std::exchange(all[static_cast<std::size_t>(i)], std::move(it)));
    };
    for (int i = 0; i < of.controllers; ++i) start(i, 0ms), come(i, 0ms);

    bool is_told = false;
    int started_anew = 0;
    for (Time now{}; now < until;) {
        Process* next_awake = nullptr;
        for (const auto& it : all)
            if (!next_awake || it->next < next_awake->next) next_awake = it.get();
        const auto received_at = [&](Time at) {
            return of.pause && at >= pause_from && at < listed_at ? listed_at : at;
        };
        const Time wake = received_at(next_awake->next),
                   event = events.empty() ? Time::max() : received_at(events.top().at);
        now = std::min(wake, event);
        // After a stall what has come is read before anything that is due.
        const bool read_first = of.pause && event == listed_at;
        if (!is_told && now >= listed_at && !read_first) {
            is_told = true;
            for (const auto& it : all)
                apply(*it, it->scheduler.endpoints_changed(now, it->list(true, of.staying), true), now);
        }
        // Spread over four seconds of the slow start.
        while (of.restarts && started_anew < of.controllers / 2 &&
               now >=
                   listed_at + 1s + Time(static_cast<Time::rep>(4e6 * started_anew / std::max(1, of.controllers / 2))))
            start(started_anew++, now);
        if (wake <= event && !read_first) {
            if (next_awake->next <= now) apply(*next_awake, next_awake->scheduler.wake(now), now);
            continue;
        }
        const Event it = events.top();
        events.pop();
        if (it.process >= 0) {
            come(it.process, now);
            Process& process = *all[static_cast<std::size_t>(it.process)];
            // Mostly some popular functions, of which every invoker may become a home.
            const int which = static_cast<int>(60 * random.next() * random.next());
            auto& function = process.functions["f" + std::to_string(which)];
            if (!function) {
                function = std::make_unique<Function>();
                function->name = "f" + std::to_string(which);
                function->concurrency = 1;
            }
            Request& request = *process.requests.emplace_back(std::make_unique<Request>());
            request.id = ++ids;
            request.request_class = &process.use;
            request.function = function.get();
            request.remaining = 4s;
            apply(process, process.scheduler.submit(now, request), now);
        } else if (it.attempt->in_flight &&
                   std::any_of(all.begin(), all.end(), [&](const auto& p) { return p.get() == it.of; })) {
            const AttemptOutcome outcome =
                it.attempt->request->is_completed() ? AttemptOutcome::cancelled : AttemptOutcome::succeeded;
            apply(*it.of, it.of->scheduler.attempt_ended(now, *it.attempt, outcome, LoadEvent::was_loaded, 0, {}), now);
        }
    }
    return out;
}

class SlowStartFleetTest : public testing::TestWithParam<Case> {};

TEST_P(SlowStartFleetTest, AllProcessesTogetherStayWithinTheBudget) {
    const Case& of = GetParam();
    const SafetyRules rules = safety_rules();
    std::size_t most = 0, sent = 0;
    double nearest = 0;
    const int runs = of.controllers > 100 ? 3 : 10;
    for (int run = 1; run <= runs; ++run) {
        const std::vector<Time> at = arrivals_in_slow_start(of, static_cast<std::uint64_t>(run));
        sent += at.size();
        for (std::size_t first = 0, last = 0; last < at.size(); ++last) {
            while (at[first] + rules.slow_start_window < at[last]) ++first;
            // The budget is least at the window's begin.
            const double age = seconds(at[first] - listed_at) / seconds(rules.slow_start_duration);
            const double share =
                std::min(1.0, rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * age);
            const double n = rules.slow_start_rate_multiple * share * units / run_s * seconds(rules.slow_start_window);
            const std::size_t got = last - first + 1;
            most = std::max(most, got);
            nearest = std::max(nearest, static_cast<double>(got) / (n + 2 * std::sqrt(n) + 2));
        }
    }
    RecordProperty("nearest_percent", static_cast<int>(100 * nearest));
    std::cout << "nearest " << 100 * nearest << "% of the budget, at most " << most << " in a window, "
              << sent / static_cast<std::size_t>(runs) << " a run" << std::endl;
    EXPECT_GT(sent, static_cast<std::size_t>(5 * runs));  // it is used, or nothing was shown
    EXPECT_LE(nearest, 1.0);
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartFleetTest,
                         testing::Values(Case{2, 0.6, 1, false, 6}, Case{30, 0.6, 1, false, 6},
                                         Case{30, 0.6, 6, true, 6}, Case{30, 0.9, 6, true, 2},
                                         Case{30, 0.9, 6, false, 0}, Case{300, 0.9, 6, true, 0},
                                         Case{30, 0.9, 1, false, 6, true}, Case{30, 0.9, 6, false, 0, true}),
                         [](const auto& each) {
                             return "Processes" + std::to_string(each.param.controllers) + "Case" +
                                    std::to_string(each.index);
                         });

}  // namespace
}  // namespace plumkeel
