// What a controller keeps in step as things change: beliefs and who holds them, loads, clocks, due times, marks. No
// decision is made here; those are in controller.cpp.
#include <algorithm>

#include "dispatch/controller.hpp"

namespace plumkeel {

bool Controller::believed(const Belief* belief) const {
    return belief && belief->until > now_;
}

Belief* Controller::belief_of(Function& function, const Invoker& invoker) const {
    return function.beliefs.find(invoker);
}

Belief& Controller::believe(Function& function, Invoker& invoker) {
    if (Belief* known = belief_of(function, invoker)) return *known;
    invoker.holders.push_back(&function);
    Belief& belief = function.beliefs.add(invoker);
    functions_.spread.set(function, function.beliefs.size() > 1);
    return belief;
}

// All that changes when a belief lapses goes through here.
void Controller::set_until(Function& function, Belief& belief, Time until) {
    belief.until = until;
    functions_.check(function, std::max(until, now_));
}

void Controller::set_loading(Function& function, Invoker* invoker) {
    function.loading = invoker;
    if (invoker) function.loading_since = now_;
    functions_.loading.set(function, invoker);
}

void Controller::set_ticking(Function& function, bool ticking) {
    function.ticking = ticking;
    functions_.waiting.set(function, ticking);
}

void Controller::end_cold(Invoker& invoker) {
    invoker.cold_since.reset();
    invoker.cold_hops.clear();
    fleet_.set_warm(invoker);
    recount(invoker);
}

void Controller::set_standing(Invoker& invoker, Standing standing) {
    invoker.standing = standing;
    recount(invoker);
}

void Controller::drop(Function& function) {
    for (const Belief& belief : function.beliefs) std::erase(belief.invoker->holders, &function);
    drop_due(function.due);
    functions_.remove(function);
    results_.forgotten.push_back(&function);
}

// Marks the invokers that a load or an unclosed job points to.
void Controller::mark_named() {
    for (Function* function : functions_.loading.members()) function->loading->named_in = sweeps_;
    for (Function* function : functions_.waiting.members())
        for (const Job* job : function->parked) mark_named(*job);
    for (Invoker* invoker : fleet_.watched())
        for (const Hop* hop : invoker->out) mark_named(*hop->job);
}

void Controller::mark_named(const Job& job) {
    for (const Hop& hop : job.hops) hop.invoker->named_in = sweeps_;
}

DecisionWork Controller::work() const {
    DecisionWork out = work_;
    out.hashed = index_.hashed();
    out.swept = fleet_.visited();
    return out;
}

// PCG (XSH-RR 64/32), as a number from 0 up to 1.
double Controller::chance() {
    const std::uint64_t old = dice_;
    dice_ = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto turn = static_cast<std::uint32_t>(old >> 59);
    return ((shifted >> turn) | (shifted << ((32 - turn) & 31))) * 0x1p-32;
}

void Controller::set_due(Ticket& slot, Time at, Due what) {
    drop_due(slot);
    slot = {at, ++tickets_};
    due_.emplace(slot, what);
}

void Controller::drop_due(Ticket& slot) {
    if (slot.second) due_.erase(slot);
    slot = {};
}

bool Controller::erred_there(const Job& job, const Invoker& invoker) const {
    return std::any_of(job.hops.begin(), job.hops.end(),
                       [&](const Hop& h) { return h.invoker == &invoker && h.ending == Ending::errored; });
}

Results Controller::list_broke(Time now) {
    enter(now);
    results_.follow_list = may_.ask_for_list;
    return done();
}

Results Controller::fleet_changed(Time now, const std::vector<Invoker*>& changed, bool complete) {
    enter(now);
    ++list_;
    for (Invoker* invoker : changed) invoker->told_in = list_;
    if (complete)
        fleet_.for_each([&](Invoker& invoker) {
            if (invoker.told_in != list_) leave_list(invoker);
        });
    for (Invoker* invoker : changed) take_up(*invoker);
    list_changed();
    return done();
}

Results Controller::fleet_left(Time now, const std::vector<Invoker*>& gone) {
    enter(now);
    for (Invoker* invoker : gone)
        if (invoker->known) leave_list(*invoker);
    list_changed();
    return done();
}

void Controller::leave_list(Invoker& invoker) {
    if (invoker.listed) invoker.left_list = now_;
    invoker.listed = invoker.ready = false;
    index_.remove(invoker);
    fleet_.set_left(invoker, true);
    recount(invoker);
    forget(invoker);
}

Results Controller::client_left(Time now, Job& job) {
    enter(now);
    if (!job.answered()) turn(job, JobState::abandoned, Why::client_left);
    return done();
}

// Nothing points to it any more but beliefs that have lapsed.
void Controller::let_go(Invoker& invoker) {
    for (Function* function : std::exchange(invoker.holders, {})) {
        function->beliefs.erase_if([&](const Belief& b) { return b.invoker == &invoker; });
        functions_.spread.set(*function, function->beliefs.size() > 1);
    }
    std::erase(no_room_, &invoker);
    fleet_.remove(invoker);
    invoker.known = false;
    results_.released.push_back(&invoker);
}

}  // namespace plumkeel
