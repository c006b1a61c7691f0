#include "net/world.hpp"

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

std::string Address::text() const {
    const bool six = host.find(':') != std::string::npos;
    return (six ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

World::Ticket World::at(Time when, std::function<void()> what) {
    if (ending_) return {};
    const Ticket ticket{when, ++tickets_};
    due_.emplace(ticket, std::move(what));
    if (when < armed_) {
        armed_ = when;
        arm(when);
    }
    return ticket;
}

void World::drop(Ticket& ticket) {
    if (ticket.second) due_.erase(ticket);
    ticket = {};
}

Time World::run_due(Time now) {
    armed_ = Time::min();  // nothing arms the timer while it runs
    const Ticket last{now, tickets_};
    while (!due_.empty() && due_.begin()->first <= last) {
        const auto what = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        what();
    }
    armed_ = due_.empty() ? Time::max() : due_.begin()->first.first;
    return armed_;
}

void World::end_due() {
    ending_ = true;
    due_.clear();
}

Task<> World::sleep(Time span) {
    Signal done(*this);
    at(now() + span, [&done] { done.fire(); });
    co_await done.wait();
}

void World::spawn(Task<> task) {
    asio::co_spawn(executor(), std::move(task), [](std::exception_ptr fault) {
        if (fault) std::rethrow_exception(fault);
    });
}

Task<> Signal::wait() {
    if (std::exchange(told_, false)) co_return;
    // The expiry is never set anew: that would wake those who wait already, and two would wake each other on and on.
    ++waiting_;
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    --waiting_;
}

void Signal::fire() {
    if (waiting_ > 0)
        timer_.cancel();
    else
        told_ = true;
}

}  // namespace plumkeel::net
