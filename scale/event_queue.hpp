/// Virtual time: runs events in the order of their times, and events with the same time in the order of scheduling.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace plumkeel::scale {

using Time = std::chrono::microseconds;

class EventQueue {
public:
    /// Schedules an action. A time that has passed counts as the current time.
    void schedule_at(Time when, std::function<void()> action) {
        events_.push({std::max(when, now_), ++last_sequence_number_, std::move(action)});
    }
    Time now() const { return now_; }

    /// Runs all events up to and including `end`, then sets the current time to `end`.
    void run_until(Time end) {
        while (!events_.empty() && events_.top().when <= end) {
            Event event = std::move(const_cast<Event&>(events_.top()));  // top() is const; the event is removed next
            events_.pop();
            now_ = event.when;
            event.action();
        }
        now_ = end;
    }

private:
    struct Event {
        Time when;
        std::uint64_t sequence_number;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            return std::pair(when, sequence_number) > std::pair(other.when, other.sequence_number);
        }
    };
    std::priority_queue<Event> events_;
    Time now_{};
    std::uint64_t last_sequence_number_{};
};

}  // namespace plumkeel::scale
