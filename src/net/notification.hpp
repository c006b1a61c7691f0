/// A condition variable for coroutines on one event loop.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "net/types.hpp"

namespace plumkeel::net {

class EventLoop;

/// Lets coroutines wait until another one reports a change. notify() wakes all waiters; if there is none, the next
/// wait() returns at once. Wake-ups may be spurious: waiters check their condition in a loop.
class Notification {
public:
    explicit Notification(EventLoop& loop);

    Task<> wait();
    void notify();

private:
    asio::steady_timer timer_;  // never expires: cancelling it wakes the waiters
    bool notified_{};
    int waiters_{};
};

}  // namespace plumkeel::net
