/// \file
/// Traces for tests, recorded from a simulation of a few invokers. They contain loads, parked requests, failing
/// invokers, changes of the endpoints, and requests that are rejected or fail. Equal options must give equal records on
/// every platform, because golden_test compares them with a stored file.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trace/recording_scheduler.hpp"

namespace plumkeel {

struct SimulatedTraceOptions {
    std::string name = "toy";  ///< Name of the controller.
    std::uint64_t seed = 1;
    int requests = 400;
    Time clock_behind{};             ///< How far this controller's clock is behind the simulated time.
    bool candidates{};               ///< Whether to record the invokers considered for each request.
    std::uint64_t failure_seed = 9;  ///< Traces with the same value have equal invoker failures.
};

/// Returns the next number of a linear congruential generator.
inline std::uint64_t next_random(std::uint64_t& state) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33;
}

/// A simulation run. All names contain "secret" and all addresses start with "10.9.8", so that tests can check that
/// pseudonymized traces contain neither.
class TraceSimulation {
public:
    explicit TraceSimulation(const SimulatedTraceOptions& options)
        : options_(options),
          scheduler_settings_(make_scheduler_settings(options)),
          tenants_(scheduler_settings_.tenants.size()),
          random_state_(options.seed * 77 + 5),
          failure_random_state_(options.failure_seed) {
        for (const auto& [name, request_class] : scheduler_settings_.request_classes)
            request_classes_.push_back(request_class);
        tenants_[0].quota_per_s = scheduler_settings_.tenants[0].second;
        scheduler_ = std::make_unique<trace::RecordingScheduler>(
            scheduler_settings_, std::vector<const RequestClass*>{&request_classes_[0], &request_classes_[1]},
            std::vector<const Tenant*>{&tenants_[0], &tenants_[1]},
            [this](const trace::Record& record) { records_.push_back(record); }, options.candidates);
        make_invokers();
    }
    TraceSimulation(const TraceSimulation&) = delete;
    TraceSimulation& operator=(const TraceSimulation&) = delete;

    std::vector<trace::Record> run() {
        using namespace std::chrono_literals;
        events_.emplace(2ms, [this] { apply(scheduler_->endpoints_changed(now_, all_invokers_, true)); });
        schedule_requests();
        schedule_failures();
        while (!events_.empty()) run_next_event();
        return std::move(records_);
    }

private:
    static trace::SchedulerSettings make_scheduler_settings(const SimulatedTraceOptions& options) {
        using namespace std::chrono_literals;
        trace::SchedulerSettings scheduler_settings;
        scheduler_settings.name = options.name;
        scheduler_settings.seed = options.seed;
        Capabilities& capabilities = scheduler_settings.capabilities;
        capabilities.cancellation = capabilities.health_checks = capabilities.hedging = capabilities.retry_after =
            capabilities.on_demand_loading = true;
        capabilities.max_attempts = 4;
        capabilities.controller_count = 2;
        capabilities.keep_alive = 5s;
        capabilities.clock_resolution = 1ms;
        capabilities.max_retry_after = 2s;
        scheduler_settings.request_classes = {
            {"secret-preview", {1s, Idempotency::idempotent, DeduplicationScope::global, 0s}},
            {"secret-charge", {800ms, Idempotency::at_most_once, DeduplicationScope::global, 0s}}};
        scheduler_settings.tenants = {{"secret-acme", 5.0}, {"secret-umbrella", 0.0}};
        return scheduler_settings;
    }

    void make_invokers() {
        for (int i = 0; i < 5; ++i) {
            auto invoker = std::make_unique<Invoker>();
            invoker->name = "10.9.8." + std::to_string(i) + ":secret";
            invoker->ready = true;
            invoker->capacity = 4;
            invoker->zone = "secret-zone";
            invoker->type = &invoker_type_;
            all_invokers_.push_back(invoker.get());
            invokers_.push_back(std::move(invoker));
        }
    }

    void schedule_requests() {
        for (int i = 0; i < options_.requests; ++i) {
            const auto jitter = static_cast<Time::rep>(next_random(random_state_) % 5'000);
            events_.emplace(Time(20'000 + 10'000 * i + jitter), [this, i] { submit(i); });
        }
    }

    /// Schedules invoker failures: the connections of an invoker are lost, the invoker becomes not ready 100 ms later,
    /// and it is ready again after another 300 ms.
    void schedule_failures() {
        using namespace std::chrono_literals;
        for (int failure = 0; failure < options_.requests / 60; ++failure) {
            const auto jitter = static_cast<Time::rep>(next_random(failure_random_state_) % 100'000);
            const Time at = Time(500'000 + 600'000 * failure + jitter) - options_.clock_behind;
            Invoker* invoker = all_invokers_[next_random(failure_random_state_) % all_invokers_.size()];
            events_.emplace(at, [this, invoker] { lose_connections(*invoker); });
            events_.emplace(at + 100ms, [this, invoker] { set_ready(*invoker, false); });
            events_.emplace(at + 400ms, [this, invoker] { set_ready(*invoker, true); });
        }
    }

    void run_next_event() {
        const Time next = events_.begin()->first;
        if (next_wake_ < next) {
            now_ = std::max(now_, next_wake_);
            next_wake_ = Time::max();
            return apply(scheduler_->wake(now_));
        }
        now_ = std::max(now_, next);
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }

    void submit(int index) {
        using namespace std::chrono_literals;
        // Every 500 requests use a new set of functions, so that the scheduler releases functions.
        const std::uint64_t function_number =
            next_random(random_state_) % 12 + static_cast<std::uint64_t>(index) / 500 * 12;
        const std::string name = "secret-fn" + std::to_string(function_number);
        auto& function = functions_[name];
        if (!function) function = std::make_unique<Function>();
        if (function->name.empty()) function->name = name;
        function->concurrency = 1;
        auto owned_request = std::make_unique<Request>();
        Request& request = *owned_request;
        request.id = static_cast<std::uint64_t>(index) + 1;
        request.request_class = &request_classes_[next_random(random_state_) % 2];
        request.tenant = &tenants_[next_random(random_state_) % 2];
        request.function = function.get();
        request.remaining = 2s;
        requests_[request.id] = std::move(owned_request);
        apply(scheduler_->submit(now_, request));
    }

    void apply(const Actions& actions) {
        using namespace std::chrono_literals;
        for (const Attempt* attempt : actions.to_send) {
            const Time execution_time(10'000 + next_random(random_state_) % 300'000);
            events_.emplace(now_ + execution_time, [this, request = attempt->request->id, number = attempt->number] {
                if (Attempt* sent = find_in_flight(request, number)) complete_attempt(*sent);
            });
        }
        for (const Attempt* attempt : actions.to_cancel)
            events_.emplace(now_, [this, request = attempt->request->id, number = attempt->number] {
                if (Attempt* cancelled = find_in_flight(request, number))
                    end_attempt(*cancelled, AttemptOutcome::cancelled, LoadEvent::none);
            });
        for (Invoker* invoker : actions.to_probe)
            events_.emplace(now_ + 5ms, [this, invoker] {
                apply(scheduler_->health_check_ended(now_, *invoker, true, {2.0, 0.0}));
            });
        for (const Function* function : actions.released_functions) functions_.erase(std::string(function->name));
        for (const Request* request : actions.completed)
            if (request->is_settled()) requests_.erase(request->id);
        next_wake_ = actions.next_wake;
    }

    Attempt* find_in_flight(std::uint64_t request, int number) {
        const auto found = requests_.find(request);
        if (found == requests_.end()) return nullptr;
        Attempt& attempt = found->second->attempts[static_cast<std::size_t>(number)];
        return attempt.in_flight ? &attempt : nullptr;
    }

    void complete_attempt(Attempt& attempt) {
        const auto outcome_roll = next_random(random_state_) % 20;
        const AttemptOutcome outcome = outcome_roll == 0   ? AttemptOutcome::rejected
                                       : outcome_roll == 1 ? AttemptOutcome::failed
                                                           : AttemptOutcome::succeeded;
        end_attempt(attempt, outcome, attempt.starts_load ? LoadEvent::started_load : LoadEvent::was_loaded);
    }

    void end_attempt(Attempt& attempt, AttemptOutcome outcome, LoadEvent load_event) {
        const std::uint64_t request = attempt.request->id;
        apply(scheduler_->attempt_ended(now_, attempt, outcome, load_event, 0, {}));
        if (const auto found = requests_.find(request); found != requests_.end() && found->second->is_settled())
            requests_.erase(found);
    }

    void lose_connections(Invoker& invoker) {
        for (Attempt* attempt : std::vector<Attempt*>(invoker.in_flight))
            end_attempt(*attempt, AttemptOutcome::connection_lost, LoadEvent::none);
    }

    void set_ready(Invoker& invoker, bool ready) {
        invoker.ready = ready;
        apply(scheduler_->endpoints_changed(now_, {&invoker}, false));
    }

    const SimulatedTraceOptions options_;
    const trace::SchedulerSettings scheduler_settings_;
    std::vector<RequestClass> request_classes_;
    std::vector<Tenant> tenants_;
    std::vector<trace::Record> records_;
    InvokerType invoker_type_;
    std::vector<std::unique_ptr<Invoker>> invokers_;
    std::vector<Invoker*> all_invokers_;
    std::map<std::string, std::unique_ptr<Function>> functions_;
    std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
    std::unique_ptr<trace::RecordingScheduler> scheduler_;
    std::multimap<Time, std::function<void()>> events_;
    Time next_wake_ = Time::max(), now_{};
    std::uint64_t random_state_, failure_random_state_;
};

inline std::vector<trace::Record> simulated_trace(const SimulatedTraceOptions& options) {
    return TraceSimulation(options).run();
}

}  // namespace plumkeel
