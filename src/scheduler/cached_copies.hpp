/// Which functions are estimated to be warm at which invokers, and with how many copies.
///
/// A function has an entry for an invoker from its first attempt there on. The entry counts as warm until it expires;
/// an expired one is kept while own attempts are in flight and until the function's next review (FunctionRegistry).
#pragma once

#include "scheduler/scheduler_context.hpp"

namespace plumkeel {

class CachedCopies {
public:
    explicit CachedCopies(SchedulerContext& context) : context_(context) {}

    /// Null where the function has no entry for the invoker.
    static CachedFunction* find(Function& function, const Invoker& invoker) {
        return function.cached_copies.find(invoker);
    }
    CachedFunction& get_or_add(Function& function, Invoker& invoker);
    /// Null is not warm.
    bool is_warm(const CachedFunction* copy) const { return copy && copy->expires_at > context_.now; }
    /// Requests that the copies run at once.
    static int concurrency(const Function& function, const CachedFunction* copy);

    /// Every change of an entry's expiry goes through here.
    void set_expiry(Function& function, CachedFunction& copy, Time expires_at);
    /// As after a use now: warm for the keep-alive time.
    void renew(Function& function, CachedFunction& copy);
    void mark_unloaded(Function& function, CachedFunction& copy);
    /// An attempt that failed there says that no usable copy is.
    void expire(Function& function, const Invoker& invoker);
    /// Nothing is warm at the invoker any more.
    void unload_all(Invoker& invoker);

    void attempt_sent(Function& function, CachedFunction& copy);
    void attempt_ended(Function& function, const Invoker& invoker);
    /// A successful response tells how many copies there are; `took_s` is the attempt's duration.
    void learn_from_success(const Attempt& attempt, LoadEvent load_event, int concurrent_requests, double took_s,
                            double load_time_s);
    /// A preload's response does as well.
    void preloaded(Function& function, Invoker& invoker, int copies);

    /// Erases the function's expired entries that no attempt uses.
    void erase_expired(Function& function);
    /// Erases all entries for the invoker.
    void erase_all(Invoker& invoker);

private:
    SchedulerContext& context_;
};

}  // namespace plumkeel
