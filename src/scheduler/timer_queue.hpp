/// The timers of requests and of functions' parking queues, in the order in which they are due.
#pragma once

#include <cstddef>
#include <map>

#include "scheduler/time.hpp"

namespace plumkeel {

struct Function;
struct Request;

class TimerQueue {
public:
    /// Exactly one of the two is set.
    struct Owner {
        Request* request{};
        Function* function{};
    };

    /// Sets the owner's timer, or moves it. `timer` is the owner's key; timers due at once keep the order of these
    /// calls.
    void set(TimerKey& timer, Time due, Owner owner) {
        cancel(timer);
        timer = {due, ++numbers_};
        timers_.emplace(timer, owner);
    }
    /// Does nothing where no timer is set.
    void cancel(TimerKey& timer) {
        if (timer.second) timers_.erase(timer);
        timer = {};
    }

    bool is_due(Time now) const { return !timers_.empty() && next_due() <= now; }
    /// The owner of the earliest timer, which stays set. There must be one.
    Owner first() const { return timers_.begin()->second; }
    /// Time::max() where no timer is set.
    Time next_due() const { return timers_.empty() ? Time::max() : timers_.begin()->first.first; }

private:
    std::map<TimerKey, Owner> timers_;
    std::uint64_t numbers_{};
};

}  // namespace plumkeel
