#include "scheduler/capacity_tracker.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

constexpr Time rejection_backoff = 300ms;  // nothing is sent to an invoker that rejected an attempt
constexpr Time full_period = 2s;           // nor anything that needs a new copy
constexpr double eviction_gain = 0.02;
constexpr double max_eviction_rate = 0.01;  // more says that memory is short

}  // namespace

void CapacityTracker::record_rejection(Invoker& invoker, bool had_free_copy) {
    const Time now = context_.now;
    if (had_free_copy) invoker.backpressure.backoff_until = now + rejection_backoff;
    if (!is_full(invoker)) recently_full_.push_back(&invoker);
    invoker.backpressure.full_until = now + full_period;
}

void CapacityTracker::record_expected_copy(bool was_evicted) {
    eviction_rate_ += eviction_gain * ((was_evicted ? 1 : 0) - eviction_rate_);
}

bool CapacityTracker::evicts_early() const {
    return eviction_rate_ > max_eviction_rate;
}

void CapacityTracker::sweep() {
    std::erase_if(recently_full_, [&](const Invoker* invoker) { return !is_full(*invoker); });
}

}  // namespace plumkeel
