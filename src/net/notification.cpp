#include "net/notification.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "net/event_loop.hpp"

namespace plumkeel::net {

Notification::Notification(EventLoop& loop) : timer_(loop.executor(), asio::steady_timer::time_point::max()) {}

Task<> Notification::wait() {
    if (std::exchange(notified_, false)) co_return;
    // The timer's expiry must not be set here: that would cancel the waits of other coroutines.
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
