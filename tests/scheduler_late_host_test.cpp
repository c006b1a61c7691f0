/// Random hosts that call Scheduler::wake() late, as a paused or busy process does.
#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "random/pcg.hpp"
#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

/// Plays one seed: invokers refuse most attempts, deadlines are short, and calls of wake() are late now and then.
class LateHost {
public:
    LateHost(std::uint64_t seed, bool hedging) : random_(seed), scheduler_(seed, {}, capabilities(hedging)) {
        request_class_.latency_target = 300ms;
        for (std::size_t i = 0; i < invokers_.size(); ++i) {
            invokers_[i].name = "s-" + std::to_string(i);
            invokers_[i].ready = true;
            invokers_[i].capacity = 4;
            invokers_[i].type = &type_;
        }
        for (std::size_t i = 0; i < functions_.size(); ++i) {
            functions_[i].name = "f-" + std::to_string(i);
            functions_[i].concurrency = 1;
        }
        list_invokers();
    }

    void run(Time duration) {
        while (now_ < duration) {
            step();
            if (testing::Test::HasFatalFailure()) return;
        }
    }

private:
    struct Response {
        Time at;
        Attempt* attempt;
        bool operator>(const Response& other) const { return at > other.at; }
    };

    static Capabilities capabilities(bool hedging) {
        Capabilities result;
        result.cancellation = result.health_checks = result.retry_after = result.on_demand_loading = true;
        result.hedging = hedging;
        result.max_attempts = 4;
        result.controller_count = 1;
        result.keep_alive = 60s;
        result.max_retry_after = 2s;
        result.clock_resolution = 1ms;
        return result;
    }

    Time random_time(Time low, Time high) {
        return low + Time(static_cast<Time::rep>(random_.next() * static_cast<double>((high - low).count())));
    }

    // The next event: a request, a response, a change of the list or a wake-up. A late host reports all of them late.
    void step() {
        const Time arrival_at = now_ + random_time(0ms, 6ms);
        const Time response_at = responses_.empty() ? Time::max() : responses_.top().at;
        const Time next = std::min({arrival_at, std::max(response_at, now_), std::max(next_wake_, now_)});
        now_ = next;
        if (random_.next() < 0.002) now_ += random_time(0ms, 2500ms);
        if (next_wake_ <= now_) return apply(scheduler_.wake(now_));
        if (response_at <= now_) return respond();
        if (random_.next() < 0.01) return list_invokers();
        submit();
    }

    void list_invokers() {
        std::vector<Invoker*> listed;
        for (Invoker& invoker : invokers_) listed.push_back(&invoker);
        apply(scheduler_.endpoints_changed(now_, listed, true));
    }

    void submit() {
        Request& request = requests_.emplace_back();
        request.id = requests_.size();
        request.request_class = &request_class_;
        request.function = &functions_[static_cast<std::size_t>(random_.next() * functions_.size())];
        request.remaining = random_time(1ms, 600ms);
        apply(scheduler_.submit(now_, request));
    }

    void respond() {
        Attempt& attempt = *responses_.top().attempt;
        responses_.pop();
        if (!attempt.in_flight) return;
        const double choice = random_.next();
        AttemptOutcome outcome = AttemptOutcome::rejected;
        if (choice < 0.3)
            outcome = AttemptOutcome::succeeded;
        else if (choice < 0.4)
            outcome = AttemptOutcome::connection_lost;
        apply(scheduler_.attempt_ended(now_, attempt, outcome, LoadEvent::was_loaded, 0, {}));
    }

    void apply(const Actions& actions) {
        ASSERT_TRUE(keeps_contract(actions)) << "at " << now_.count() << " us";
        for (Attempt* attempt : actions.to_cancel) {
            ASSERT_TRUE(sent_.count(attempt)) << "cancelled before it was sent";
            responses_.push({now_, attempt});
        }
        for (const Request* request : actions.completed) ASSERT_TRUE(request->is_completed());
        for (Attempt* attempt : actions.to_send) {
            ASSERT_TRUE(sent_.insert(attempt).second) << "sent twice";
            ASSERT_LT(now_, attempt->request->deadline - 2 * 1ms) << "no time is left for a response";
            responses_.push({now_ + random_time(1ms, 400ms), attempt});
        }
        for (Invoker* invoker : actions.to_probe) probes_.push_back(invoker);
        next_wake_ = actions.next_wake;
        while (!probes_.empty()) {
            Invoker& invoker = *probes_.front();
            probes_.pop_front();
            apply(scheduler_.health_check_ended(now_, invoker, random_.next() < 0.7, {}));
        }
    }

    Pcg random_;
    Time now_{}, next_wake_ = Time::max();
    RequestClass request_class_;
    InvokerType type_;
    std::array<Invoker, 3> invokers_;
    std::array<Function, 6> functions_;
    std::deque<Request> requests_;
    std::priority_queue<Response, std::vector<Response>, std::greater<>> responses_;
    std::set<const Attempt*> sent_;
    std::deque<Invoker*> probes_;
    Scheduler scheduler_;
};

// Guards against an attempt that one call starts and cancels: its timer was due at once, and the gateway crashed when
// it cancelled a call that it had not made.
TEST(SchedulerLateHost, NoCallCancelsAnAttemptThatItStarts) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        LateHost(seed, seed % 2 == 0).run(20s);
        ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed;
    }
}

}  // namespace
}  // namespace plumkeel
