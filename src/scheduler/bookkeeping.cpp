// What a controller keeps in step as things change: beliefs and who holds them, loads, clocks, due times, marks. No
// decision is made here; those are in controller.cpp.
#include <algorithm>

#include "scheduler/scheduler.hpp"

namespace plumkeel {

bool Scheduler::believed(const CachedFunction* cached) const {
    return cached && cached->expires_at > now_;
}

CachedFunction* Scheduler::belief_of(Function& function, const Invoker& invoker) const {
    return function.cached_copies.find(invoker);
}

CachedFunction& Scheduler::believe(Function& function, Invoker& invoker) {
    if (CachedFunction* known = belief_of(function, invoker)) return *known;
    invoker.functions.push_back(&function);
    CachedFunction& cached = function.cached_copies.add(invoker);
    functions_.replicated.set(function, function.cached_copies.size() > 1);
    return cached;
}

// All that changes when a belief lapses goes through here.
void Scheduler::set_until(Function& function, CachedFunction& cached, Time until) {
    cached.expires_at = until;
    functions_.schedule_review(function, std::max(until, now_));
}

void Scheduler::set_loading(Function& function, Invoker* invoker) {
    function.loading_on = invoker;
    if (invoker) function.load_started_at = now_;
    functions_.loading.set(function, invoker);
}

void Scheduler::set_ticking(Function& function, bool ticking) {
    function.parking_active = ticking;
    functions_.with_parked.set(function, ticking);
}

void Scheduler::end_cold(Invoker& invoker) {
    invoker.slow_start_since.reset();
    invoker.slow_start_attempts.clear();
    fleet_.clear_slow_start(invoker);
    recount(invoker);
}

void Scheduler::set_standing(Invoker& invoker, HealthState standing) {
    invoker.health = standing;
    recount(invoker);
}

void Scheduler::drop(Function& function) {
    for (const CachedFunction& cached : function.cached_copies) std::erase(cached.invoker->functions, &function);
    drop_due(function.timer);
    functions_.remove(function);
    results_.released_functions.push_back(&function);
}

// Marks the invokers that a load or an unclosed job points to.
void Scheduler::mark_named() {
    for (Function* function : functions_.loading.members()) function->loading_on->referenced_in = sweeps_;
    for (Function* function : functions_.with_parked.members())
        for (const Request* request : function->parked) mark_named(*request);
    for (Invoker* invoker : fleet_.to_sweep())
        for (const Attempt* attempt : invoker->in_flight) mark_named(*attempt->request);
}

void Scheduler::mark_named(const Request& request) {
    for (const Attempt& attempt : request.attempts) attempt.invoker->referenced_in = sweeps_;
}

DecisionWork Scheduler::work() const {
    DecisionWork out = work_;
    out.hashed = index_.hashed();
    out.swept = fleet_.examined();
    return out;
}

// PCG (XSH-RR 64/32), as a number from 0 up to 1.
double Scheduler::chance() {
    const std::uint64_t old = dice_;
    dice_ = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto turn = static_cast<std::uint32_t>(old >> 59);
    return ((shifted >> turn) | (shifted << ((32 - turn) & 31))) * 0x1p-32;
}

void Scheduler::set_due(TimerKey& slot, Time at, Due what) {
    drop_due(slot);
    slot = {at, ++tickets_};
    due_.emplace(slot, what);
}

void Scheduler::drop_due(TimerKey& slot) {
    if (slot.second) due_.erase(slot);
    slot = {};
}

bool Scheduler::erred_there(const Request& request, const Invoker& invoker) const {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [&](const Attempt& h) { return h.invoker == &invoker && h.outcome == AttemptOutcome::failed; });
}

Actions Scheduler::endpoint_stream_lost(Time now) {
    enter(now);
    results_.subscribe_endpoints = may_.subscribes_endpoints;
    return done();
}

Actions Scheduler::endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool complete) {
    enter(now);
    ++list_;
    for (Invoker* invoker : changed) invoker->listed_in = list_;
    if (complete)
        fleet_.for_each([&](Invoker& invoker) {
            if (invoker.listed_in != list_) leave_list(invoker);
        });
    for (Invoker* invoker : changed) take_up(*invoker);
    list_changed();
    return done();
}

Actions Scheduler::endpoints_removed(Time now, const std::vector<Invoker*>& gone) {
    enter(now);
    for (Invoker* invoker : gone)
        if (invoker->is_registered) leave_list(*invoker);
    list_changed();
    return done();
}

void Scheduler::leave_list(Invoker& invoker) {
    if (invoker.is_listed) invoker.delisted_at = now_;
    invoker.is_listed = invoker.ready = false;
    index_.remove(invoker);
    fleet_.set_delisted(invoker, true);
    recount(invoker);
    forget(invoker);
}

Actions Scheduler::client_disconnected(Time now, Request& request) {
    enter(now);
    if (!request.is_completed()) turn(request, RequestState::cancelled, DecisionReason::client_disconnected);
    return done();
}

// Nothing points to it any more but beliefs that have lapsed.
void Scheduler::let_go(Invoker& invoker) {
    for (Function* function : std::exchange(invoker.functions, {})) {
        function->cached_copies.erase_if([&](const CachedFunction& b) { return b.invoker == &invoker; });
        functions_.replicated.set(*function, function->cached_copies.size() > 1);
    }
    std::erase(no_room_, &invoker);
    fleet_.remove(invoker);
    invoker.is_registered = false;
    results_.released_invokers.push_back(&invoker);
}

}  // namespace plumkeel
