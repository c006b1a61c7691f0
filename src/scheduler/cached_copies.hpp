/// Estimates at which invokers a function has warm copies, and how many.
///
/// A function has an entry for an invoker from its first attempt there on. The entry counts as warm until it expires.
/// An expired entry is kept while attempts of this controller are in flight and until the next review of the function
/// by FunctionRegistry.
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class CachedCopies {
public:
    explicit CachedCopies(SchedulerContext& context) : context_(context) {}

    /// The function's entry for the invoker, or null.
    static CachedFunction* find(Function& function, const Invoker& invoker) {
        return function.cached_copies.find(invoker);
    }
    CachedFunction& get_or_add(Function& function, Invoker& invoker);
    /// Whether `copy` is an entry that has not expired; false for null.
    bool is_warm(const CachedFunction* copy) const { return copy && copy->expires_at > context_.now; }
    /// Requests that the copies of an entry run at once.
    static int concurrency(const Function& function, const CachedFunction* copy);

    /// Sets the entry's expiry and schedules the function's review for it. All changes of an expiry go through here.
    void set_expiry(Function& function, CachedFunction& copy, Time expires_at);
    /// Sets the expiry to one keep-alive time from now, as after each use of a copy.
    void extend_expiry(Function& function, CachedFunction& copy);
    /// Records that the invoker no longer holds any copy of the function.
    void mark_unloaded(Function& function, CachedFunction& copy);
    /// Marks the function's copies at the invoker as not warm, after a failure that shows that they are not usable.
    void expire(Function& function, const Invoker& invoker);
    /// Marks all functions as unloaded at the invoker.
    void unload_all(Invoker& invoker);

    void attempt_sent(Function& function, CachedFunction& copy);
    void attempt_ended(Function& function, const Invoker& invoker);
    /// Updates the number of copies after a successful attempt. `duration_s` is the duration of the attempt.
    void learn_from_success(const Attempt& attempt, LoadEvent load_event, int concurrent_requests, double duration_s,
                            double load_time_s);
    /// Records the number of copies that a preload's response reports.
    void record_preload(Function& function, Invoker& invoker, int copies);

    /// Erases the function's expired entries without attempts in flight.
    void erase_expired(Function& function);
    /// Erases all entries for the invoker.
    void erase_all(Invoker& invoker);

private:
    SchedulerContext& context_;
};

}  // namespace plumkeel
