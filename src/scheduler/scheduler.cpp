// The decisions of plumkeel: where a job goes, how long it waits, when it is given up.
//
// How it is invoked: the host makes one Controller (controller.hpp, the interface) for each controller, tells
// it what happens, a call for each happening, and carries out the Results that every call returns. The host
// calls wake() at or after Results::next_wake. The module does no input or output and reads no clock.
//
// Where to start: place() is the ordinary path of a job, from top to bottom. The design it follows, and every
// exception to it, is in docs/design.md.
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

#include "scheduler/hash.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

// The design's parking (steps 3 to 5).
constexpr Time park_budget = 5s, first_delay = 100ms;
constexpr double delay_growth = 1.1, delay_jitter = 0.1;
constexpr std::size_t park_limit = 1024;

// The pick.
constexpr std::size_t homes = 2, further = 1;
constexpr std::size_t most_weighed = 16;                   // that are told of for one job
constexpr std::size_t most_visited = 64, most_homes = 48;  // for one job: of a larger fleet, of its homes
constexpr double home_room = 2.2;                          // more of the fleet for a function than its part of the jobs
constexpr double unseen = 0.5;                             // arrivals that any function counts for at the start
constexpr double shared_jobs = 3, few_arrivals = 20;
constexpr double seed_wait = 0.2;          // of the promised time: behind others, before a further home is looked for
constexpr double seed_calm = 0.05;         // and what that one may make it wait
constexpr double seldom = 0.01;            // of the hops to a copy that had been pushed out: more is short memory
constexpr double second_home_bias = 1.15;  // a cold second home must be this much better than the first
constexpr double tie = 0.002;              // seconds
constexpr double herd_tie = 0.2;           // of a run
constexpr double assumed_part = 0.1, assumed_load = 1.0, assumed_press = 0.2;  // until something is learned
constexpr double copy_share = 0.45;   // of a load: a further copy beside a standing one needs no fetch
constexpr double join_share = 0.8;    // of a load's time, after which its jobs stop waiting for its answer
constexpr double report_gain = 0.02;  // what one report tells of the whole fleet, once there were a few
constexpr int few_reports = 20;
constexpr Time report_life = 1500ms, report_age = 400ms;
constexpr int herd = 3;
constexpr double kind_gain = 0.003;  // the least that one run teaches of a kind
constexpr double few_jobs = 3;       // at an invoker: its cores are not all taken
constexpr double odd_run = 4.0;      // a run this many times the expected teaches no more than that

// Shedding: part of the promised time that waiting behind other jobs may take.
constexpr double shed_wait = 0.3, shed_wait_over_share = 0.15, shed_wait_hasty = 0.05, shed_finish = 0.6;
constexpr double over_share = 1.2;
constexpr double level_jobs = 60;                     // arrivals are counted over so many, but over these
constexpr double least_span = 3.0, most_span = 15.0;  // seconds at least and most
constexpr double favourite = 4.0;                     // such a count makes a further copy pay

// Health.
constexpr Time sweep_period = 250ms, sweep_slack = 50ms, probe_gap = 600ms, quiet_gap = 400ms;
constexpr double probes_a_job = 0.5, probes_saved = 40;  // and no more, for reports: saved, from so many jobs
constexpr double probes_worth = 0.005;  // and of a job's worth no more than this, where probes have a price
constexpr int rarer = 4;                // an ill invoker is asked in every sweep, and less often while it is silent
constexpr int misses_aside = 2, cuts_doubted = 2, answers_back = 2, eased = 8, first_ease = 2;
constexpr Time copies_gone = 3s;   // silent for longer than any stall: its copies are not counted on
constexpr Time shun = 300ms;       // after it turned a job away
constexpr Time no_room = 2s;       // nor sent anything that needs a new copy
constexpr Time own_stall = 100ms;  // a sweep later than that: the controller itself stood still
constexpr Time blind_aside = 2s;   // where no probe may be sent
constexpr double doubt_share = 0.34;
constexpr double fault_gain = 0.12, fault_fade = 0.95, most_faulty = 0.35;  // of its answers

constexpr double cold_margin = 1.0;  // of the budget for a cold invoker, for what can't be seen
constexpr Time forget_function = 60s, release_invoker = 5s;
constexpr std::size_t most_functions = 16'384, most_called_once = most_functions / 4, most_spared = 16;
constexpr std::size_t most_due = 64, most_released = 64;  // in one turn: due times; functions when the list changes
constexpr std::size_t most_swept = 256;                   // looked at for reports in one sweep
constexpr double no_fault = 1e-6;                         // faded so far, errors are forgotten
constexpr Time idle_spare = 700ms;  // for each controller: the others, unseen here, use the copy too

constexpr double in_seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}
constexpr Time span_of(double seconds) {
    return Time(static_cast<Time::rep>(std::max(0.0, seconds) * 1e6));
}

bool never_ran(AttemptOutcome e) {
    return e == AttemptOutcome::rejected || e == AttemptOutcome::unreachable || e == AttemptOutcome::never_sent ||
           e == AttemptOutcome::load_failed;
}

}  // namespace

Scheduler::Scheduler(std::uint64_t seed, SafetyRules rules, Capabilities may)
    : rules_(rules), may_(std::move(may)), dice_(mix(seed + 0x9e3779b97f4a7c15ULL)) {
    probes_a_job_ = probes_a_job;
    if (may_.health_check_price > 0) probes_a_job_ = std::min(probes_a_job, probes_worth / may_.health_check_price);
    probes_left_ = probes_saved * probes_a_job_;
    level_span_ = least_span;
    load_ = assumed_load;
}

// ---------------------------------------------------------------- the ordinary path of a job

// Steps 1 to 5 of the design. Called when the job arrives, when a wait of its function ends, and when its hop
// ended without an answer and it may go on.
void Scheduler::place(Request& request) {
    Function& function = *request.function;
    if (static_cast<int>(request.attempts.size()) >= may_.max_attempts)
        return give_up(request, DecisionReason::attempts_exhausted);
    expect_load(function);
    const double left = in_seconds(request.target_at - now_);
    Choice best = choose(request);
    DecisionReason why = DecisionReason::best_invoker;

    // No invoker may be sent anything now: wait on the function's clock.
    if (!best.invoker) return park(request, DecisionReason::no_eligible_invoker);

    // Exception "shed": where it would answer too late only for the jobs ahead of it, it would make those
    // behind it late as well. Guards against overload, a tenant over its share and retry storms; it could
    // harm where run times are overestimated. A fresh job parks for one delay first, as the design has it,
    // but not a repeat of a client that gives up before the promised time: its job mostly did not fit in that
    // time before. Where a calm invoker is left, a favourite brings a copy there instead (exception "seed").
    const bool hasty = request.is_client_retry && request.remaining < request.request_class->latency_target;
    const double part = hasty ? shed_wait_hasty : request.over_quota ? shed_wait_over_share : shed_wait;
    const double patience = part * in_seconds(request.target_at - request.received_at);
    if (best.wait > patience && best.finish > shed_finish * left && may_bounce(request)) {
        if (!hasty && request.state == RequestState::received && parked_ < park_limit)
            return park(request, DecisionReason::overloaded);
        const double ready = load_time(function) - in_seconds(now_ - function.load_started_at);
        if (function.loading_on && ready + function.run_time_s > left)
            return give_up(request, DecisionReason::overloaded);
        if (!function.loading_on && (!best.calm || function.recent_arrivals < favourite))
            return give_up(request, DecisionReason::overloaded);
        if (!function.loading_on) best = Choice{best.calm}, why = DecisionReason::new_replica;
    }

    // Step 2: one load a function at a time. While it is out and no warm copy answers in time, jobs wait for
    // it. Where a copy's lanes are all taken, more jobs there would only start more copies: they wait for a
    // lane.
    const bool wait = best.full || (function.loading_on && (!best.warm || best.finish > left));
    if (wait && parked_ < park_limit)
        return park(request, best.full ? DecisionReason::concurrency_limit : DecisionReason::load_in_progress);

    if (!best.warm && may_.preload && !function.loading_on && may_order()) {
        set_loading(function, best.invoker);
        function.load_is_preload = true;
        results_.to_preload.push_back({&function, best.invoker, 1});
        return park(request, DecisionReason::preload_sent);
    }
    if (!best.warm && !may_.on_demand_loading) return park(request, DecisionReason::load_budget_exhausted);
    start_hop(request, best, why);
}

// Holds the job at the controller. All parked jobs of a function share the clock that the first one started.
void Scheduler::park(Request& request, DecisionReason why) {
    Function& function = *request.function;
    if (parked_ >= park_limit && request.state != RequestState::parked)
        return give_up(request, DecisionReason::parking_full);
    turn(request, RequestState::parked, why);
    if (!function.parking_active) {
        set_ticking(function, true);
        function.parking_since = now_;
        function.backoff = first_delay;
        function.retry_at = now_ + function.backoff;
    }
    if (function.loading_on && !function.load_is_preload) {
        const Time ends = function.load_started_at + span_of(join_share * load_time(function));
        if (ends > now_) function.retry_at = std::min(function.retry_at, ends);
    }
    clock_due(function);
}

void Scheduler::clock_due(Function& function) {
    set_due(function.timer, std::min(function.retry_at, function.parking_since + park_budget), {nullptr, &function});
}

// Sends on what is parked, oldest first; place() parks again what still has to wait.
void Scheduler::release(Function& function) {
    const std::vector<Request*> waiting = function.parked;
    for (Request* request : waiting)
        if (request->state == RequestState::parked) place(*request);
    if (function.parked.empty()) {
        set_ticking(function, false);
        drop_due(function.timer);
    }
}

// Where no order tells its end, a load counts as answered once its learned time has passed: its own answer
// comes only behind the first job's run. (Exception "join"; harm: jobs wait at the invoker where the load is
// slow.)
void Scheduler::expect_load(Function& function) {
    if (!function.loading_on || function.load_is_preload) return;
    if (now_ - function.load_started_at < span_of(join_share * load_time(function))) return;
    set_until(function, believe(function, *function.loading_on), now_ + may_.keep_alive);
    set_loading(function, nullptr);
}

void Scheduler::load_over(Function& function) {
    set_loading(function, nullptr);
    release(function);
}

// The job's final answer, at once, since nothing more is done for it.
void Scheduler::give_up(Request& request, DecisionReason why) {
    if (!may_bounce(request)) return turn(request, RequestState::failed, why);
    if (may_.retry_after) {
        // Late already: a further try could earn little, so it is asked to stay away for long.
        const Time pause = now_ >= request.target_at ? may_.max_retry_after : span_of(0.3 + 0.4 * chance());
        request.retry_after = std::min(pause, may_.max_retry_after);
    }
    turn(request, RequestState::rejected, why);
}

void Scheduler::start_hop(Request& request, const Choice& choice, DecisionReason why) {
    Function& function = *request.function;
    Invoker& invoker = *choice.invoker;
    CachedFunction& cached = believe(function, invoker);
    Attempt& attempt = request.attempts.emplace_back();
    attempt.request = &request;
    attempt.invoker = &invoker;
    attempt.number = static_cast<int>(request.attempts.size()) - 1;
    attempt.sent_at = now_;
    attempt.timeout = request.deadline - now_;
    attempt.in_flight = true;
    attempt.expected_warm = choice.warm;
    attempt.observed_warm = believed(&cached);
    attempt.own_concurrent = cached.in_flight;
    attempt.estimated_load = crowd_at(invoker) + 1;
    if (!choice.warm && !function.loading_on) {
        attempt.starts_load = true;
        set_loading(function, &invoker);
        function.load_is_preload = false;
    }
    if (++cached.in_flight >= cached.peak_in_flight || now_ - cached.peak_at > may_.keep_alive) {
        cached.peak_in_flight = cached.in_flight;
        cached.peak_at = now_;
    }
    const int lanes = std::max(1, function.concurrency);
    cached.copies = std::max(1, std::min(cached.copies, (cached.peak_in_flight + lanes - 1) / lanes));
    invoker.in_flight.push_back(&attempt);
    invoker.last_used_at = now_;
    moved(invoker, 1);
    recount(invoker);
    if (invoker.slow_start_since) invoker.slow_start_attempts.push_back(now_);
    results_.to_send.push_back(&attempt);
    turn(request, RequestState::in_flight, why, &attempt);
}

// The only place where a job changes state.
void Scheduler::turn(Request& request, RequestState to, DecisionReason why, Attempt* started) {
    assert(!request.is_completed());
    Function& function = *request.function;
    const RequestState from = request.state;
    const bool stays = from == RequestState::parked && to == from && request.reason == why;
    request.state = to;
    request.reason = why;
    if (tell_ != TraceDetail::none && !stays) results_.transitions.push_back({&request, to, why, started, weighed_});
    weighed_.clear();
    if (from == RequestState::parked && to != RequestState::parked) {
        std::erase(function.parked, &request);
        --parked_;
    }
    switch (to) {
        case RequestState::received:
            break;
        case RequestState::parked:
            if (from != RequestState::parked) {
                function.parked.push_back(&request);
                ++parked_;
            }
            // Parked for as long as a run still fits before its expiry.
            set_due(request.timer, request.deadline - 2 * may_.clock_resolution - span_of(function.run_time_s * 0.7),
                    {&request, nullptr});
            break;
        case RequestState::in_flight:
            set_due(request.timer, request.deadline - 2 * may_.clock_resolution, {&request, nullptr});
            break;
        case RequestState::streaming:
            drop_due(request.timer);
            break;
        case RequestState::rejected:
        case RequestState::failed:
            results_.completed.push_back(&request);
            [[fallthrough]];
        case RequestState::succeeded:
        case RequestState::cancelled:
            drop_due(request.timer);
            --function.open_requests;
            for (Attempt& attempt : request.attempts)
                if (attempt.in_flight && may_.cancellation) results_.to_cancel.push_back(&attempt);
            break;
    }
}

// ---------------------------------------------------------------- the guards of the rules

// Rule 2, and the hop limit: may the job be sent (again) to this invoker?
bool Scheduler::may_hop(const Request& request, const Invoker& invoker) const {
    if (request.is_completed() || static_cast<int>(request.attempts.size()) >= may_.max_attempts ||
        now_ >= request.deadline)
        return false;
    for (const Attempt& attempt : request.attempts) {
        if (!attempt.in_flight && never_ran(*attempt.outcome)) continue;
        if (attempt.in_flight && !may_.hedging) return false;
        const RequestClass& use = *request.request_class;
        if (use.idempotency == Idempotency::idempotent) continue;
        if (use.idempotency == Idempotency::at_most_once) return false;
        if (now_ + 2 * may_.clock_resolution >= attempt.sent_at + use.deduplication_window) return false;
        if (use.deduplication_scope == DeduplicationScope::zone && attempt.invoker->zone != invoker.zone) return false;
        if (use.deduplication_scope == DeduplicationScope::cell && attempt.invoker->cell != invoker.cell) return false;
    }
    return true;
}

// Rule 2: may the client be told that a further try is harmless?
bool Scheduler::may_bounce(const Request& request) const {
    const RequestClass& use = *request.request_class;
    if (use.idempotency == Idempotency::idempotent) return true;
    for (const Attempt& attempt : request.attempts) {
        if (!attempt.in_flight && never_ran(*attempt.outcome)) continue;
        if (use.idempotency == Idempotency::at_most_once || use.deduplication_scope != DeduplicationScope::global)
            return false;
        if (now_ + 2 * may_.clock_resolution >= attempt.sent_at + use.deduplication_window) return false;
    }
    return true;
}

// Rules 3 and 4: may this invoker be sent anything new? A cold one has a budget in any window of the stated
// length: the stated multiple of what it can do, which is taken to rise evenly from the cold share over the
// whole stated time, of what warm invokers of its size are seen to do for this controller. What each
// controller sees is its own part of the traffic, so all budgets together stay under the whole one. Of many
// controllers each has less than one hop a window; a draw at each start decides who has one all the same.
bool Scheduler::may_send_to(Invoker& invoker) {
    if (!invoker.is_listed || !invoker.ready) return false;
    if (!invoker.slow_start_since) return true;
    const Time age = now_ - *invoker.slow_start_since;
    if (age >= rules_.slow_start_duration + rules_.slow_start_window) {
        end_cold(invoker);
        return true;
    }
    while (!invoker.slow_start_attempts.empty() &&
           invoker.slow_start_attempts.front() + rules_.slow_start_window < now_)
        invoker.slow_start_attempts.pop_front();
    const double risen =
        in_seconds(std::max(Time{}, age - rules_.slow_start_window)) / in_seconds(rules_.slow_start_duration);
    const double share = std::min(1.0, rules_.slow_start_initial_share + (1 - rules_.slow_start_initial_share) * risen);
    const double budget = cold_margin * rules_.slow_start_rate_multiple * share * rate_ * invoker.capacity *
                          in_seconds(rules_.slow_start_window);
    return static_cast<double>(invoker.slow_start_attempts.size()) + 1 <= budget + invoker.slow_start_jitter;
}

void Scheduler::begin_cold(Invoker& invoker, Time since) {
    if (!invoker.slow_start_since) {
        invoker.slow_start_attempts.clear();
        invoker.slow_start_jitter = chance();
    }
    invoker.slow_start_since = since;
    fleet_.set_slow_start(invoker, since);
    recount(invoker);
}

// Those whose cold start is over. One that takes no jobs stays as it is until the list tells of it again.
void Scheduler::end_cold_starts() {
    const Time since = now_ - rules_.slow_start_duration - rules_.slow_start_window;
    while (Invoker* const invoker = fleet_.oldest_slow_start(since)) {
        if (invoker->is_listed && invoker->ready)
            end_cold(*invoker);
        else
            fleet_.clear_slow_start(*invoker);
    }
}

// Rule 5: may copies be ordered now? Counts the order when it says yes.
bool Scheduler::may_order() {
    if (rules_.load_budget_window > Time{}) {
        while (!orders_.empty() && orders_.front() + rules_.load_budget_window < now_) orders_.pop_front();
        while (!taken_.empty() && taken_.front() + rules_.load_budget_window <= now_) taken_.pop_front();
        const double limit =
            rules_.load_budget_base + rules_.load_budget_per_request * static_cast<double>(taken_.size());
        if (static_cast<double>(orders_.size()) + 1 > limit) return false;
        orders_.push_back(now_);
    }
    return true;
}

// ---------------------------------------------------------------- the pick

Scheduler::Choice Scheduler::choose(Request& request) {
    end_cold_starts();
    weighed_.clear();
    ++work_.placements;
    Search search = start_search(request);
    look_at_homes(search);
    look_at_beliefs(search);
    look_for_calm(search);
    return search.best;
}

// Exception "homes": as many as the function's part of all jobs asks of the fleet. Where all controllers
// together send a home some jobs in each keep-alive, it is taken to hold the function. A controller that
// has just started can't tell a favourite yet: all of them would try the first home.
Scheduler::Search Scheduler::start_search(Request& request) const {
    Search search{request, *request.function};
    const double seen = std::max(level_ < few_arrivals ? unseen : 0.0, search.function.recent_arrivals - 1);
    const double part = seen / std::max(level_, few_arrivals);
    const double asked = part * home_room * static_cast<double>(fleet_.size());
    search.shared = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(asked)));
    search.wanted = std::max(homes, search.shared);
    const double others = seen / level_span_ * (may_.controller_count - 1);
    search.kept = others * in_seconds(may_.keep_alive) > shared_jobs * static_cast<double>(search.shared);
    // The more controllers choose on the same reports, the wider a tie: else all take the same invoker.
    search.near = std::max(tie, herd_tie * search.function.run_time_s * (1 - 1.0 / std::max(1, may_.controller_count)));
    search.bounded = index_.size() > most_visited;
    search.visits_left = search.bounded ? most_visited : std::numeric_limits<std::size_t>::max();
    return search;
}

// Exception "sample": of more homes than a choice may visit, one is drawn from each of as many equal parts. The best of
// a few drawn by chance is nearly as good as the best of all (Mitzenmacher, "The power of two choices").
void Scheduler::look_at_homes(Search& search) {
    const std::size_t most = search.bounded ? most_homes : index_.size();
    const std::size_t listed = std::min(search.wanted, index_.size());
    if (search.bounded && listed > most_homes) {
        const double part = static_cast<double>(listed) / most_homes;
        search.next = listed;
        for (std::size_t i = 0; i < most_homes; ++i)
            weigh_home(search, sink(search, static_cast<std::size_t>((static_cast<double>(i) + chance()) * part)));
        return;
    }
    while (search.next < most && search.looked < search.wanted + further && search.found < search.wanted)
        weigh_home(search, sink(search, search.next++));
}

// The invoker at this place of the shared order; null where it may not be sent anything now.
Invoker* Scheduler::sink(Search& search, std::size_t place) {
    Function& function = search.function;
    const std::size_t held = function.homes.first.size();
    const std::size_t needed = std::max(search.next, place < held ? place + 1 : 2 * (place + 1));
    Invoker* const invoker = index_.find(function.hash, function.homes, needed)[place].invoker;
    if (!usable(search, *invoker)) return nullptr;
    search.usable.push_back(invoker);
    return invoker;
}

bool Scheduler::usable(Search& search, Invoker& invoker) {
    --search.visits_left;
    ++work_.examined;
    const ExclusionReason bar = bar_of(invoker);
    if (bar != ExclusionReason::none && search.found < homes) tell_weighed({&invoker}, bar);
    return bar == ExclusionReason::none;
}

ExclusionReason Scheduler::bar_of(Invoker& invoker) {
    if (!may_send_to(invoker)) return invoker.ready ? ExclusionReason::slow_start_budget : ExclusionReason::not_ready;
    if (doubting_) return ExclusionReason::none;
    if (invoker.error_rate > most_faulty) return ExclusionReason::unhealthy;
    if (invoker.health == HealthState::healthy) return ExclusionReason::none;
    if (invoker.health != HealthState::recovering) return ExclusionReason::unhealthy;
    return static_cast<int>(invoker.in_flight.size()) < invoker.recovery_limit ? ExclusionReason::none
                                                                               : ExclusionReason::recovery_limit;
}

void Scheduler::tell_weighed(const Choice& choice, ExclusionReason bar) {
    if (tell_ == TraceDetail::candidates && weighed_.size() < most_weighed)
        weighed_.push_back({choice.invoker, choice.finish, choice.wait, choice.warm, bar});
}

// One that has no room now counts all the same: else, when memory is short, every function is tried
// at every invoker, and what waits there for room keeps out the rest (quito's big-2 in the small).
void Scheduler::weigh_home(Search& search, Invoker* invoker) {
    if (!invoker) return;
    const bool kept = search.kept && search.found < search.shared;
    search.found += weigh(search, *invoker, search.found ? second_home_bias : 1, kept);
    ++search.looked;
    invoker->scored_in = work_.placements;
}

// False where it can't take this job.
bool Scheduler::weigh(Search& search, Invoker& invoker, double bias, bool kept) {
    const Request& request = search.request;
    Function& function = search.function;
    Choice choice{&invoker};
    choice.warm = kept && !invoker.slow_start_since;
    const CachedFunction* const cached = belief_of(function, invoker);
    ExclusionReason bar = ExclusionReason::none;
    if (!may_hop(request, invoker))
        bar = ExclusionReason::not_retryable;
    else if (invoker.backoff_until > now_ && !doubting_)
        bar = ExclusionReason::recently_rejected;
    else if (invoker.full_until > now_ && !choice.warm && !believed(cached))
        bar = ExclusionReason::no_capacity;
    if (bar != ExclusionReason::none) {
        tell_weighed(choice, bar);
        return false;
    }
    ++work_.scored;
    choice.finish = estimate(function, invoker, cached, choice);
    if (!choice.warm) choice.finish += (bias - 1) * load_time(function);
    if (erred_there(request, invoker)) choice.finish += in_seconds(request.request_class->latency_target);
    tell_weighed(choice, ExclusionReason::none);
    Choice& best = search.best;
    const bool better = !best.invoker || choice.finish < best.finish - search.near;
    if (better) search.ties = 1;
    if (better || (choice.finish < best.finish + search.near && chance() * ++search.ties < 1)) best = choice;
    return true;
}

// Of more than a choice may visit, a run from a place drawn by chance (exception "sample").
void Scheduler::look_at_beliefs(Search& search) {
    CachedFunctionTable& beliefs = search.function.cached_copies;
    const auto first = beliefs.size() > search.visits_left
                           ? static_cast<std::size_t>(chance() * static_cast<double>(beliefs.size()))
                           : 0;
    for (std::size_t i = 0; i < beliefs.size() && search.visits_left > 0; ++i) {
        const CachedFunction& cached = beliefs[(first + i) % beliefs.size()];
        if (cached.expires_at <= now_ || cached.invoker->scored_in == work_.placements) continue;
        if (usable(search, *cached.invoker)) weigh(search, *cached.invoker, 1, false);
    }
}

// Exception "seed": where all of these are crowded, place() may bring a favourite's copy to the next calm
// invoker in the shared order instead of shedding. Not while copies are found pushed out before their
// time, or an invoker has just had no room: then each load pushes out one in use, and the overload keeps
// itself going.
void Scheduler::look_for_calm(Search& search) {
    Choice& best = search.best;
    const double promised = in_seconds(search.request.request_class->latency_target);
    if (!best.invoker || pushed_out_ > seldom || best.wait < seed_wait * promised || room_is_short()) return;
    for (std::size_t i = 0; !best.calm; ++i) {
        while (i == search.usable.size() && search.next < index_.size() && search.visits_left > 0)
            sink(search, search.next++);
        if (i == search.usable.size()) return;
        Choice there;
        estimate(search.function, *search.usable[i], nullptr, there);
        const bool calm = there.wait < seed_calm * promised;
        if (calm && may_hop(search.request, *search.usable[i])) best.calm = search.usable[i];
    }
}

// Whether some invoker that could be sent something has just had no room.
bool Scheduler::room_is_short() {
    return std::any_of(no_room_.begin(), no_room_.end(), [&](Invoker* it) {
        return it->full_until > now_ && it->is_listed && bar_of(*it) == ExclusionReason::none;
    });
}

// Seconds until this invoker would answer a job of the function that is sent now.
double Scheduler::estimate(const Function& function, const Invoker& invoker, const CachedFunction* cached,
                           Choice& choice) const {
    double press = std::max(pace_of(invoker), press_of(invoker) * (crowd_at(invoker) + 1));
    if (invoker.slow_start_since) {
        const double risen =
            std::min(1.0, in_seconds(now_ - *invoker.slow_start_since) / in_seconds(rules_.slow_start_duration));
        press /= std::sqrt(rules_.slow_start_initial_share + (1 - rules_.slow_start_initial_share) * risen);
    }
    const double run = function.run_time_s * press;
    const double load = load_time(function);
    choice.wait = run - function.run_time_s * pace_of(invoker);
    const bool seen = believed(cached);
    choice.warm = choice.warm || seen;
    const int lanes = std::max(1, function.concurrency);
    const int held = cached ? cached->in_flight : 0;
    if (choice.warm && !seen) return run;
    if (seen) {
        const int room = std::max(1, cached->copies) * lanes;
        if (held < room) return run;
        // All lanes taken: behind the others, or on the further copy that the invoker starts by itself. The
        // more copies there are, the more may be started at once.
        const double turn = run * (held - room + 1) / room;
        if (held < room + std::max(1, room / 2)) return run + std::min(copy_share * load, turn);
        choice.full = true;
        return run + turn + run * static_cast<double>(function.parked.size()) / room;
    }
    if (function.loading_on != &invoker) return run + load;
    return run + std::max(0.1 * load, load - in_seconds(now_ - function.load_started_at));
}

double Scheduler::load_time(const Function& function) const {
    if (function.load_time_s > 0) return function.load_time_s;
    return function.declared_load_time ? std::max(in_seconds(*function.declared_load_time), 0.05) : load_;
}

// How many jobs the invoker is thought to hold, those of other controllers included. Of theirs a report tells
// less the older it is; what is left is what its reports used to tell, or the mean of its size. In the short
// while since a report a few of them are taken to have done as this one did.
double Scheduler::crowd_at(const Invoker& invoker) const {
    const double own = static_cast<double>(invoker.in_flight.size());
    double others = crowd_ * invoker.capacity;
    if (invoker.reported_load) {
        const double then = std::max(0.0, *invoker.reported_load - invoker.own_in_flight_at_report);
        const double fresh = std::exp(-in_seconds(now_ - invoker.reported_at) / in_seconds(report_life));
        const double alike = std::min(may_.controller_count - 1, herd);
        others = fresh * (then + alike * (own - invoker.own_in_flight_at_report)) + (1 - fresh) * invoker.baseline_load;
    }
    return own + std::max(0.0, others);
}

// ---------------------------------------------------------------- what happens to a job

Actions Scheduler::submit(Time now, Request& request) {
    enter(now);
    Function& function = *request.function;
    if (run_ == 0) run_ = assumed_part * in_seconds(request.request_class->latency_target);
    meet(function);
    request.received_at = now;
    request.deadline = now + request.remaining;
    request.target_at = std::min(now + request.request_class->latency_target, request.deadline);
    ++function.open_requests;
    if (!request.is_client_retry) probes_left_ = std::min(probes_left_ + probes_a_job_, probes_saved * probes_a_job_);
    level_ = level_ * std::exp(-in_seconds(now - seen_) / level_span_) + 1;
    seen_ = now;
    function.recent_arrivals =
        function.recent_arrivals * std::exp(-in_seconds(now - function.last_arrival) / level_span_) + 1;
    function.last_arrival = now;
    if (rules_.load_budget_window > Time{}) taken_.push_back(now);
    if (request.tenant && request.tenant->quota_per_s > 0) {
        Tenant& tenant = *request.tenant;
        if (tenant.recent_arrivals == 0) shares_ += tenant.quota_per_s;  // met for the first time
        tenant.recent_arrivals =
            tenant.recent_arrivals * std::exp(-in_seconds(now - tenant.last_arrival) / level_span_) + 1;
        tenant.last_arrival = now;
        // Over its share of all jobs as well as by their number: a controller that sees several times the
        // mean of the traffic would take every tenant to be over its share.
        const double part = tenant.recent_arrivals * shares_ / std::max(level_, 1.0);
        const double number = tenant.recent_arrivals / level_span_ * may_.controller_count;
        request.over_quota = std::min(part, number) > over_share * tenant.quota_per_s;
    }
    place(request);
    return done();
}

Actions Scheduler::response_started(Time now, Attempt& attempt) {
    enter(now);
    Request& request = *attempt.request;
    if (!request.is_completed() && request.state != RequestState::streaming)
        turn(request, RequestState::streaming, DecisionReason::response_begun);
    return done();
}

Actions Scheduler::attempt_ended(Time now, Attempt& attempt, AttemptOutcome ending, LoadEvent note,
                                 int concurrent_requests, const LoadReport& report) {
    enter(now);
    Request& request = *attempt.request;
    Function& function = *request.function;
    Invoker& invoker = *attempt.invoker;
    attempt.in_flight = false;
    attempt.outcome = ending;
    std::erase(invoker.in_flight, &attempt);
    moved(invoker, -1);
    recount(invoker);
    if (CachedFunction* cached = belief_of(function, invoker); cached && cached->in_flight > 0)
        if (--cached->in_flight == 0 && cached->expires_at <= now_) functions_.schedule_review(function, now_);
    hear(invoker, report);

    switch (ending) {
        case AttemptOutcome::succeeded:
            blame(attempt);
            learn(attempt, note, concurrent_requests);
            break;
        case AttemptOutcome::rejected:
            answered_well(invoker);
            turned_away(invoker, stood_free(attempt, concurrent_requests));
            break;
        case AttemptOutcome::unreachable:
            mistrust(invoker, true);
            break;
        case AttemptOutcome::connection_lost:
            // A dead process cuts off all that is out there, a bad line or a bad job just its own.
            if (++invoker.consecutive_resets >= cuts_doubted) mistrust(invoker, false);
            break;
        case AttemptOutcome::failed:
        case AttemptOutcome::load_failed:
            if (CachedFunction* cached = belief_of(function, invoker)) set_until(function, *cached, Time{});
            break;
        case AttemptOutcome::timed_out:
        case AttemptOutcome::cancelled:
            // Not answered for longer than expected teaches at least that: else what grows slow, and what
            // loses answers, is known only by the jobs that got through. Guards against invokers that age; it
            // could harm where clients leave early.
            if (attempt.expected_warm && in_seconds(now - attempt.sent_at) > function.run_time_s * ratio_at(attempt))
                learn_ratio(attempt, in_seconds(now - attempt.sent_at));
            // A load that has begun goes on without the job that wanted it.
            if (attempt.starts_load && invoker.health == HealthState::healthy &&
                in_seconds(now - attempt.sent_at) > load_time(function))
                set_until(function, believe(function, invoker), now + may_.keep_alive / 2);
            break;
        case AttemptOutcome::never_sent:
            break;
    }

    if (!request.is_completed()) {
        const bool others =
            std::any_of(request.attempts.begin(), request.attempts.end(), [](const Attempt& h) { return h.in_flight; });
        if (ending == AttemptOutcome::succeeded)
            turn(request, RequestState::succeeded, DecisionReason::response_received);
        else if (request.state == RequestState::streaming)
            turn(request, RequestState::cancelled, DecisionReason::response_truncated);
        else if (others || request.state == RequestState::parked)
            ;  // the other hop, or the function's clock, decides
        else if (now + 2 * may_.clock_resolution >= request.deadline)
            give_up(request, DecisionReason::deadline_exceeded);
        else if (never_ran(ending))
            park(request, DecisionReason::attempt_never_ran);  // step 1: it never ran, so it waits for the next resend
        else if (may_hop(request, invoker))  // where no invoker may take it again, this one may not either
            place(request);                  // it may have run, and may run again
        else
            give_up(request, DecisionReason::may_have_run);
    }
    if (attempt.starts_load && function.loading_on == &invoker) set_loading(function, nullptr);
    // The load is over or a lane is free. What was turned away waits for the next resend.
    if (!never_ran(ending)) release(function);
    return done();
}

Actions Scheduler::preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome ending, int copies) {
    enter(now);
    if (ending == AttemptOutcome::succeeded || copies > 0) {
        CachedFunction& cached = believe(function, invoker);
        set_until(function, cached, now + may_.keep_alive);
        cached.copies = std::max(1, copies);
        cached.peak_in_flight = cached.copies * std::max(1, function.concurrency);
        cached.peak_at = now;
        if (function.loading_on == &invoker && ending == AttemptOutcome::succeeded) {
            const double took = in_seconds(now - function.load_started_at);
            function.load_time_s = function.load_time_s > 0 ? 0.6 * function.load_time_s + 0.4 * took : took;
            load_ += 0.1 * (took - load_);
        }
    }
    if (ending == AttemptOutcome::unreachable) mistrust(invoker, true);
    if (ending == AttemptOutcome::connection_lost) mistrust(invoker, false);
    if (ending == AttemptOutcome::rejected) turned_away(invoker, false);
    if (function.loading_on == &invoker) {
        // Step 3: what could not be loaded is tried again with the next resend, not at once.
        if (ending == AttemptOutcome::succeeded || copies > 0)
            load_over(function);
        else
            set_loading(function, nullptr);
    }
    return done();
}

// Exception "faulty": an invoker that answers most jobs at once with an error looks idle and
// draws more of them (day "reload" on sockets). An error counts against it only once another has
// honoured the same job, so that
// jobs nobody could run blame nobody. It could harm where a job's own fault comes and goes.
void Scheduler::blame(const Attempt& attempt) {
    auto count = [&](Invoker& invoker, double bad) {
        invoker.error_rate += fault_gain * (bad - invoker.error_rate);
        recount(invoker);
    };
    count(*attempt.invoker, 0);
    for (const Attempt& other : attempt.request->attempts)
        if (other.invoker != attempt.invoker && other.outcome == AttemptOutcome::failed) count(*other.invoker, 1);
}

// ---------------------------------------------------------------- learning

// A run's time is taken as the function's time on an idle invoker, times the invoker's pace when idle or its
// press for each job held, whichever is more. Odd runs count as odd_run times the expected at most.
void Scheduler::learn(const Attempt& attempt, LoadEvent note, int concurrent_requests) {
    Function& function = *attempt.request->function;
    Invoker& invoker = *attempt.invoker;
    const double took = in_seconds(now_ - attempt.sent_at);
    ++honoured_lately_;
    answered_well(invoker);

    CachedFunction& cached = believe(function, invoker);
    set_until(function, cached, now_ + may_.keep_alive);
    if (attempt.expected_warm && attempt.own_concurrent == 0)
        pushed_out_ += 0.02 * ((note == LoadEvent::started_load ? 1 : 0) - pushed_out_);
    if (note == LoadEvent::started_load && attempt.expected_warm) ++cached.copies;
    if (note != LoadEvent::started_load &&
        concurrent_requests + 1 > cached.copies * std::max(1, function.concurrency) && took < 0.5 * load_time(function))
        ++cached.copies;  // others' jobs brought it

    if (attempt.sent_at < back_at_) return;
    const double expected = function.run_time_s * ratio_at(attempt);
    if (note == LoadEvent::started_load && !attempt.expected_warm) {
        const double load = std::max(0.02, took - expected);
        function.load_time_s = function.load_time_s > 0 ? 0.6 * function.load_time_s + 0.4 * load : load;
        load_ += 0.1 * (load - load_);
        return;
    }
    if (note != LoadEvent::was_loaded && note != LoadEvent::none) return;
    if (invoker.slow_start_since) return;
    const double counted = std::min(took, odd_run * expected) / ratio_at(attempt);
    const double gain = attempt.estimated_load <= few_jobs ? 0.1 : 0.02;
    learn_ratio(attempt, took);
    function.run_time_s += gain * (counted - function.run_time_s);
    run_ += gain / 5 * (counted - run_);
}

// How many times as long as alone on an average invoker the hop's run was expected to take.
double Scheduler::ratio_at(const Attempt& attempt) const {
    return std::max(pace_of(*attempt.invoker), press_of(*attempt.invoker) * attempt.estimated_load);
}

// With few jobs there a run teaches the pace, else the press, so that neither takes up the other's part: a
// pace learned under a crowd hides the crowd, and nothing is shed (incident i977fe6). A controller that is
// one of many sees too little of one invoker: most is learned of its kind.
void Scheduler::learn_ratio(const Attempt& attempt, double took) {
    Invoker& invoker = *attempt.invoker;
    InvokerType& kind = *invoker.type;
    if (attempt.sent_at < back_at_ || invoker.slow_start_since) return;
    const bool few = attempt.estimated_load <= few_jobs;
    const double relative = std::min(took / attempt.request->function->run_time_s, odd_run * ratio_at(attempt));
    const double off = relative / (few ? pace_of(invoker) : press_of(invoker) * attempt.estimated_load) - 1;
    auto nudge = [off](double& figure, double by, double least, double most) {
        figure = std::clamp(figure * (1 + by * off), least, most);
    };
    const double by =
        std::max(kind_gain, 1.0 / (few_arrivals + (few ? ++kind.slowdown_samples : ++kind.contention_samples)));
    if (attempt.outcome == AttemptOutcome::succeeded)
        nudge(few ? kind.slowdown_factor : kind.contention_factor, by, few ? 0.3 : 0.002, few ? 5.0 : 2.0);
    nudge(few ? invoker.slowdown_factor : invoker.contention_factor, few ? 0.03 : 0.05, 0.2, 5.0);
}

void Scheduler::hear(Invoker& invoker, const LoadReport& report) {
    if (!report.in_flight) return;
    // What waits there, for a lane or a load, presses on no core.
    const bool first = !invoker.reported_load;
    invoker.reported_load = std::max(0.0, *report.in_flight - report.queued.value_or(0));
    invoker.reported_at = now_;
    // A report is old when it comes: what was sent and ended since it was measured is not in it.
    invoker.own_in_flight_at_report = static_cast<int>(invoker.in_flight.size()) - moved(invoker, 0);
    const double others = std::max(0.0, *invoker.reported_load - invoker.own_in_flight_at_report);
    if (first) invoker.baseline_load = crowd_ * invoker.capacity;
    invoker.baseline_load += 0.3 * (others - invoker.baseline_load);
    if (invoker.capacity <= 0) return;
    const double gain = std::max(report_gain, 1.0 / ++reports_);
    told_others_ += gain * (others / invoker.capacity - told_others_);
    told_own_ += gain * (own_crowd_ - told_own_);
}

// How many of others' jobs there are for each own one. By the number of controllers, but where reports tell
// of fewer: one that sees several times the mean of the traffic would take all others for as busy as itself,
// and shed what they have room for (day "calm+mass": a fifth of the controllers refused a quarter of their
// jobs, the rest one in a hundred).
double Scheduler::others_a_job() const {
    if (reports_ < few_reports || told_own_ <= 0) return may_.controller_count - 1;
    return std::min(told_others_ / told_own_, may_.controller_count - 1.0);
}

// Notes what was sent or ended; returns the sum of it over the age of a report.
int Scheduler::moved(Invoker& invoker, int change) {
    if (change) invoker.recent_changes.emplace_back(now_, change);
    invoker.recent_change_sum += change;
    while (!invoker.recent_changes.empty() && invoker.recent_changes.front().first + report_age <= now_) {
        invoker.recent_change_sum -= invoker.recent_changes.front().second;
        invoker.recent_changes.pop_front();
    }
    return invoker.recent_change_sum;
}

void Scheduler::meet(Function& function) {
    if (function.is_registered) return functions_.called_again(function);
    make_room();
    function.is_registered = true;
    function.hash = hash_of(function.name);
    function.run_time_s = run_;
    functions_.add(function);
    functions_.schedule_review(function, now_ + forget_function);
}

// So many functions are held and no more, but for those in use: of names without end, those called but once go first.
void Scheduler::make_room() {
    for (std::size_t i = 0; functions_.size() >= most_functions && i < most_spared; ++i) {
        Function& oldest = *functions_.eviction_candidate(most_called_once);
        const bool out = std::any_of(oldest.cached_copies.begin(), oldest.cached_copies.end(),
                                     [](const CachedFunction& b) { return b.in_flight > 0; });
        if (out || oldest.open_requests > 0 || oldest.loading_on)
            functions_.touch(oldest);
        else
            drop(oldest);
    }
}

// ---------------------------------------------------------------- the fleet and its health

// Functions that wait may have somewhere to go now. Beyond a bound they wait for their next resend (exception "turn").
void Scheduler::list_changed() {
    for (Function* function : functions_.with_parked.members(most_released)) release(*function);
}

// What the list tells of an invoker.
void Scheduler::take_up(Invoker& invoker) {
    const bool back = invoker.is_registered && invoker.started_at && invoker.started_at != invoker.announced_start;
    if (!invoker.is_registered) {
        invoker.is_registered = true;
        invoker.hash = hash_of(invoker.name);
        invoker.slowdown_factor = invoker.contention_factor = 1;
        // Its units, where they hold still, are taken to be cores: one job of as many presses little.
        const double part = may_.stable_capacity ? 1 / std::max(1.0, invoker.capacity) : 1;
        if (invoker.type->slowdown_factor == 0) *invoker.type = {1, std::min(assumed_press, part), 0, 0};
        fleet_.add(invoker);
    }
    if (back) forget(invoker);
    invoker.announced_start = invoker.started_at;
    invoker.is_listed = true;
    index_.put(invoker, invoker.hash, weight_of(invoker));
    fleet_.set_delisted(invoker, false);
    // One seen to have started again later than the list says stays as cold as it was seen to be.
    const bool young = invoker.started_at && now_ - *invoker.started_at < rules_.slow_start_duration;
    if (young && (!invoker.slow_start_since || *invoker.slow_start_since < *invoker.started_at))
        begin_cold(invoker, *invoker.started_at);
    if (invoker.slow_start_since) fleet_.set_slow_start(invoker, *invoker.slow_start_since);
    recount(invoker);
}

// Has the fleet's totals and the sweep's lists follow what has changed of an invoker.
void Scheduler::recount(Invoker& invoker) {
    const HealthState standing = invoker.health;
    const bool bears = standing == HealthState::healthy || standing == HealthState::recovering;
    FleetContribution share;
    share.ready = invoker.is_listed && invoker.ready;
    share.healthy = bears && invoker.error_rate <= most_faulty;
    share.warm = standing == HealthState::healthy && !invoker.slow_start_since;
    share.needs_sweep = !invoker.in_flight.empty() || !bears || invoker.error_rate > 0;
    share.attempts = invoker.in_flight.size();
    share.micro_capacity = std::llround(invoker.capacity * 1e6);
    fleet_.set_contribution(invoker, share, invoker.last_used_at);
}

Actions Scheduler::health_check_ended(Time now, Invoker& invoker, bool answered, const LoadReport& report) {
    enter(now);
    invoker.health_check_pending = false;
    hear(invoker, report);
    if (answered)
        answered_well(invoker);
    else if (invoker.last_response_at <= invoker.health_checked_at && invoker.health_checked_at >= back_at_)
        mistrust(invoker, false);  // else it works: its probes are crowded out
    return done();
}

// Whether it has been silent for longer than its oldest hop was expected to take. Runs of seconds are no sign
// of trouble: asked all the while, each invoker would be probed by every controller without end (days
// "+mass": 3 probes a job, a quarter of all that was earned).
bool Scheduler::overdue(const Invoker& invoker) const {
    if (invoker.in_flight.empty()) return false;
    const Attempt& oldest = *invoker.in_flight.front();
    const Time patience = std::max(quiet_gap, span_of(oldest.request->function->run_time_s * ratio_at(oldest)));
    return now_ - std::max(invoker.last_response_at, oldest.sent_at) > patience;
}

void Scheduler::probe(Invoker& invoker) {
    invoker.health_check_pending = true;
    invoker.health_checked_at = now_;
    results_.to_probe.push_back(&invoker);
}

void Scheduler::answered_well(Invoker& invoker) {
    invoker.last_response_at = now_;
    invoker.consecutive_timeouts = invoker.consecutive_resets = 0;
    ++invoker.consecutive_successes;
    switch (invoker.health) {
        case HealthState::healthy:
            break;
        case HealthState::suspect:
            set_standing(invoker, HealthState::healthy);
            break;
        case HealthState::ejected:
            // Guards against pushing over what has started again before the list says so (incident i4386e0).
            // It could harm where only the line was down: the invoker is used little until warm.
            if (invoker.is_down) begin_cold(invoker, now_);
            invoker.is_down = false;
            if (invoker.consecutive_successes < answers_back) break;
            set_standing(invoker, HealthState::recovering);
            invoker.recovery_limit = first_ease;
            break;
        case HealthState::recovering:
            if (++invoker.recovery_limit >= eased) set_standing(invoker, HealthState::healthy);
            break;
    }
}

// Whether a copy with a lane to spare stood where the hop went, as far as this controller could see.
bool Scheduler::stood_free(const Attempt& attempt, int concurrent_requests) const {
    const CachedFunction* cached = belief_of(*attempt.request->function, *attempt.invoker);
    const int lanes = std::max(1, attempt.request->function->concurrency) * std::max(1, cached ? cached->copies : 1);
    return attempt.observed_warm && std::max(attempt.own_concurrent, concurrent_requests) < lanes;
}

// An invoker that turned a job away is left alone for a moment, and for longer where a copy would need room.
// Against memory that is full and against resends that hammer. Where the job would have begun a load,
// it has no room for loads alone: what stands there is sent on (day "reload": all shunned while
// their cores idled).
void Scheduler::turned_away(Invoker& invoker, bool stood) {
    if (stood) invoker.backoff_until = now_ + shun;
    if (invoker.full_until <= now_) no_room_.push_back(&invoker);
    invoker.full_until = now_ + no_room;
}

// Silence, resets and connections that do not come about, whatever is behind them: first doubted, then set
// aside.
void Scheduler::mistrust(Invoker& invoker, bool certain) {
    invoker.consecutive_successes = 0;
    ++invoker.consecutive_timeouts;
    const bool aside = certain || invoker.consecutive_timeouts >= misses_aside;
    if (!aside && invoker.health != HealthState::ejected) {
        set_standing(invoker, HealthState::suspect);
        if (may_.health_checks && !invoker.health_check_pending) probe(invoker);
    } else if (invoker.health != HealthState::ejected) {
        set_standing(invoker, HealthState::ejected);
        invoker.ejected_at = now_;
    }
    if (certain && !invoker.is_down) {
        invoker.is_down = true;
        forget(invoker);
    }
    if (invoker.health == HealthState::ejected) rescue(invoker);
}

// What is out at an invoker that does not answer goes elsewhere where the rules allow a second hop; where two
// at once are not allowed, its hop is called off first, once the invoker is set aside.
void Scheduler::rescue(Invoker& invoker) {
    if (doubting_) return;
    for (Function* function : functions_.loading.members())
        if (function->loading_on == &invoker) load_over(*function);
    for (Attempt* attempt : std::vector<Attempt*>(invoker.in_flight)) {
        Request& request = *attempt->request;
        if (request.state != RequestState::in_flight || attempt != &request.attempts.back()) continue;
        const Choice choice = choose(request);
        if (choice.invoker && choice.invoker != &invoker)
            start_hop(request, choice, DecisionReason::invoker_unresponsive);
        else if (!may_.hedging && may_.cancellation && request.request_class->idempotency == Idempotency::idempotent)
            results_.to_cancel.push_back(attempt);
    }
}

// A restart, or long silence: nothing stands loaded there any more.
void Scheduler::forget(Invoker& invoker) {
    for (Function* function : invoker.functions) {
        CachedFunction& cached = *belief_of(*function, invoker);
        set_until(*function, cached, Time{});
        cached.copies = 0;
    }
    invoker.reported_load.reset();
}

// The periodic work of an instance: it costs what has happened since, not the size of the fleet.
void Scheduler::sweep() {
    ++sweeps_;
    const FleetTotals totals = fleet_.totals();
    for (Invoker* invoker : fleet_.to_sweep()) review(*invoker);
    if (may_.health_checks) ask_for_reports();
    doubting_ = static_cast<double>(totals.healthy) < doubt_share * static_cast<double>(totals.ready);
    const double units = static_cast<double>(totals.warm_micro_capacity) / 1e6;
    const double seen_units = static_cast<double>(totals.ready_micro_capacity) / 1e6;
    if (units > 0) rate_ += 0.1 * (honoured_lately_ / in_seconds(sweep_period) / units - rate_);
    honoured_lately_ = 0;
    level_span_ = std::clamp(level_jobs * level_span_ / std::max(level_, 1.0), least_span, most_span);
    if (seen_units > 0) {
        own_crowd_ += 0.1 * (static_cast<double>(totals.attempts) / seen_units - own_crowd_);
        crowd_ = own_crowd_ * others_a_job();
    }

    if (may_.preload && may_.memory_price > 0)
        for (Function* function : functions_.replicated.members()) unload_spare(*function);
    std::erase_if(no_room_, [&](const Invoker* invoker) { return invoker->full_until <= now_; });
    release_gone();
    for (Function* function : functions_.take_due_reviews(now_)) review(*function);
}

// Of an invoker that has attempts out, is in doubt or has erred.
void Scheduler::review(Invoker& invoker) {
    if (!invoker.is_listed || !invoker.ready) return;
    const HealthState standing = invoker.health;
    if (invoker.error_rate > 0) {
        invoker.error_rate = invoker.error_rate * fault_fade < no_fault ? 0 : invoker.error_rate * fault_fade;
        recount(invoker);
    }
    if (standing == HealthState::ejected) {
        if (now_ - invoker.ejected_at > copies_gone && !invoker.is_down) {
            invoker.is_down = true;
            forget(invoker);
        }
        if (!may_.health_checks && now_ - invoker.ejected_at > blind_aside) {
            set_standing(invoker, HealthState::recovering);
            invoker.recovery_limit = 1;
        }
    }
    if (!may_.health_checks || invoker.health_check_pending) return;
    const bool ill = standing == HealthState::suspect || standing == HealthState::ejected;
    const bool rested = now_ - invoker.health_checked_at > probe_gap;
    const Time pause = std::clamp(invoker.consecutive_timeouts, 1, rarer) * sweep_period - sweep_slack;
    const bool asked = now_ - invoker.health_checked_at < pause;
    if ((ill && !asked) || (rested && overdue(invoker))) probe(invoker);
}

// Reports only as far as the jobs taken pay for them, and first from those that were used last.
void Scheduler::ask_for_reports() {
    if (probes_left_ < 1) return;
    std::size_t visited = 0;
    fleet_.for_recently_used([&](Invoker& invoker) {
        const bool quiet = now_ - invoker.last_response_at > quiet_gap;
        const bool rested = now_ - invoker.health_checked_at > probe_gap;
        if (!invoker.health_check_pending && rested && (quiet || now_ - invoker.reported_at > probe_gap)) {
            probe(invoker);
            --probes_left_;
        }
        return probes_left_ >= 1 && ++visited < most_swept;
    });
}

// Takes out the beliefs of a function that have lapsed, and the function once it is not in use any more.
void Scheduler::review(Function& function) {
    function.cached_copies.erase_if([&](const CachedFunction& cached) {
        const bool lapsed = cached.in_flight == 0 && cached.expires_at <= now_;
        if (lapsed) std::erase(cached.invoker->functions, &function);
        return lapsed;
    });
    functions_.replicated.set(function, function.cached_copies.size() > 1);
    if (function.open_requests == 0 && function.cached_copies.empty() && !function.loading_on &&
        now_ - function.last_arrival > forget_function)
        return drop(function);
    Time next = std::max(function.last_arrival + forget_function, now_ + Time(1));
    for (const CachedFunction& cached : function.cached_copies)
        if (cached.expires_at > now_) next = std::min(next, cached.expires_at);
    functions_.schedule_review(function, next);
}

// Lets go of invokers that are off the list for good, once no belief, load, probe or unclosed job points
// to them: else a fleet that is replaced all day fills the memory.
void Scheduler::release_gone() {
    std::vector<Invoker*> old = fleet_.delisted();
    std::erase_if(old, [&](const Invoker* it) {
        return now_ - it->delisted_at <= release_invoker || !it->in_flight.empty() || it->health_check_pending;
    });
    if (old.empty()) return;
    mark_named();
    for (Invoker* invoker : old)
        if (invoker->referenced_in != sweeps_) let_go(*invoker);
}

// Where idle memory has a price: a function that stands at several invokers gives up those where it idles,
// but for the first in the shared order, which other controllers keep to as well.
void Scheduler::unload_spare(Function& function) {
    CachedFunction* kept = nullptr;
    const auto rank = [&](const CachedFunction& cached) {
        return placement_rank(function.hash, cached.invoker->hash, weight_of(*cached.invoker));
    };
    for (CachedFunction& cached : function.cached_copies)
        if (believed(&cached) && (!kept || rank(cached) < rank(*kept))) kept = &cached;
    for (CachedFunction& cached : function.cached_copies) {
        if (!believed(&cached) || &cached == kept || cached.in_flight > 0 || !may_send_to(*cached.invoker)) continue;
        if (cached.expires_at - may_.keep_alive + idle_spare * std::max(1, may_.controller_count) > now_) continue;
        results_.to_preload.push_back({&function, cached.invoker, 0});
        set_until(function, cached, Time{});
        cached.copies = 0;
    }
}

// By which it is placed in the order that all controllers share.
double Scheduler::weight_of(const Invoker& invoker) const {
    return may_.stable_capacity && invoker.capacity > 0 ? invoker.capacity : 1;
}

// ---------------------------------------------------------------- time

// Called first with whatever happens. A sweep long overdue shows that this controller itself stood still:
// what was out meanwhile looks slow and says nothing of the invokers (incident i544b59).
void Scheduler::enter(Time now) {
    now_ = now;
    if (sweep_at_ != Time{} && now > sweep_at_ + own_stall) back_at_ = now;
}

Actions Scheduler::wake(Time now) {
    enter(now);
    // Exception "turn": what is left goes on at the next call, which is due at once.
    for (std::size_t done = 0; done < most_due && !due_.empty() && due_.begin()->first.first <= now; ++done) {
        const Due due = due_.begin()->second;
        if (due.request) {
            give_up(*due.request, DecisionReason::deadline_exceeded);  // its time is up
            continue;
        }
        Function& function = *due.function;
        if (now >= function.parking_since + park_budget) {
            set_ticking(function, false);
            drop_due(function.timer);
            for (Request* request : std::vector<Request*>(function.parked))
                give_up(*request, DecisionReason::parking_budget_exceeded);  // step 4
            continue;
        }
        function.backoff = span_of(in_seconds(function.backoff) * delay_growth);
        function.retry_at = now + span_of(in_seconds(function.backoff) * (1 + delay_jitter * (2 * chance() - 1)));
        clock_due(function);
        release(function);
    }
    return done();
}

Actions Scheduler::done() {
    if (sweep_at_ == Time{}) {
        sweep_at_ = now_ + span_of(in_seconds(sweep_period) * (0.5 + chance()));
        results_.subscribe_endpoints = may_.subscribes_endpoints;
    }
    if (now_ >= sweep_at_) {
        sweep_at_ = now_ + sweep_period;
        sweep();
    }
    weighed_.clear();
    results_.next_wake = due_.empty() ? sweep_at_ : std::min(sweep_at_, due_.begin()->first.first);
    return std::exchange(results_, {});
}

}  // namespace plumkeel
