/// The timers of requests and of functions' parking queues, ordered by due time.
#pragma once

#include <cstddef>
#include <map>

#include "scheduler/time.hpp"

namespace plumkeel {

struct Function;
struct Request;

class TimerQueue {
public:
    /// What a timer belongs to. Exactly one of the two pointers is set.
    struct Owner {
        Request* request{};
        Function* function{};
    };

    /// Sets or moves the owner's timer. `timer` is the key that the owner keeps. Timers with the same due time run in
    /// the order in which they were set.
    void set(TimerKey& timer, Time due, Owner owner) {
        cancel(timer);
        timer = {due, ++last_number_};
        timers_.emplace(timer, owner);
    }
    /// Does nothing if the timer is not set.
    void cancel(TimerKey& timer) {
        if (timer.second) timers_.erase(timer);
        timer = {};
    }

    bool is_due(Time now) const { return !timers_.empty() && next_due() <= now; }
    /// The owner of the earliest timer, which stays set. At least one timer must be set.
    Owner earliest_owner() const { return timers_.begin()->second; }
    /// When the earliest timer is due; Time::max() if no timer is set.
    Time next_due() const { return timers_.empty() ? Time::max() : timers_.begin()->first.first; }

private:
    std::map<TimerKey, Owner> timers_;
    std::uint64_t last_number_{};
};

}  // namespace plumkeel
