// A small fleet played against a Watched controller, so that tests have traces with everything in them: loads,
// parked jobs, deaths, list changes, jobs bounced and written off. The same seed gives the same records.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "trace/recording_scheduler.hpp"

namespace plumkeel {

struct ToyPlay {
    std::string name = "toy";
    std::uint64_t seed = 1;
    int requests = 400;
    Time clock{};  // by how much this controller's clock is behind the world's
    bool reasons{};
    std::uint64_t world = 9;  // deaths and list changes come from this: alike for all that share it
};

inline std::uint64_t toy_dice(std::uint64_t& dice) {
    dice = dice * 6364136223846793005ULL + 1442695040888963407ULL;
    return dice >> 33;
}

inline std::vector<trace::Record> toy_trace(const ToyPlay& play) {
    using namespace std::chrono_literals;
    std::vector<trace::Record> out;
    trace::Start start;
    start.name = play.name;
    start.seed = play.seed;
    start.capabilities.cancellation = start.capabilities.health_checks = start.capabilities.hedging =
        start.capabilities.retry_after = start.capabilities.on_demand_loading = true;
    start.capabilities.max_attempts = 4;
    start.capabilities.controller_count = 2;
    start.capabilities.keep_alive = 5s;
    start.capabilities.clock_resolution = 1ms;
    start.capabilities.max_retry_after = 2s;
    start.request_classes = {{"secret-preview", {1s, Idempotency::idempotent, DeduplicationScope::global, 0s}},
                             {"secret-charge", {800ms, Idempotency::at_most_once, DeduplicationScope::global, 0s}}};
    start.tenants = {{"secret-acme", 5.0}, {"secret-umbrella", 0.0}};
    std::vector<RequestClass> uses;
    for (const auto& [name, use] : start.request_classes) uses.push_back(use);
    std::vector<Tenant> tenants(2);
    tenants[0].quota_per_s = 5;
    trace::RecordingScheduler it(
        start, {&uses[0], &uses[1]}, {&tenants[0], &tenants[1]},
        [&out](const trace::Record& record) { out.push_back(record); }, play.reasons);

    InvokerType kind;
    std::vector<std::unique_ptr<Invoker>> fleet;
    for (int i = 0; i < 5; ++i) {
        auto one = std::make_unique<Invoker>();
        one->name = "10.9.8." + std::to_string(i) + ":secret";
        one->ready = true;
        one->capacity = 4;
        one->zone = "secret-zone";
        one->type = &kind;
        fleet.push_back(std::move(one));
    }
    std::map<std::string, std::unique_ptr<Function>> functions;
    std::map<std::uint64_t, std::unique_ptr<Request>> requests;
    std::multimap<Time, std::function<void()>> due;
    Time wake = Time::max(), now{};
    std::uint64_t dice = play.seed * 77 + 5, world = play.world;
    std::function<void(Actions)> carry_out = [&](Actions results) {
        for (Attempt* attempt : results.to_send)
            due.emplace(now + Time(10'000 + toy_dice(dice) % 300'000), [&, request = attempt->request->id,
                                                                        number = attempt->number] {
                const auto found = requests.find(request);
                if (found == requests.end()) return;
                Attempt& one = found->second->attempts[static_cast<std::size_t>(number)];
                if (!one.in_flight) return;
                const auto luck = toy_dice(dice) % 20;
                carry_out(it.attempt_ended(now, one,
                                           luck == 0   ? AttemptOutcome::rejected
                                           : luck == 1 ? AttemptOutcome::failed
                                                       : AttemptOutcome::succeeded,
                                           one.starts_load ? LoadEvent::started_load : LoadEvent::was_loaded, 0, {}));
                if (const auto again = requests.find(request); again != requests.end() && again->second->is_settled())
                    requests.erase(again);
            });
        for (Attempt* attempt : results.to_cancel)
            due.emplace(now, [&, request = attempt->request->id, number = attempt->number] {
                const auto found = requests.find(request);
                if (found == requests.end() || !found->second->attempts[static_cast<std::size_t>(number)].in_flight)
                    return;
                carry_out(it.attempt_ended(now, found->second->attempts[static_cast<std::size_t>(number)],
                                           AttemptOutcome::cancelled, LoadEvent::none, 0, {}));
                if (const auto again = requests.find(request); again != requests.end() && again->second->is_settled())
                    requests.erase(again);
            });
        for (Invoker* invoker : results.to_probe)
            due.emplace(now + 5ms, [&, invoker] { carry_out(it.health_check_ended(now, *invoker, true, {2.0, 0.0})); });
        for (const Function* each : results.released_functions) functions.erase(std::string(each->name));
        for (const Request* request : results.completed)
            if (request->is_settled()) requests.erase(request->id);
        wake = results.next_wake;
    };
    std::vector<Invoker*> all;
    for (const auto& each : fleet) all.push_back(each.get());
    due.emplace(2ms, [&] { carry_out(it.endpoints_changed(now, all, true)); });
    for (int i = 0; i < play.requests; ++i)
        due.emplace(Time(20'000 + 10'000 * i + static_cast<Time::rep>(toy_dice(dice) % 5'000)), [&, i] {
            auto& function =
                functions["secret-fn" + std::to_string(toy_dice(dice) % 12 + static_cast<std::uint64_t>(i) / 500 * 12)];
            if (!function) function = std::make_unique<Function>();
            if (function->name.empty())
                for (const auto& [name, each] : functions)
                    if (each == function) each->name = name;
            function->concurrency = 1;
            auto request = std::make_unique<Request>();
            request->id = static_cast<std::uint64_t>(i) + 1;
            request->request_class = &uses[toy_dice(dice) % 2];
            request->tenant = &tenants[toy_dice(dice) % 2];
            request->function = function.get();
            request->remaining = 2s;
            Request& one = *request;
            requests[one.id] = std::move(request);
            carry_out(it.submit(now, one));
        });
    // Deaths: all hops out at an invoker are cut off; the list says so later, and that it is back.
    for (int death = 0; death < play.requests / 60; ++death) {
        const Time at =
            Time(500'000 + 600'000 * death + static_cast<Time::rep>(toy_dice(world) % 100'000)) - play.clock;
        Invoker* who = all[toy_dice(world) % all.size()];
        due.emplace(at, [&, who] {
            for (Attempt* attempt : std::vector<Attempt*>(who->in_flight)) {
                const std::uint64_t request = attempt->request->id;
                carry_out(it.attempt_ended(now, *attempt, AttemptOutcome::connection_lost, LoadEvent::none, 0, {}));
                if (const auto again = requests.find(request); again != requests.end() && again->second->is_settled())
                    requests.erase(again);
            }
        });
        due.emplace(at + 100ms, [&, who] {
            who->ready = false;
            carry_out(it.endpoints_changed(now, {who}, false));
        });
        due.emplace(at + 400ms, [&, who] {
            who->ready = true;
            carry_out(it.endpoints_changed(now, {who}, false));
        });
    }
    while (!due.empty()) {
        const Time next = due.begin()->first;
        if (wake < next) {
            now = std::max(now, wake);
            wake = Time::max();
            carry_out(it.wake(now));
            continue;
        }
        now = std::max(now, next);
        const auto what = std::move(due.begin()->second);
        due.erase(due.begin());
        what();
    }
    return out;
}

}  // namespace plumkeel
