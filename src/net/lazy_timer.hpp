// A due time that is moved often and reached seldom, such as how long a connection may idle. Moving it later
// costs nothing: what stands in the world's order is looked at again when it falls due. It ends with its owner.
#pragma once

#include "net/event_loop.hpp"

namespace plumkeel::net {

class LazyTimer {
public:
    // `what` may destroy the limit's owner, as its last act.
    LazyTimer(EventLoop& loop, std::function<void()> what) : loop_(loop), what_(std::move(what)) {}
    ~LazyTimer() { loop_.cancel(ticket_); }
    LazyTimer(const LazyTimer&) = delete;
    LazyTimer& operator=(const LazyTimer&) = delete;

    void set(Time at) {
        at_ = at;
        if (ticket_.second && ticket_.first <= at_) return;
        loop_.cancel(ticket_);
        stand();
    }
    void clear() { at_ = Time::max(); }
    bool is_set() const { return at_ != Time::max(); }

private:
    void stand() {
        ticket_ = loop_.call_at(at_, [this] {
            ticket_ = {};
            if (at_ == Time::max()) return;
            if (loop_.now() < at_) return stand();
            at_ = Time::max();
            what_();
        });
    }

    EventLoop& loop_;
    const std::function<void()> what_;
    EventLoop::TimerKey ticket_{};
    Time at_ = Time::max();
};

}  // namespace plumkeel::net
