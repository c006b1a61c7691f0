// Many controllers, each with its own module, on one fleet with one cold invoker: what they send it together in any
// span of the settings stays within what it bears. Traffic is uneven and some controllers start anew in mid-span.
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
constexpr Time cold_at = 8s, until = 20s, pause_from = 5500ms;

struct Case {
    int controllers;
    double use;           // of the warm fleet's capacity
    double uneven;        // a tenth of the controllers see so many times the mean
    bool restarts;        // half of the controllers start anew while the invoker is cold
    std::size_t staying;  // of the warm invokers; the others drain as the cold one comes
    bool pause = false;   // all processes stand still until the cold one comes, and then hear all that they missed
};

double seconds(Time t) {
    return std::chrono::duration<double>(t).count();
}

SafetyRules rulebook() {
    SafetyRules rules;
    rules.slow_start_duration = 16s;
    rules.slow_start_initial_share = 0.16;
    rules.slow_start_rate_multiple = 2;
    rules.slow_start_window = 2s;
    return rules;
}

// One process: its module and all that it was told of. The cold invoker is the last of its fleet.
struct Process {
    Process(std::uint64_t seed, int controllers) : controller(seed, rulebook(), allowances(controllers)) {
        use.latency_target = 1500ms;
        for (int i = 0; i < fleet_size; ++i) {
            auto& it = *fleet.emplace_back(std::make_unique<Invoker>());
            it.name = "i" + std::to_string(i);
            it.ready = true;
            it.capacity = units;
            it.type = &kind;
        }
    }
    static Capabilities allowances(int controllers) {
        Capabilities may;
        may.cancellation = may.retry_after = may.on_demand_loading = may.stable_capacity = true;
        may.max_attempts = 5;
        may.controller_count = controllers;
        may.keep_alive = 10s;
        may.clock_resolution = 2ms;
        may.max_retry_after = 2s;
        return may;
    }
    // The list as it stands: at first all but the cold one, then that and the few that stay.
    std::vector<Invoker*> list(bool cold_came, std::size_t staying) {
        std::vector<Invoker*> out;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool is_cold = i + 1 == fleet.size();
            fleet[i]->ready = !cold_came || is_cold || i < staying;
            if (is_cold && cold_came) fleet[i]->started_at = cold_at;
            if (!is_cold || cold_came) out.push_back(fleet[i].get());
        }
        return out;
    }
    Scheduler controller;
    RequestClass use;
    InvokerType kind;
    std::vector<std::unique_ptr<Invoker>> fleet;
    std::map<std::string, std::unique_ptr<Function>> functions;
    std::vector<std::unique_ptr<Request>> requests;
    Time next = Time::max();
};

// The moments at which hops came to the cold invoker, from all processes together.
std::vector<Time> arrivals_at_cold(const Case& of, std::uint64_t seed) {
    Pcg chance(seed);
    std::vector<Time> out;
    std::vector<std::unique_ptr<Process>> all;
    std::vector<std::unique_ptr<Process>> gone;  // killed: their hops end unheard
    struct Event {
        Time at;
        std::uint64_t order;
        int process;  // whose job comes; or
        Process* of;  // whose hop ends
        Attempt* attempt;
        bool operator>(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t order = 0, ids = 0;
    const double rate = of.use * (fleet_size - 1) * units / run_s;  // jobs a second, of the whole fleet
    std::vector<double> part;
    double sum = 0;
    for (int i = 0; i < of.controllers; ++i) sum += part.emplace_back(i % 10 == 0 ? of.uneven : 1);
    const auto come = [&](int i, Time now) {
        const double gap = -std::log(1 - chance.next()) / (rate * part[static_cast<std::size_t>(i)] / sum);
        events.push({now + Time(static_cast<Time::rep>(gap * 1e6)), ++order, i, nullptr, nullptr});
    };
    const auto carry_out = [&](Process& it, const Actions& results, Time now) {
        it.next = results.next_wake;
        for (Attempt* attempt : results.to_send) {
            if (attempt->invoker == it.fleet.back().get()) out.push_back(now);
            events.push(
                {now + Time(static_cast<Time::rep>((0.5 + chance.next()) * run_s * 1e6)), ++order, -1, &it, attempt});
        }
        for (Attempt* attempt : results.to_cancel) events.push({now, ++order, -1, &it, attempt});
    };
    const auto start = [&](int i, Time now) {
        auto it = std::make_unique<Process>(
            seed * 1000 + static_cast<std::uint64_t>(i) + static_cast<std::uint64_t>(now.count()), of.controllers);
        carry_out(*it, it->controller.endpoints_changed(now, it->list(now >= cold_at, of.staying), true), now);
        if (all.size() <= static_cast<std::size_t>(i)) return all.push_back(std::move(it));
        gone.push_back(std::exchange(all[static_cast<std::size_t>(i)], std::move(it)));
    };
    for (int i = 0; i < of.controllers; ++i) start(i, 0ms), come(i, 0ms);

    bool told = false;
    int started_anew = 0;
    for (Time now{}; now < until;) {
        Process* woken = nullptr;
        for (const auto& it : all)
            if (!woken || it->next < woken->next) woken = it.get();
        const auto heard_at = [&](Time at) { return of.pause && at >= pause_from && at < cold_at ? cold_at : at; };
        const Time wake = heard_at(woken->next), event = events.empty() ? Time::max() : heard_at(events.top().at);
        now = std::min(wake, event);
        // After a pause what has come is read before anything that is due.
        const bool read_first = of.pause && event == cold_at;
        if (!told && now >= cold_at && !read_first) {
            told = true;
            for (const auto& it : all)
                carry_out(*it, it->controller.endpoints_changed(now, it->list(true, of.staying), true), now);
        }
        // Spread over four seconds of the ramp.
        while (of.restarts && started_anew < of.controllers / 2 &&
               now >= cold_at + 1s + Time(static_cast<Time::rep>(4e6 * started_anew / std::max(1, of.controllers / 2))))
            start(started_anew++, now);
        if (wake <= event && !read_first) {
            if (woken->next <= now) carry_out(*woken, woken->controller.wake(now), now);
            continue;
        }
        const Event it = events.top();
        events.pop();
        if (it.process >= 0) {
            come(it.process, now);
            Process& process = *all[static_cast<std::size_t>(it.process)];
            // Mostly some favourites, of which every invoker may become a home.
            const int which = static_cast<int>(60 * chance.next() * chance.next());
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
            carry_out(process, process.controller.submit(now, request), now);
        } else if (it.attempt->in_flight &&
                   std::any_of(all.begin(), all.end(), [&](const auto& p) { return p.get() == it.of; })) {
            const AttemptOutcome ending =
                it.attempt->request->is_completed() ? AttemptOutcome::cancelled : AttemptOutcome::succeeded;
            carry_out(*it.of, it.of->controller.attempt_ended(now, *it.attempt, ending, LoadEvent::was_loaded, 0, {}),
                      now);
        }
    }
    return out;
}

class ColdRampTest : public testing::TestWithParam<Case> {};

TEST_P(ColdRampTest, TheSumOfAllProcessesStaysWithinWhatAColdInvokerBears) {
    const Case& of = GetParam();
    const SafetyRules rules = rulebook();
    std::size_t most = 0, sent = 0;
    double nearest = 0;
    const int plays = of.controllers > 100 ? 3 : 10;
    for (int play = 1; play <= plays; ++play) {
        const std::vector<Time> at = arrivals_at_cold(of, static_cast<std::uint64_t>(play));
        sent += at.size();
        for (std::size_t first = 0, last = 0; last < at.size(); ++last) {
            while (at[first] + rules.slow_start_window < at[last]) ++first;
            // What it bears is least at the span's begin.
            const double age = seconds(at[first] - cold_at) / seconds(rules.slow_start_duration);
            const double share =
                std::min(1.0, rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * age);
            const double n = rules.slow_start_rate_multiple * share * units / run_s * seconds(rules.slow_start_window);
            const std::size_t got = last - first + 1;
            most = std::max(most, got);
            nearest = std::max(nearest, static_cast<double>(got) / (n + 2 * std::sqrt(n) + 2));
        }
    }
    RecordProperty("nearest_percent", static_cast<int>(100 * nearest));
    std::cout << "nearest " << 100 * nearest << "% of what it bears, at most " << most << " in a span, "
              << sent / static_cast<std::size_t>(plays) << " a play" << std::endl;
    EXPECT_GT(sent, static_cast<std::size_t>(5 * plays));  // it is used, or nothing was shown
    EXPECT_LE(nearest, 1.0);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdRampTest,
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
