#include "scheduler/capacity_tracker.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

/// An invoker that rejected an attempt although it had a free copy is sent nothing for this time.
constexpr Time rejection_backoff = 300ms;
/// An invoker that rejected an attempt is sent nothing that needs a new copy for this time.
constexpr Time no_capacity_period = 2s;
constexpr double eviction_rate_gain = 0.02;
/// A higher rate of missing copies shows that memory is short.
constexpr double max_normal_eviction_rate = 0.01;

}  // namespace

void CapacityTracker::record_rejection(Invoker& invoker, bool had_free_copy) {
    const Time now = context_.now;
    if (had_free_copy) invoker.backpressure.backoff_until = now + rejection_backoff;
    if (!is_full(invoker)) recently_full_.push_back(&invoker);
    invoker.backpressure.full_until = now + no_capacity_period;
}

void CapacityTracker::record_expected_copy(bool was_evicted) {
    eviction_rate_ += eviction_rate_gain * ((was_evicted ? 1 : 0) - eviction_rate_);
}

bool CapacityTracker::evicts_early() const {
    return eviction_rate_ > max_normal_eviction_rate;
}

void CapacityTracker::sweep() {
    std::erase_if(recently_full_, [&](const Invoker* invoker) { return !is_full(*invoker); });
}

}  // namespace plumkeel
