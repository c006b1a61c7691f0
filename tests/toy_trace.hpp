// A small fleet played against a Watched controller, so that tests have traces with everything in them: loads,
// parked jobs, deaths, list changes, jobs bounced and written off. The same seed gives the same records.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "trace/calls.hpp"

namespace plumkeel {

struct ToyPlay {
    std::string name = "toy";
    std::uint64_t seed = 1;
    int jobs = 400;
    Time clock{};             // by how much this controller's clock is behind the world's
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
    start.may.call_off = start.may.probe = start.may.second_copies = start.may.retry_after = start.may.loads_on_demand = true;
    start.may.hops = 4;
    start.may.controllers = 2;
    start.may.keep_alive = 5s;
    start.may.tick = 1ms;
    start.may.longest_retry_after = 2s;
    start.use_cases = {{"secret-preview", {1s, Repeat::replayable, Reach::everywhere, 0s}},
                       {"secret-charge", {800ms, Repeat::single_use, Reach::everywhere, 0s}}};
    start.tenants = {{"secret-acme", 5.0}, {"secret-umbrella", 0.0}};
    std::vector<UseCase> uses;
    for (const auto& [name, use] : start.use_cases) uses.push_back(use);
    std::vector<Tenant> tenants(2);
    tenants[0].share_per_s = 5;
    trace::Watched it(start, {&uses[0], &uses[1]}, {&tenants[0], &tenants[1]},
                      [&out](const trace::Record& record) { out.push_back(record); }, play.reasons);

    Kind kind;
    std::vector<std::unique_ptr<Invoker>> fleet;
    for (int i = 0; i < 5; ++i) {
        auto one = std::make_unique<Invoker>();
        one->name = "10.9.8." + std::to_string(i) + ":secret";
        one->ready = true;
        one->units = 4;
        one->zone = "secret-zone";
        one->kind = &kind;
        fleet.push_back(std::move(one));
    }
    std::map<std::string, std::unique_ptr<Function>> functions;
    std::map<std::uint64_t, std::unique_ptr<Job>> jobs;
    std::multimap<Time, std::function<void()>> due;
    Time wake = Time::max(), now{};
    std::uint64_t dice = play.seed * 77 + 5, world = play.world;
    std::function<void(Results)> carry_out = [&](Results results) {
        for (Hop* hop : results.started)
            due.emplace(now + Time(10'000 + toy_dice(dice) % 300'000), [&, job = hop->job->id, number = hop->number] {
                const auto found = jobs.find(job);
                if (found == jobs.end()) return;
                Hop& one = found->second->hops[static_cast<std::size_t>(number)];
                if (!one.out) return;
                const auto luck = toy_dice(dice) % 20;
                carry_out(it.hop_ended(now, one, luck == 0 ? Ending::turned_away : luck == 1 ? Ending::errored : Ending::honoured,
                                       one.loads ? Note::began_load : Note::stood_loaded, 0, {}));
                if (const auto again = jobs.find(job); again != jobs.end() && again->second->closed()) jobs.erase(again);
            });
        for (Hop* hop : results.called_off)
            due.emplace(now, [&, job = hop->job->id, number = hop->number] {
                const auto found = jobs.find(job);
                if (found == jobs.end() || !found->second->hops[static_cast<std::size_t>(number)].out) return;
                carry_out(it.hop_ended(now, found->second->hops[static_cast<std::size_t>(number)], Ending::called_off, Note::none, 0, {}));
                if (const auto again = jobs.find(job); again != jobs.end() && again->second->closed()) jobs.erase(again);
            });
        for (Invoker* invoker : results.probed)
            due.emplace(now + 5ms, [&, invoker] { carry_out(it.probe_answered(now, *invoker, true, {2.0, 0.0})); });
        for (const Function* each : results.forgotten) functions.erase(std::string(each->name));
        for (const Job* job : results.answered)
            if (job->closed()) jobs.erase(job->id);
        wake = results.next_wake;
    };
    std::vector<Invoker*> all;
    for (const auto& each : fleet) all.push_back(each.get());
    due.emplace(2ms, [&] { carry_out(it.fleet_changed(now, all, true)); });
    for (int i = 0; i < play.jobs; ++i)
        due.emplace(Time(20'000 + 10'000 * i + static_cast<Time::rep>(toy_dice(dice) % 5'000)), [&, i] {
            auto& function = functions["secret-fn" + std::to_string(toy_dice(dice) % 12 + static_cast<std::uint64_t>(i) / 500 * 12)];
            if (!function) function = std::make_unique<Function>();
            if (function->name.empty())
                for (const auto& [name, each] : functions)
                    if (each == function) each->name = name;
            function->lanes = 1;
            auto job = std::make_unique<Job>();
            job->id = static_cast<std::uint64_t>(i) + 1;
            job->use_case = &uses[toy_dice(dice) % 2];
            job->tenant = &tenants[toy_dice(dice) % 2];
            job->function = function.get();
            job->time_left = 2s;
            Job& one = *job;
            jobs[one.id] = std::move(job);
            carry_out(it.take(now, one));
        });
    // Deaths: all hops out at an invoker are cut off; the list says so later, and that it is back.
    for (int death = 0; death < play.jobs / 60; ++death) {
        const Time at = Time(500'000 + 600'000 * death + static_cast<Time::rep>(toy_dice(world) % 100'000)) - play.clock;
        Invoker* who = all[toy_dice(world) % all.size()];
        due.emplace(at, [&, who] {
            for (Hop* hop : std::vector<Hop*>(who->out)) {
                const std::uint64_t job = hop->job->id;
                carry_out(it.hop_ended(now, *hop, Ending::cut_off, Note::none, 0, {}));
                if (const auto again = jobs.find(job); again != jobs.end() && again->second->closed()) jobs.erase(again);
            }
        });
        due.emplace(at + 100ms, [&, who] {
            who->ready = false;
            carry_out(it.fleet_changed(now, {who}, false));
        });
        due.emplace(at + 400ms, [&, who] {
            who->ready = true;
            carry_out(it.fleet_changed(now, {who}, false));
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
