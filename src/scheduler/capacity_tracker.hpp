/// Invokers that rejected attempts lately: they are left alone for a moment, and for longer where a new copy would need
/// capacity. Also whether copies are evicted before their time, a sign that memory is short.
#pragma once

#include <vector>

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class CapacityTracker {
public:
    explicit CapacityTracker(SchedulerContext& context) : context_(context) {}

    /// An attempt came back rejected. With `had_free_copy`, a copy with a free slot was expected there. Otherwise the
    /// invoker has no capacity for loads alone: requests for copies that it has are still sent (day "reload": all
    /// invokers were backed off from while their cores idled).
    void record_rejection(Invoker& invoker, bool had_free_copy);
    bool is_backing_off(const Invoker& invoker) const { return invoker.backpressure.backoff_until > context_.now; }
    bool is_full(const Invoker& invoker) const { return invoker.backpressure.full_until > context_.now; }
    /// Invokers that were full a moment ago; some may not be any more.
    const std::vector<Invoker*>& recently_full() const { return recently_full_; }

    /// Whether a copy that was expected at an idle invoker was gone.
    void record_expected_copy(bool was_evicted);
    bool evicts_early() const;

    /// Part of the periodic work.
    void sweep();
    void remove(Invoker& invoker) { std::erase(recently_full_, &invoker); }

private:
    SchedulerContext& context_;
    std::vector<Invoker*> recently_full_;
    double eviction_rate_{};  ///< of the attempts that expected a warm copy, the decaying part that found none
};

}  // namespace plumkeel
