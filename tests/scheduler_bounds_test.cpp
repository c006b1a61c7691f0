/// What the scheduler's bounds promise: functions held, invokers examined for a placement, timers run in a call; and
/// that below them nothing is lost.
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

/// A host that answers every attempt at once, or leaves it in flight.
class SchedulerBounds : public testing::Test {
protected:
    SchedulerBounds() : scheduler_(3, rules(), capabilities()) { request_class_.latency_target = 1800ms; }

    static SafetyRules rules() {
        SafetyRules out;
        out.slow_start_duration = 20s;
        out.slow_start_initial_share = 0.25;
        out.slow_start_rate_multiple = 2;
        out.slow_start_window = 1s;
        return out;
    }
    static Capabilities capabilities() {
        Capabilities out;
        out.cancellation = out.health_checks = out.retry_after = out.on_demand_loading = out.stable_capacity = true;
        out.max_attempts = 4;
        out.controller_count = 7100;
        out.keep_alive = 60s;
        out.max_retry_after = 2s;
        out.clock_resolution = 1ms;
        return out;
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
            if (frees_released_)
                std::erase_if(fleet_, [&](const std::unique_ptr<Invoker>& it) { return it.get() == invoker; });
        for (Invoker* invoker : actions.to_probe) apply(scheduler_.health_check_ended(now_, *invoker, true, {}));
        if (!answers_) return;
        for (Attempt* attempt : actions.to_send)
            apply(scheduler_.attempt_ended(now_, *attempt, AttemptOutcome::succeeded, LoadEvent::was_loaded, 0, {}));
    }

    void wait(Time span) {
        for (const Time until = now_ + span; now_ < until;) {
            now_ = std::min(until, std::max(now_, next_wake_));
            if (now_ >= next_wake_) apply(scheduler_.wake(now_));
        }
    }

    Time now_{};
    Time next_wake_ = Time::max();
    bool answers_ = true, frees_released_ = false;
    RequestClass request_class_;
    InvokerType type_;
    std::vector<std::unique_ptr<Invoker>> fleet_;
    std::vector<std::unique_ptr<Request>> requests_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::set<std::string> released_functions_;
    Scheduler scheduler_;
};

TEST_F(SchedulerBounds, FunctionsAreHeldUpToALimit) {
    list_fleet(20);
    for (std::size_t i = 0; i < 3 * max_functions; ++i) {
        submit("once-" + std::to_string(i));
        now_ += 10us;
        ASSERT_LE(scheduler_.function_count(), max_functions);
    }
    EXPECT_EQ(scheduler_.function_count(), functions_.size()) << "the host was told of each that was released";
}

TEST_F(SchedulerBounds, FunctionCalledAgainSurvivesAFloodOfNames) {
    list_fleet(20);
    submit("popular");
    submit("popular");
    for (std::size_t i = 0; i < 2 * max_functions; ++i) submit("once-" + std::to_string(i));
    EXPECT_EQ(released_functions_.count("popular"), 0u);
    EXPECT_EQ(released_functions_.count("once-0"), 1u);
}

TEST_F(SchedulerBounds, FunctionWithAnAttemptInFlightIsNotReleased) {
    list_fleet(20);
    answers_ = false;
    Request& request = submit("held");
    ASSERT_EQ(request.state, RequestState::in_flight);
    answers_ = true;
    for (std::size_t i = 0; i < 2 * max_functions; ++i) submit("once-" + std::to_string(i));
    EXPECT_EQ(released_functions_.count("held"), 0u);
    apply(scheduler_.attempt_ended(now_, request.attempts.front(), AttemptOutcome::succeeded, LoadEvent::was_loaded, 0,
                                   {}));
    EXPECT_EQ(request.state, RequestState::succeeded);
    for (std::size_t i = 0; i < 2 * max_functions; ++i) submit("later-" + std::to_string(i));
    EXPECT_EQ(released_functions_.count("held"), 1u) << "and then it is released as any other";
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
    EXPECT_EQ(request.state, RequestState::succeeded) << "it is still sent when it can be";
}

TEST_F(SchedulerBounds, PopularFunctionOfALargeFleetIsScoredAtFewInvokers) {
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
    EXPECT_GT(used.size(), 500u) << "random draws spread it over its homes, not over the first of them";
}

TEST_F(SchedulerBounds, TimersDueAtOnceRunOverSeveralCallsAndNothingIsLost) {
    list_fleet(100, false);
    for (int i = 0; i < 1000; ++i) submit("parked-" + std::to_string(i));
    ASSERT_EQ(scheduler_.parked_count(), 1000u);
    const auto before = scheduler_.work().placements;
    now_ = next_wake_;
    while (now_ < 100ms) {
        apply(scheduler_.wake(now_));
        now_ = next_wake_;
    }
    apply(scheduler_.wake(now_));
    EXPECT_LE(scheduler_.work().placements - before, 64u) << "1,000 timers are due at the same moment";
    EXPECT_LE(next_wake_, now_) << "the rest is due at once";
    list_fleet(100, true);
    wait(2s);
    for (const auto& request : requests_) EXPECT_EQ(request->state, RequestState::succeeded);
}

// It was removed long ago, and rejects what was still in flight there a moment before it is released. Found by the
// build with sanitizers.
TEST_F(SchedulerBounds, NothingRefersToAReleasedInvoker) {
    list_fleet(4);
    answers_ = false;
    frees_released_ = true;
    Request& request = submit("f");
    ASSERT_EQ(request.attempts.size(), 1u);
    Attempt& attempt = request.attempts.front();
    apply(scheduler_.endpoints_removed(now_, {attempt.invoker}));
    wait(8s);
    ASSERT_TRUE(attempt.in_flight);
    ASSERT_EQ(fleet_.size(), 4u) << "an attempt is in flight there";
    apply(scheduler_.attempt_ended(now_, attempt, AttemptOutcome::rejected, LoadEvent::none, 0, {}));
    wait(500ms);
    ASSERT_EQ(fleet_.size(), 3u) << "it was released";
    // Overload makes the scheduler look for a replica target, unless an invoker has just had no capacity.
    for (int i = 0; i < 300; ++i) submit("f");
    EXPECT_GT(scheduler_.work().placements, 300u);
}

TEST_F(SchedulerBounds, RemovedInvokersAreReleasedAndOthersUnchanged) {
    list_fleet(200);
    for (int i = 0; i < 2000; ++i) {
        submit("f-" + std::to_string(i % 100));
        wait(1ms);
    }
    std::vector<Invoker*> gone;
    for (std::size_t i = 0; i < 100; ++i) gone.push_back(fleet_[i].get());
    apply(scheduler_.endpoints_removed(now_, gone));
    const std::size_t before = requests_.size();
    for (int i = 0; i < 1000; ++i) {
        submit("f-" + std::to_string(i % 100));
        wait(10ms);
    }
    for (std::size_t i = before; i < requests_.size(); ++i)
        for (const Attempt& attempt : requests_[i]->attempts) EXPECT_TRUE(attempt.invoker->is_listed);
    for (const Invoker* invoker : gone) EXPECT_FALSE(invoker->is_registered) << "released after five seconds";
    list_fleet(200);
    EXPECT_TRUE(fleet_[0]->is_registered) << "and registered again under the old name";
}

}  // namespace
}  // namespace plumkeel
