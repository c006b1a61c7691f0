/// Tracks invokers that rejected attempts: for a short time they are sent nothing, and for a longer time nothing that
/// needs a new copy. Also tracks whether copies are evicted before their keep-alive time ends, which shows that memory
/// is short.
#pragma once

#include <vector>

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class CapacityTracker {
public:
    explicit CapacityTracker(SchedulerContext& context) : context_(context) {}

    /// Records a rejected attempt. `had_free_copy` tells whether a copy with a free slot was expected at the invoker;
    /// if so, the invoker is sent nothing for a while. Otherwise it lacks capacity only for loads, and requests for
    /// copies that it holds are still sent. Without this distinction, all invokers were backed off from while their
    /// cores were idle (bench day "reload").
    void record_rejection(Invoker& invoker, bool had_free_copy);
    bool is_backing_off(const Invoker& invoker) const { return invoker.backpressure.backoff_until > context_.now; }
    bool is_full(const Invoker& invoker) const { return invoker.backpressure.full_until > context_.now; }
    /// Invokers that had no capacity for a new copy. Some of them may have capacity again: check with is_full().
    const std::vector<Invoker*>& recently_full() const { return recently_full_; }

    /// Records whether a copy that was expected at an idle invoker was gone.
    void record_expected_copy(bool was_evicted);
    /// Whether copies are often evicted before their keep-alive time ends.
    bool evicts_early() const;

    /// Part of each periodic sweep. Forgets invokers that are no longer full.
    void sweep();
    void remove(Invoker& invoker) { std::erase(recently_full_, &invoker); }

private:
    SchedulerContext& context_;
    std::vector<Invoker*> recently_full_;
    /// Decaying share of the attempts with an expected warm copy that found none.
    double eviction_rate_{};
};

}  // namespace plumkeel
