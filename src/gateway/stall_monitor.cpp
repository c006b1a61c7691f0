#include "gateway/stall_monitor.hpp"

#include <algorithm>

namespace plumkeel::gateway {

using namespace std::chrono_literals;

namespace {

constexpr Time check_interval = 40ms;
/// With no request open, something is due so often all the same: the scheduler's sweeps, and the status of its host.
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

Time StallMonitor::max_unread_time(Time lateness) const {
    lateness = std::max(lateness, loop_.lag());
    if (lateness <= net::EventLoop::stall_threshold) return {};
    // The pause began up to one interval before something was due.
    return lateness + (is_running() ? check_interval : idle_timer_interval);
}

}  // namespace plumkeel::gateway
