#include "net/event_loop.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <exception>
#include <utility>

namespace plumkeel::net {

std::optional<Address> Address::parse(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return {};
    std::string_view host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || port > 65535 || host.empty()) return {};
    return Address{std::string(host), static_cast<std::uint16_t>(port)};
}

std::string Address::to_string() const {
    const bool six = host.find(':') != std::string::npos;
    return (six ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

EventLoop::TimerKey EventLoop::call_at(Time when, std::function<void()> what) {
    if (ending_) return {};
    const TimerKey ticket{when, ++timer_ids_};
    timers_.emplace(ticket, std::move(what));
    if (when < armed_) {
        armed_ = when;
        arm(when);
    }
    return ticket;
}

void EventLoop::cancel(TimerKey& ticket) {
    if (ticket.second) timers_.erase(ticket);
    ticket = {};
}

Time EventLoop::run_timers(Time now) {
    armed_ = Time::min();  // nothing arms the timer while it runs
    const TimerKey last{now, timer_ids_};
    while (!timers_.empty() && timers_.begin()->first <= last) {
        const auto what = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        what();
    }
    armed_ = timers_.empty() ? Time::max() : timers_.begin()->first.first;
    return armed_;
}

void EventLoop::cancel_all() {
    ending_ = true;
    timers_.clear();
}

Task<> EventLoop::sleep(Time span) {
    Notification done(*this);
    call_at(now() + span, [&done] { done.notify(); });
    co_await done.wait();
}

void EventLoop::spawn(Task<> task) {
    asio::co_spawn(executor(), std::move(task), [](std::exception_ptr fault) {
        if (fault) std::rethrow_exception(fault);
    });
}

Task<> Notification::wait() {
    if (std::exchange(notified_, false)) co_return;
    // The expiry is never set anew: that would wake those who wait already, and two would wake each other on and on.
    ++waiters_;
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    --waiters_;
}

void Notification::notify() {
    if (waiters_ > 0)
        timer_.cancel();
    else
        notified_ = true;
}

}  // namespace plumkeel::net
