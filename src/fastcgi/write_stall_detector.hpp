/// Detects a client that does not read what is written to it.
#pragma once

#include "net/event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::fastcgi {

/// check() is called at a fixed interval; an interval in which this thread was stalled does not count.
class WriteStallDetector {
public:
    explicit WriteStallDetector(net::Time check_interval) : check_interval_(check_interval) {}

    void start(net::Time now) { last_progress_at_ = last_check_at_ = now; }
    /// Returns how long bytes have been pending without the client reading any of them.
    net::Time check(net::Time now, const net::WriteQueue& queue) {
        const bool thread_was_stalled = now - last_check_at_ > check_interval_ + net::EventLoop::stall_threshold;
        last_check_at_ = now;
        if (thread_was_stalled || queue.pending_bytes() == 0 || queue.sent_bytes() != sent_bytes_at_last_check_)
            last_progress_at_ = now;
        sent_bytes_at_last_check_ = queue.sent_bytes();
        return now - last_progress_at_;
    }

private:
    const net::Time check_interval_;
    net::Time last_progress_at_{}, last_check_at_{};
    std::size_t sent_bytes_at_last_check_{};
};

}  // namespace plumkeel::fastcgi
