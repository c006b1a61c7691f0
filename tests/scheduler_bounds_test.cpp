/// Limits of the scheduler: on the functions that it holds, the invokers that a placement examines and the timers that
/// run in one call. No request or function in use may be lost because of these limits.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <unordered_map>

#include "random/pcg.hpp"
#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_functions = 16'384;

/// A host that answers every attempt at once, or leaves all attempts in flight if `answers_attempts_` is false.
class SchedulerBounds : public testing::Test {
protected:
    SchedulerBounds() : scheduler_(3, rules(), capabilities()) { request_class_.latency_target = 1800ms; }

    static SafetyRules rules() {
        SafetyRules result;
        result.slow_start_duration = 20s;
        result.slow_start_initial_share = 0.25;
        result.slow_start_rate_multiple = 2;
        result.slow_start_window = 1s;
        return result;
    }
    static Capabilities capabilities() {
        Capabilities result;
        result.cancellation = result.health_checks = result.retry_after = result.on_demand_loading =
            result.stable_capacity = true;
        result.max_attempts = 4;
        result.controller_count = 7100;
        result.keep_alive = 60s;
        result.max_retry_after = 2s;
        result.clock_resolution = 1ms;
        return result;
    }

    void list_fleet(std::size_t size, bool ready = true) {
        std::vector<Invoker*> all;
        for (std::size_t i = 0; i < size; ++i) {
            if (fleet_.size() <= i) fleet_.push_back(std::make_unique<Invoker>());
            Invoker& invoker = *fleet_[i];
            invoker.name = "s-" + std::to_string(i);
            invoker.ready = ready;
            invoker.capacity = 4;
            invoker.type = &type_;
            all.push_back(&invoker);
        }
        apply(scheduler_.endpoints_changed(now_, all, true));
    }

    Request& submit(const std::string& name) {
        std::unique_ptr<Function>& function = functions_[name];
        if (!function) {
            function = std::make_unique<Function>();
            function->name = name;
            function->concurrency = 1;
        }
        Request& request = *requests_.emplace_back(std::make_unique<Request>());
        request.id = requests_.size();
        request.request_class = &request_class_;
        request.function = function.get();
        request.remaining = 5s;
        apply(scheduler_.submit(now_, request));
        return request;
    }

    void apply(const Actions& actions) {
        for (const Function* function : actions.released_functions) {
            released_functions_.insert(function->name);
            functions_.erase(std::string(function->name));
        }
        next_wake_ = actions.next_wake;
        for (const Invoker* invoker : actions.released_invokers)
            if (frees_released_invokers_)
                std::erase_if(fleet_, [&](const std::unique_ptr<Invoker>& hosted) { return hosted.get() == invoker; });
        for (Invoker* invoker : actions.to_probe) apply(scheduler_.health_check_ended(now_, *invoker, true, {}));
        if (!answers_attempts_) return;
        for (Attempt* attempt : actions.to_send)
            apply(scheduler_.attempt_ended(now_, *attempt, AttemptOutcome::succeeded, LoadEvent::was_loaded, 0, {}));
    }

    void wait(Time duration) {
        for (const Time end = now_ + duration; now_ < end;) {
            now_ = std::min(end, std::max(now_, next_wake_));
            if (now_ >= next_wake_) apply(scheduler_.wake(now_));
        }
    }

    Time now_{};
    Time next_wake_ = Time::max();
    bool answers_attempts_ = true, frees_released_invokers_ = false;
    RequestClass request_class_;
    InvokerType type_;
    std::vector<std::unique_ptr<Invoker>> fleet_;
    std::vector<std::unique_ptr<Request>> requests_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::set<std::string> released_functions_;
    Scheduler scheduler_;
};

TEST_F(SchedulerBounds, NumberOfFunctionsIsLimited) {
    list_fleet(20);
    for (std::size_t i = 0; i < 3 * max_functions; ++i) {
        submit("once-" + std::to_string(i));
        now_ += 10us;
        ASSERT_LE(scheduler_.function_count(), max_functions);
    }
    EXPECT_EQ(scheduler_.function_count(), functions_.size()) << "the host has freed each function that was released";
}

TEST_F(SchedulerBounds, RepeatedlyCalledFunctionIsKeptWhenManyAreCalledOnce) {
    list_fleet(20);
    submit("popular");
    submit("popular");
    for (std::size_t i = 0; i < 2 * max_functions; ++i) submit("once-" + std::to_string(i));
    EXPECT_EQ(released_functions_.count("popular"), 0u);
    EXPECT_EQ(released_functions_.count("once-0"), 1u);
}

TEST_F(SchedulerBounds, FunctionWithAnAttemptInFlightIsNotReleased) {
    list_fleet(20);
    answers_attempts_ = false;
    Request& request = submit("held");
    ASSERT_EQ(request.state, RequestState::in_flight);
    answers_attempts_ = true;
    for (std::size_t i = 0; i < 2 * max_functions; ++i) submit("once-" + std::to_string(i));
    EXPECT_EQ(released_functions_.count("held"), 0u);
    apply(scheduler_.attempt_ended(now_, request.attempts.front(), AttemptOutcome::succeeded, LoadEvent::was_loaded, 0,
                                   {}));
    EXPECT_EQ(request.state, RequestState::succeeded);
    for (std::size_t i = 0; i < 2 * max_functions; ++i) submit("later-" + std::to_string(i));
    EXPECT_EQ(released_functions_.count("held"), 1u) << "released like any other function after its attempt ended";
}

TEST_F(SchedulerBounds, FunctionWithAParkedRequestIsNotReleased) {
    list_fleet(4, false);
    Request& request = submit("parked");
    ASSERT_EQ(request.state, RequestState::parked);
    for (std::size_t i = 0; i < 2 * max_functions; ++i) {
        Request& other = submit("once-" + std::to_string(i));
        if (!other.is_completed()) apply(scheduler_.client_disconnected(now_, other));
    }
    EXPECT_EQ(released_functions_.count("parked"), 0u);
    list_fleet(4, true);
    EXPECT_EQ(request.state, RequestState::succeeded) << "sent when an invoker becomes ready";
}

TEST_F(SchedulerBounds, PlacementInALargeFleetExaminesFewInvokers) {
    list_fleet(3000);
    Pcg random(1);
    for (int i = 0; i < 3000; ++i) {
        submit(random.next() < 0.5 ? "popular" : "rare-" + std::to_string(i % 50));
        wait(10ms);
    }
    const DecisionWork work = scheduler_.work();
    EXPECT_LE(static_cast<double>(work.examined), 64.0 * static_cast<double>(work.placements));
    std::set<const Invoker*> used;
    for (const auto& request : requests_)
        if (request->function->name == "popular") used.insert(request->attempts.back().invoker);
    EXPECT_GT(used.size(), 500u) << "requests use many homes of the function, not only the first ones";
}

TEST_F(SchedulerBounds, TimersDueAtTheSameTimeRunInSeveralCalls) {
    list_fleet(100, false);
    for (int i = 0; i < 1000; ++i) submit("parked-" + std::to_string(i));
    ASSERT_EQ(scheduler_.parked_count(), 1000u);
    const auto placements_before = scheduler_.work().placements;
    now_ = next_wake_;
    while (now_ < 100ms) {
        apply(scheduler_.wake(now_));
        now_ = next_wake_;
    }
    apply(scheduler_.wake(now_));
    EXPECT_LE(scheduler_.work().placements - placements_before, 64u) << "1,000 timers are due at the same time";
    EXPECT_LE(next_wake_, now_) << "the remaining timers are due at once";
    list_fleet(100, true);
    wait(2s);
    for (const auto& request : requests_) EXPECT_EQ(request->state, RequestState::succeeded);
}

// The invoker was removed from the endpoint list, and rejects its last attempt in flight shortly before it is released.
// CapacityTracker::recently_full() must not keep a pointer to it. The build with sanitizers detects a use of it.
TEST_F(SchedulerBounds, NothingRefersToAReleasedInvoker) {
    list_fleet(4);
    answers_attempts_ = false;
    frees_released_invokers_ = true;
    Request& request = submit("f");
    ASSERT_EQ(request.attempts.size(), 1u);
    Attempt& attempt = request.attempts.front();
    apply(scheduler_.endpoints_removed(now_, {attempt.invoker}));
    wait(8s);
    ASSERT_TRUE(attempt.in_flight);
    ASSERT_EQ(fleet_.size(), 4u) << "not released while an attempt is in flight";
    apply(scheduler_.attempt_ended(now_, attempt, AttemptOutcome::rejected, LoadEvent::none, 0, {}));
    wait(500ms);
    ASSERT_EQ(fleet_.size(), 3u) << "released after the attempt ended";
    // An overloaded scheduler looks for an invoker for a further copy, and first checks which invokers lack capacity.
    for (int i = 0; i < 300; ++i) submit("f");
    EXPECT_GT(scheduler_.work().placements, 300u);
}

TEST_F(SchedulerBounds, RemovedInvokersAreReleasedAndNoLongerUsed) {
    list_fleet(200);
    for (int i = 0; i < 2000; ++i) {
        submit("f-" + std::to_string(i % 100));
        wait(1ms);
    }
    std::vector<Invoker*> removed;
    for (std::size_t i = 0; i < 100; ++i) removed.push_back(fleet_[i].get());
    apply(scheduler_.endpoints_removed(now_, removed));
    const std::size_t requests_before = requests_.size();
    for (int i = 0; i < 1000; ++i) {
        submit("f-" + std::to_string(i % 100));
        wait(10ms);
    }
    for (std::size_t i = requests_before; i < requests_.size(); ++i)
        for (const Attempt& attempt : requests_[i]->attempts) EXPECT_TRUE(attempt.invoker->is_listed);
    for (const Invoker* invoker : removed) EXPECT_FALSE(invoker->is_registered) << "released after five seconds";
    list_fleet(200);
    EXPECT_TRUE(fleet_[0]->is_registered) << "registered again under the same name";
}

}  // namespace
}  // namespace plumkeel
