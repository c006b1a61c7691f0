/// Virtual time: events in the order of their times, those of one time in the order in which they were added.
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
    /// A time that has passed counts as now.
    void at(Time when, std::function<void()> action) {
        events_.push({std::max(when, now_), ++added_, std::move(action)});
    }
    Time now() const { return now_; }

    /// Runs events up to `end`, which is the time afterwards.
    void run_until(Time end) {
        while (!events_.empty() && events_.top().when <= end) {
            Event event = std::move(const_cast<Event&>(events_.top()));  // it is popped at once
            events_.pop();
            now_ = event.when;
            event.action();
        }
        now_ = end;
    }

private:
    struct Event {
        Time when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::pair(when, order) > std::pair(other.when, other.order); }
    };
    std::priority_queue<Event> events_;
    Time now_{};
    std::uint64_t added_{};
};

}  // namespace plumkeel::scale
