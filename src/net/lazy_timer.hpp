/// A timer for deadlines that are moved often and seldom reached, such as a connection's idle timeout.
#pragma once

#include <functional>
#include <utility>

#include "net/event_loop.hpp"

namespace plumkeel::net {

/// Moving the deadline to a later time is cheap: the scheduled timer checks the deadline again when it fires. The
/// destructor cancels the timer.
class LazyTimer {
public:
    /// `on_expiry` may destroy this timer, but must not use it afterwards.
    LazyTimer(EventLoop& loop, std::function<void()> on_expiry) : loop_(loop), on_expiry_(std::move(on_expiry)) {}
    ~LazyTimer() { loop_.cancel(key_); }
    LazyTimer(const LazyTimer&) = delete;
    LazyTimer& operator=(const LazyTimer&) = delete;

    void set(Time deadline) {
        deadline_ = deadline;
        if (key_.second && key_.first <= deadline_) return;
        loop_.cancel(key_);
        schedule();
    }
    void clear() { deadline_ = Time::max(); }
    bool is_set() const { return deadline_ != Time::max(); }

private:
    void schedule() {
        key_ = loop_.call_at(deadline_, [this] {
            key_ = {};
            if (deadline_ == Time::max()) return;
            if (loop_.now() < deadline_) return schedule();
            deadline_ = Time::max();
            on_expiry_();
        });
    }

    EventLoop& loop_;
    const std::function<void()> on_expiry_;
    EventLoop::TimerKey key_{};
    Time deadline_ = Time::max();
};

}  // namespace plumkeel::net
