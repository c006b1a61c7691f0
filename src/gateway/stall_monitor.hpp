/// Notices pauses of the process, in which clients' bytes wait unread while their deadlines come closer.
#pragma once

#include "admission/admission.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::gateway {

/// While requests are open it keeps a timer due at short intervals: how late that runs (EventLoop::lag()) shows a
/// pause. Owns the timer, which ends by itself when no request is open.
class StallMonitor {
public:
    StallMonitor(net::EventLoop& loop, const Admission& admission) : loop_(loop), admission_(admission) {}
    ~StallMonitor() { loop_.cancel(timer_); }
    StallMonitor(const StallMonitor&) = delete;
    StallMonitor& operator=(const StallMonitor&) = delete;

    void request_received();
    /// How long what is read now may have waited in its socket at the most: above 0 after a pause only. `lateness`:
    /// what the reader knows of by itself.
    Time max_unread_time(Time lateness) const;

private:
    bool is_running() const { return timer_.second != 0; }
    void run();

    net::EventLoop& loop_;
    const Admission& admission_;
    net::EventLoop::TimerKey timer_{};
};

}  // namespace plumkeel::gateway
