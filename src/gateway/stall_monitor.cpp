#include "gateway/stall_monitor.hpp"

#include <algorithm>

namespace plumkeel::gateway {

using namespace std::chrono_literals;

namespace {

constexpr Time check_interval = 40ms;
/// With no request open, other timers such as the scheduler's still run at least this often.
constexpr Time idle_timer_interval = 250ms;

}  // namespace

void StallMonitor::request_received() {
    if (!is_running()) run();
}

void StallMonitor::run() {
    timer_ = {};
    if (admission_.open_requests() == 0) return;
    timer_ = loop_.call_at(loop_.now() + check_interval, [this] { run(); });
}

Time StallMonitor::max_unread_time(Time callback_delay) const {
    callback_delay = std::max(callback_delay, loop_.lag());
    if (callback_delay <= net::EventLoop::stall_threshold) return {};
    // The pause may have begun up to one interval before the time when the late timer was due.
    return callback_delay + (is_running() ? check_interval : idle_timer_interval);
}

}  // namespace plumkeel::gateway
