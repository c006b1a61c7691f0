/// Detects pauses of the process, during which clients' requests wait unread while their deadlines approach.
#pragma once

#include "admission/admission.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::gateway {

/// Runs a timer at short intervals while requests are open, so that EventLoop::lag(), the delay of timers, shows a
/// pause. The timer stops when no request is open.
class StallMonitor {
public:
    StallMonitor(net::EventLoop& loop, const Admission& admission) : loop_(loop), admission_(admission) {}
    ~StallMonitor() { loop_.cancel(timer_); }
    StallMonitor(const StallMonitor&) = delete;
    StallMonitor& operator=(const StallMonitor&) = delete;

    void request_received();
    /// Returns the longest time for which bytes that are read now may have waited in their socket; above 0 only after a
    /// pause of the process. `lateness`: a delay that the caller has measured itself.
    Time max_unread_time(Time lateness) const;

private:
    bool is_running() const { return timer_.second != 0; }
    void run();

    net::EventLoop& loop_;
    const Admission& admission_;
    net::EventLoop::TimerKey timer_{};
};

}  // namespace plumkeel::gateway
