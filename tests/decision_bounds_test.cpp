// What the module's bounds promise: functions held, invokers visited a choice, work a turn; and that below them nothing
// is lost.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <unordered_map>

#include "random/pcg.hpp"
#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t functions_at_most = 16'384;

// A host that answers every attempt at once, or leaves it out.
class DecisionBounds : public testing::Test {
protected:
    DecisionBounds() : controller_(3, rules(), allowances()) { use_.latency_target = 1800ms; }

    static SafetyRules rules() {
        SafetyRules out;
        out.slow_start_duration = 20s;
        out.slow_start_initial_share = 0.25;
        out.slow_start_rate_multiple = 2;
        out.slow_start_window = 1s;
        return out;
    }
    static Capabilities allowances() {
        Capabilities out;
        out.cancellation = out.health_checks = out.retry_after = out.on_demand_loading = out.stable_capacity = true;
        out.max_attempts = 4;
        out.controller_count = 7100;
        out.keep_alive = 60s;
        out.max_retry_after = 2s;
        out.clock_resolution = 1ms;
        return out;
    }

    void fleet(std::size_t size, bool ready = true) {
        std::vector<Invoker*> all;
        for (std::size_t i = 0; i < size; ++i) {
            if (fleet_.size() <= i) fleet_.push_back(std::make_unique<Invoker>());
            Invoker& invoker = *fleet_[i];
            invoker.name = "s-" + std::to_string(i);
            invoker.ready = ready;
            invoker.capacity = 4;
            invoker.type = &kind_;
            all.push_back(&invoker);
        }
        carry_out(controller_.endpoints_changed(now_, all, true));
    }

    Request& take(const std::string& name) {
        std::unique_ptr<Function>& function = functions_[name];
        if (!function) {
            function = std::make_unique<Function>();
            function->name = name;
            function->concurrency = 1;
        }
        Request& request = *jobs_.emplace_back(std::make_unique<Request>());
        request.id = jobs_.size();
        request.request_class = &use_;
        request.function = function.get();
        request.remaining = 5s;
        carry_out(controller_.submit(now_, request));
        return request;
    }

    void carry_out(const Actions& results) {
        for (const Function* function : results.released_functions) {
            forgotten_.insert(function->name);
            functions_.erase(std::string(function->name));
        }
        next_wake_ = results.next_wake;
        for (const Invoker* invoker : results.released_invokers)
            if (frees_released_)
                std::erase_if(fleet_, [&](const std::unique_ptr<Invoker>& it) { return it.get() == invoker; });
        for (Invoker* invoker : results.to_probe) carry_out(controller_.health_check_ended(now_, *invoker, true, {}));
        if (!answers_) return;
        for (Attempt* attempt : results.to_send)
            carry_out(
                controller_.attempt_ended(now_, *attempt, AttemptOutcome::succeeded, LoadEvent::was_loaded, 0, {}));
    }

    void wait(Time span) {
        for (const Time until = now_ + span; now_ < until;) {
            now_ = std::min(until, std::max(now_, next_wake_));
            if (now_ >= next_wake_) carry_out(controller_.wake(now_));
        }
    }

    Time now_{};
    Time next_wake_ = Time::max();
    bool answers_ = true, frees_released_ = false;
    RequestClass use_;
    InvokerType kind_;
    std::vector<std::unique_ptr<Invoker>> fleet_;
    std::vector<std::unique_ptr<Request>> jobs_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::set<std::string> forgotten_;
    Scheduler controller_;
};

TEST_F(DecisionBounds, NamesWithoutEndAreHeldUpToABound) {
    fleet(20);
    for (std::size_t i = 0; i < 3 * functions_at_most; ++i) {
        take("once-" + std::to_string(i));
        now_ += 10us;
        ASSERT_LE(controller_.function_count(), functions_at_most);
    }
    EXPECT_EQ(controller_.function_count(), functions_.size()) << "the host was told of each that was let go";
}

TEST_F(DecisionBounds, AFunctionCalledAgainOutlivesAFloodOfOthers) {
    fleet(20);
    take("favourite");
    take("favourite");
    for (std::size_t i = 0; i < 2 * functions_at_most; ++i) take("once-" + std::to_string(i));
    EXPECT_EQ(forgotten_.count("favourite"), 0u);
    EXPECT_EQ(forgotten_.count("once-0"), 1u);
}

TEST_F(DecisionBounds, AFunctionWithARequestOutIsNeverLetGo) {
    fleet(20);
    answers_ = false;
    Request& request = take("held");
    ASSERT_EQ(request.state, RequestState::in_flight);
    answers_ = true;
    for (std::size_t i = 0; i < 2 * functions_at_most; ++i) take("once-" + std::to_string(i));
    EXPECT_EQ(forgotten_.count("held"), 0u);
    carry_out(controller_.attempt_ended(now_, request.attempts.front(), AttemptOutcome::succeeded,
                                        LoadEvent::was_loaded, 0, {}));
    EXPECT_EQ(request.state, RequestState::succeeded);
    for (std::size_t i = 0; i < 2 * functions_at_most; ++i) take("later-" + std::to_string(i));
    EXPECT_EQ(forgotten_.count("held"), 1u) << "and then it goes as any other";
}

TEST_F(DecisionBounds, AFunctionWithARequestParkedIsNeverLetGo) {
    fleet(4, false);
    Request& request = take("parked");
    ASSERT_EQ(request.state, RequestState::parked);
    for (std::size_t i = 0; i < 2 * functions_at_most; ++i) {
        Request& other = take("once-" + std::to_string(i));
        if (!other.is_completed()) carry_out(controller_.client_disconnected(now_, other));
    }
    EXPECT_EQ(forgotten_.count("parked"), 0u);
    fleet(4, true);
    EXPECT_EQ(request.state, RequestState::succeeded) << "it is still sent when it can be";
}

TEST_F(DecisionBounds, AFavouriteOfALargeFleetIsWeighedAtAFewInvokers) {
    fleet(3000);
    Pcg random(1);
    for (int i = 0; i < 3000; ++i) {
        take(random.next() < 0.5 ? "favourite" : "rare-" + std::to_string(i % 50));
        wait(10ms);
    }
    const DecisionWork work = controller_.work();
    EXPECT_LE(static_cast<double>(work.examined), 64.0 * static_cast<double>(work.placements));
    std::set<const Invoker*> used;
    for (const auto& request : jobs_)
        if (request->function->name == "favourite") used.insert(request->attempts.back().invoker);
    EXPECT_GT(used.size(), 500u) << "chance spreads it over its homes, not over the first of them";
}

TEST_F(DecisionBounds, AllDueAtOnceIsDoneInTurnsAndNothingIsLost) {
    fleet(100, false);
    for (int i = 0; i < 1000; ++i) take("parked-" + std::to_string(i));
    ASSERT_EQ(controller_.parked_count(), 1000u);
    const auto before = controller_.work().placements;
    now_ = next_wake_;
    while (now_ < 100ms) {
        carry_out(controller_.wake(now_));
        now_ = next_wake_;
    }
    carry_out(controller_.wake(now_));
    EXPECT_LE(controller_.work().placements - before, 64u) << "1,000 clocks end at the same moment";
    EXPECT_LE(next_wake_, now_) << "the rest is due at once";
    fleet(100, true);
    wait(2s);
    for (const auto& request : jobs_) EXPECT_EQ(request->state, RequestState::succeeded);
}

// It left long ago, and turned away what was still out there a moment before it is let go. Seen by the build with
// sanitizers.
TEST_F(DecisionBounds, NothingPointsToAnInvokerThatWasLetGo) {
    fleet(4);
    answers_ = false;
    frees_released_ = true;
    Request& request = take("f");
    ASSERT_EQ(request.attempts.size(), 1u);
    Attempt& attempt = request.attempts.front();
    carry_out(controller_.endpoints_removed(now_, {attempt.invoker}));
    wait(8s);
    ASSERT_TRUE(attempt.in_flight);
    ASSERT_EQ(fleet_.size(), 4u) << "an attempt is out there";
    carry_out(controller_.attempt_ended(now_, attempt, AttemptOutcome::rejected, LoadEvent::none, 0, {}));
    wait(500ms);
    ASSERT_EQ(fleet_.size(), 3u) << "it was let go";
    // Crowds make the module look for a calm invoker, unless one has just had no room.
    for (int i = 0; i < 300; ++i) take("f");
    EXPECT_GT(controller_.work().placements, 300u);
}

TEST_F(DecisionBounds, GoneOnesAreLetGoAndTheRestIsUntouched) {
    fleet(200);
    for (int i = 0; i < 2000; ++i) {
        take("f-" + std::to_string(i % 100));
        wait(1ms);
    }
    std::vector<Invoker*> gone;
    for (std::size_t i = 0; i < 100; ++i) gone.push_back(fleet_[i].get());
    carry_out(controller_.endpoints_removed(now_, gone));
    const std::size_t before = jobs_.size();
    for (int i = 0; i < 1000; ++i) {
        take("f-" + std::to_string(i % 100));
        wait(10ms);
    }
    for (std::size_t i = before; i < jobs_.size(); ++i)
        for (const Attempt& attempt : jobs_[i]->attempts) EXPECT_TRUE(attempt.invoker->is_listed);
    for (const Invoker* invoker : gone) EXPECT_FALSE(invoker->is_registered) << "let go after five seconds";
    fleet(200);
    EXPECT_TRUE(fleet_[0]->is_registered) << "and taken up again under the old name";
}

}  // namespace
}  // namespace plumkeel
