#include "net/event_loop.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

#include "net/notification.hpp"

namespace plumkeel::net {

EventLoop::TimerKey EventLoop::call_at(Time when, std::function<void()> callback) {
    if (shutting_down_) return {};
    const TimerKey key{when, ++last_timer_id_};
    timers_.emplace(key, std::move(callback));
    if (when < armed_time_) {
        armed_time_ = when;
        arm(when);
    }
    return key;
}

void EventLoop::cancel(TimerKey& key) {
    if (key.second) timers_.erase(key);
    key = {};
}

Time EventLoop::run_timers(Time now) {
    armed_time_ = Time::min();  // keeps call_at() from arming while timers run
    const TimerKey last_due_key{now, last_timer_id_};
    while (!timers_.empty() && timers_.begin()->first <= last_due_key) {
        const auto callback = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        callback();
    }
    armed_time_ = timers_.empty() ? Time::max() : timers_.begin()->first.first;
    return armed_time_;
}

void EventLoop::cancel_all() {
    shutting_down_ = true;
    timers_.clear();
}

Task<> EventLoop::sleep(Time duration) {
    Notification done(*this);
    call_at(now() + duration, [&done] { done.notify(); });
    co_await done.wait();
}

Task<> EventLoop::yield() {
    co_await asio::post(executor(), asio::use_awaitable);
}

void EventLoop::spawn(Task<> task) {
    asio::co_spawn(executor(), std::move(task), [](std::exception_ptr exception) {
        if (exception) std::rethrow_exception(exception);
    });
}

}  // namespace plumkeel::net
