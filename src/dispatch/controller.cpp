// The decisions of plumkeel: where a job goes, how long it waits, when it is given up.
//
// How it is invoked: the host makes one Controller (controller.hpp, the interface) for each controller, tells
// it what happens, a call for each happening, and carries out the Results that every call returns. The host
// calls wake() at or after Results::next_wake. The module does no input or output and reads no clock.
//
// Where to start: place() is the ordinary path of a job, from top to bottom. The design it follows, and every
// exception to it, is in docs/design.md.
#include "dispatch/controller.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

#include "dispatch/hash.hpp"

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

bool never_ran(Ending e) {
    return e == Ending::turned_away || e == Ending::unreachable || e == Ending::never_sent || e == Ending::not_loaded;
}

}  // namespace

Controller::Controller(std::uint64_t seed, Rulebook rules, Allowances may)
    : rules_(rules), may_(std::move(may)), dice_(mix(seed + 0x9e3779b97f4a7c15ULL)) {
    probes_a_job_ = probes_a_job;
    if (may_.probe_price > 0) probes_a_job_ = std::min(probes_a_job, probes_worth / may_.probe_price);
    probes_left_ = probes_saved * probes_a_job_;
    level_span_ = least_span;
    load_ = assumed_load;
}

// ---------------------------------------------------------------- the ordinary path of a job

// Steps 1 to 5 of the design. Called when the job arrives, when a wait of its function ends, and when its hop
// ended without an answer and it may go on.
void Controller::place(Job& job) {
    Function& function = *job.function;
    if (static_cast<int>(job.hops.size()) >= may_.hops) return give_up(job, Why::hops_used);
    expect_load(function);
    const double left = in_seconds(job.promised - now_);
    Choice best = choose(job);
    Why why = Why::best_invoker;

    // No invoker may be sent anything now: wait on the function's clock.
    if (!best.invoker) return park(job, Why::none_usable);

    // Exception "shed": where it would answer too late only for the jobs ahead of it, it would make those
    // behind it late as well. Guards against overload, a tenant over its share and retry storms; it could
    // harm where run times are overestimated. A fresh job parks for one delay first, as the design has it,
    // but not a repeat of a client that gives up before the promised time: its job mostly did not fit in that
    // time before. Where a calm invoker is left, a favourite brings a copy there instead (exception "seed").
    const bool hasty = job.again && job.time_left < job.use_case->promised;
    const double part = hasty ? shed_wait_hasty : job.over_share ? shed_wait_over_share : shed_wait;
    const double patience = part * in_seconds(job.promised - job.taken);
    if (best.wait > patience && best.finish > shed_finish * left && may_bounce(job)) {
        if (!hasty && job.state == JobState::fresh && parked_ < park_limit) return park(job, Why::crowded);
        const double ready = load_time(function) - in_seconds(now_ - function.loading_since);
        if (function.loading && ready + function.run > left) return give_up(job, Why::crowded);
        if (!function.loading && (!best.calm || function.level < favourite)) return give_up(job, Why::crowded);
        if (!function.loading) best = Choice{best.calm}, why = Why::calm_copy;
    }

    // Step 2: one load a function at a time. While it is out and no warm copy answers in time, jobs wait for
    // it. Where a copy's lanes are all taken, more jobs there would only start more copies: they wait for a
    // lane.
    const bool wait = best.full || (function.loading && (!best.warm || best.finish > left));
    if (wait && parked_ < park_limit) return park(job, best.full ? Why::lanes_taken : Why::load_out);

    if (!best.warm && may_.order_copies && !function.loading && may_order()) {
        set_loading(function, best.invoker);
        function.load_ordered = true;
        results_.ordered.push_back({&function, best.invoker, 1});
        return park(job, Why::load_ordered);
    }
    if (!best.warm && !may_.loads_on_demand) return park(job, Why::loads_rationed);
    start_hop(job, best, why);
}

// Holds the job at the controller. All parked jobs of a function share the clock that the first one started.
void Controller::park(Job& job, Why why) {
    Function& function = *job.function;
    if (parked_ >= park_limit && job.state != JobState::parked) return give_up(job, Why::park_full);
    turn(job, JobState::parked, why);
    if (!function.ticking) {
        set_ticking(function, true);
        function.clock = now_;
        function.delay = first_delay;
        function.resend = now_ + function.delay;
    }
    if (function.loading && !function.load_ordered) {
        const Time ends = function.loading_since + span_of(join_share * load_time(function));
        if (ends > now_) function.resend = std::min(function.resend, ends);
    }
    clock_due(function);
}

void Controller::clock_due(Function& function) {
    set_due(function.due, std::min(function.resend, function.clock + park_budget), {nullptr, &function});
}

// Sends on what is parked, oldest first; place() parks again what still has to wait.
void Controller::release(Function& function) {
    const std::vector<Job*> waiting = function.parked;
    for (Job* job : waiting)
        if (job->state == JobState::parked) place(*job);
    if (function.parked.empty()) {
        set_ticking(function, false);
        drop_due(function.due);
    }
}

// Where no order tells its end, a load counts as answered once its learned time has passed: its own answer
// comes only behind the first job's run. (Exception "join"; harm: jobs wait at the invoker where the load is
// slow.)
void Controller::expect_load(Function& function) {
    if (!function.loading || function.load_ordered) return;
    if (now_ - function.loading_since < span_of(join_share * load_time(function))) return;
    set_until(function, believe(function, *function.loading), now_ + may_.keep_alive);
    set_loading(function, nullptr);
}

void Controller::load_over(Function& function) {
    set_loading(function, nullptr);
    release(function);
}

// The job's final answer, at once, since nothing more is done for it.
void Controller::give_up(Job& job, Why why) {
    if (!may_bounce(job)) return turn(job, JobState::written_off, why);
    if (may_.retry_after) {
        // Late already: a further try could earn little, so it is asked to stay away for long.
        const Time pause = now_ >= job.promised ? may_.longest_retry_after : span_of(0.3 + 0.4 * chance());
        job.retry_after = std::min(pause, may_.longest_retry_after);
    }
    turn(job, JobState::bounced, why);
}

void Controller::start_hop(Job& job, const Choice& choice, Why why) {
    Function& function = *job.function;
    Invoker& invoker = *choice.invoker;
    Belief& belief = believe(function, invoker);
    Hop& hop = job.hops.emplace_back();
    hop.job = &job;
    hop.invoker = &invoker;
    hop.number = static_cast<int>(job.hops.size()) - 1;
    hop.sent = now_;
    hop.limit = job.expires - now_;
    hop.out = true;
    hop.expected_warm = choice.warm;
    hop.seen_warm = believed(&belief);
    hop.beside = belief.out;
    hop.crowd = crowd_at(invoker) + 1;
    if (!choice.warm && !function.loading) {
        hop.loads = true;
        set_loading(function, &invoker);
        function.load_ordered = false;
    }
    if (++belief.out >= belief.peak || now_ - belief.peaked > may_.keep_alive) {
        belief.peak = belief.out;
        belief.peaked = now_;
    }
    const int lanes = std::max(1, function.lanes);
    belief.copies = std::max(1, std::min(belief.copies, (belief.peak + lanes - 1) / lanes));
    invoker.out.push_back(&hop);
    invoker.used = now_;
    moved(invoker, 1);
    recount(invoker);
    if (invoker.cold_since) invoker.cold_hops.push_back(now_);
    results_.started.push_back(&hop);
    turn(job, JobState::hopping, why, &hop);
}

// The only place where a job changes state.
void Controller::turn(Job& job, JobState to, Why why, Hop* started) {
    assert(!job.answered());
    Function& function = *job.function;
    const JobState from = job.state;
    const bool stays = from == JobState::parked && to == from && job.why == why;
    job.state = to;
    job.why = why;
    if (tell_ != Tell::nothing && !stays) results_.turned.push_back({&job, to, why, started, weighed_});
    weighed_.clear();
    if (from == JobState::parked && to != JobState::parked) {
        std::erase(function.parked, &job);
        --parked_;
    }
    switch (to) {
        case JobState::fresh:
            break;
        case JobState::parked:
            if (from != JobState::parked) {
                function.parked.push_back(&job);
                ++parked_;
            }
            // Parked for as long as a run still fits before its expiry.
            set_due(job.due, job.expires - 2 * may_.tick - span_of(function.run * 0.7), {&job, nullptr});
            break;
        case JobState::hopping:
            set_due(job.due, job.expires - 2 * may_.tick, {&job, nullptr});
            break;
        case JobState::streaming:
            drop_due(job.due);
            break;
        case JobState::bounced:
        case JobState::written_off:
            results_.answered.push_back(&job);
            [[fallthrough]];
        case JobState::honoured:
        case JobState::abandoned:
            drop_due(job.due);
            --function.jobs;
            for (Hop& hop : job.hops)
                if (hop.out && may_.call_off) results_.called_off.push_back(&hop);
            break;
    }
}

// ---------------------------------------------------------------- the guards of the rules

// Rule 2, and the hop limit: may the job be sent (again) to this invoker?
bool Controller::may_hop(const Job& job, const Invoker& invoker) const {
    if (job.answered() || static_cast<int>(job.hops.size()) >= may_.hops || now_ >= job.expires) return false;
    for (const Hop& hop : job.hops) {
        if (!hop.out && never_ran(*hop.ending)) continue;
        if (hop.out && !may_.second_copies) return false;
        const UseCase& use = *job.use_case;
        if (use.repeat == Repeat::replayable) continue;
        if (use.repeat == Repeat::single_use) return false;
        if (now_ + 2 * may_.tick >= hop.sent + use.remembered) return false;
        if (use.reach == Reach::zone && hop.invoker->zone != invoker.zone) return false;
        if (use.reach == Reach::cell && hop.invoker->cell != invoker.cell) return false;
    }
    return true;
}

// Rule 2: may the client be told that a further try is harmless?
bool Controller::may_bounce(const Job& job) const {
    const UseCase& use = *job.use_case;
    if (use.repeat == Repeat::replayable) return true;
    for (const Hop& hop : job.hops) {
        if (!hop.out && never_ran(*hop.ending)) continue;
        if (use.repeat == Repeat::single_use || use.reach != Reach::everywhere) return false;
        if (now_ + 2 * may_.tick >= hop.sent + use.remembered) return false;
    }
    return true;
}

// Rules 3 and 4: may this invoker be sent anything new? A cold one has a budget in any window of the stated
// length: the stated multiple of what it can do, which is taken to rise evenly from the cold share over the
// whole stated time, of what warm invokers of its size are seen to do for this controller. What each
// controller sees is its own part of the traffic, so all budgets together stay under the whole one. Of many
// controllers each has less than one hop a window; a draw at each start decides who has one all the same.
bool Controller::may_send_to(Invoker& invoker) {
    if (!invoker.listed || !invoker.ready) return false;
    if (!invoker.cold_since) return true;
    const Time age = now_ - *invoker.cold_since;
    if (age >= rules_.cold_for + rules_.push_span) {
        end_cold(invoker);
        return true;
    }
    while (!invoker.cold_hops.empty() && invoker.cold_hops.front() + rules_.push_span < now_)
        invoker.cold_hops.pop_front();
    const double risen = in_seconds(std::max(Time{}, age - rules_.push_span)) / in_seconds(rules_.cold_for);
    const double share = std::min(1.0, rules_.cold_share + (1 - rules_.cold_share) * risen);
    const double budget =
        cold_margin * rules_.push_multiple * share * rate_ * invoker.units * in_seconds(rules_.push_span);
    return static_cast<double>(invoker.cold_hops.size()) + 1 <= budget + invoker.cold_draw;
}

void Controller::begin_cold(Invoker& invoker, Time since) {
    if (!invoker.cold_since) {
        invoker.cold_hops.clear();
        invoker.cold_draw = chance();
    }
    invoker.cold_since = since;
    fleet_.set_cold(invoker, since);
    recount(invoker);
}

// Those whose cold start is over. One that takes no jobs stays as it is until the list tells of it again.
void Controller::end_cold_starts() {
    const Time since = now_ - rules_.cold_for - rules_.push_span;
    while (Invoker* const invoker = fleet_.coldest_first(since)) {
        if (invoker->listed && invoker->ready)
            end_cold(*invoker);
        else
            fleet_.set_warm(*invoker);
    }
}

// Rule 5: may copies be ordered now? Counts the order when it says yes.
bool Controller::may_order() {
    if (rules_.load_span > Time{}) {
        while (!orders_.empty() && orders_.front() + rules_.load_span < now_) orders_.pop_front();
        while (!taken_.empty() && taken_.front() + rules_.load_span <= now_) taken_.pop_front();
        const double limit = rules_.free_loads + rules_.loads_per_job * static_cast<double>(taken_.size());
        if (static_cast<double>(orders_.size()) + 1 > limit) return false;
        orders_.push_back(now_);
    }
    return true;
}

// ---------------------------------------------------------------- the pick

Controller::Choice Controller::choose(Job& job) {
    end_cold_starts();
    weighed_.clear();
    ++work_.choices;
    Search search = start_search(job);
    look_at_homes(search);
    look_at_beliefs(search);
    look_for_calm(search);
    return search.best;
}

// Exception "homes": as many as the function's part of all jobs asks of the fleet. Where all controllers
// together send a home some jobs in each keep-alive, it is taken to hold the function. A controller that
// has just started can't tell a favourite yet: all of them would try the first home.
Controller::Search Controller::start_search(Job& job) const {
    Search search{job, *job.function};
    const double seen = std::max(level_ < few_arrivals ? unseen : 0.0, search.function.level - 1);
    const double part = seen / std::max(level_, few_arrivals);
    const double asked = part * home_room * static_cast<double>(fleet_.size());
    search.shared = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(asked)));
    search.wanted = std::max(homes, search.shared);
    const double others = seen / level_span_ * (may_.controllers - 1);
    search.kept = others * in_seconds(may_.keep_alive) > shared_jobs * static_cast<double>(search.shared);
    // The more controllers choose on the same reports, the wider a tie: else all take the same invoker.
    search.near = std::max(tie, herd_tie * search.function.run * (1 - 1.0 / std::max(1, may_.controllers)));
    search.bounded = index_.size() > most_visited;
    search.visits_left = search.bounded ? most_visited : std::numeric_limits<std::size_t>::max();
    return search;
}

// Exception "sample": of more homes than a choice may visit, one is drawn from each of as many equal parts. The best of
// a few drawn by chance is nearly as good as the best of all (Mitzenmacher, "The power of two choices").
void Controller::look_at_homes(Search& search) {
    const std::size_t most = search.bounded ? most_homes : index_.size();
    const std::size_t listed = std::min(search.wanted, index_.size());
    if (search.bounded && listed > most_homes) {
        const double part = static_cast<double>(listed) / most_homes;
        search.next = listed;
        for (std::size_t i = 0; i < most_homes; ++i)
            weigh_home(search, visit(search, static_cast<std::size_t>((static_cast<double>(i) + chance()) * part)));
        return;
    }
    while (search.next < most && search.looked < search.wanted + further && search.found < search.wanted)
        weigh_home(search, visit(search, search.next++));
}

// The invoker at this place of the shared order; null where it may not be sent anything now.
Invoker* Controller::visit(Search& search, std::size_t place) {
    Function& function = search.function;
    const std::size_t held = function.homes.first.size();
    const std::size_t needed = std::max(search.next, place < held ? place + 1 : 2 * (place + 1));
    Invoker* const invoker = index_.find(function.print, function.homes, needed)[place].invoker;
    if (!usable(search, *invoker)) return nullptr;
    search.usable.push_back(invoker);
    return invoker;
}

bool Controller::usable(Search& search, Invoker& invoker) {
    --search.visits_left;
    ++work_.visited;
    const Bar bar = bar_of(invoker);
    if (bar != Bar::none && search.found < homes) tell_weighed({&invoker}, bar);
    return bar == Bar::none;
}

Bar Controller::bar_of(Invoker& invoker) {
    if (!may_send_to(invoker)) return invoker.ready ? Bar::cold_budget : Bar::not_ready;
    if (doubting_) return Bar::none;
    if (invoker.faulty > most_faulty) return Bar::doubted;
    if (invoker.standing == Standing::trusted) return Bar::none;
    if (invoker.standing != Standing::easing) return Bar::doubted;
    return static_cast<int>(invoker.out.size()) < invoker.easy ? Bar::none : Bar::eased;
}

void Controller::tell_weighed(const Choice& choice, Bar bar) {
    if (tell_ == Tell::weighed && weighed_.size() < most_weighed)
        weighed_.push_back({choice.invoker, choice.finish, choice.wait, choice.warm, bar});
}

// One that has no room now counts all the same: else, when memory is short, every function is tried
// at every invoker, and what waits there for room keeps out the rest (quito's big-2 in the small).
void Controller::weigh_home(Search& search, Invoker* invoker) {
    if (!invoker) return;
    const bool kept = search.kept && search.found < search.shared;
    search.found += weigh(search, *invoker, search.found ? second_home_bias : 1, kept);
    ++search.looked;
    invoker->weighed_in = work_.choices;
}

// False where it can't take this job.
bool Controller::weigh(Search& search, Invoker& invoker, double bias, bool kept) {
    const Job& job = search.job;
    Function& function = search.function;
    Choice choice{&invoker};
    choice.warm = kept && !invoker.cold_since;
    const Belief* const belief = belief_of(function, invoker);
    Bar bar = Bar::none;
    if (!may_hop(job, invoker))
        bar = Bar::may_not_repeat;
    else if (invoker.shun_until > now_ && !doubting_)
        bar = Bar::turned_away;
    else if (invoker.no_room_until > now_ && !choice.warm && !believed(belief))
        bar = Bar::no_room;
    if (bar != Bar::none) {
        tell_weighed(choice, bar);
        return false;
    }
    ++work_.weighed;
    choice.finish = estimate(function, invoker, belief, choice);
    if (!choice.warm) choice.finish += (bias - 1) * load_time(function);
    if (erred_there(job, invoker)) choice.finish += in_seconds(job.use_case->promised);
    tell_weighed(choice, Bar::none);
    Choice& best = search.best;
    const bool better = !best.invoker || choice.finish < best.finish - search.near;
    if (better) search.ties = 1;
    if (better || (choice.finish < best.finish + search.near && chance() * ++search.ties < 1)) best = choice;
    return true;
}

// Of more than a choice may visit, a run from a place drawn by chance (exception "sample").
void Controller::look_at_beliefs(Search& search) {
    BeliefTable& beliefs = search.function.beliefs;
    const auto first = beliefs.size() > search.visits_left
                           ? static_cast<std::size_t>(chance() * static_cast<double>(beliefs.size()))
                           : 0;
    for (std::size_t i = 0; i < beliefs.size() && search.visits_left > 0; ++i) {
        const Belief& belief = beliefs[(first + i) % beliefs.size()];
        if (belief.until <= now_ || belief.invoker->weighed_in == work_.choices) continue;
        if (usable(search, *belief.invoker)) weigh(search, *belief.invoker, 1, false);
    }
}

// Exception "seed": where all of these are crowded, place() may bring a favourite's copy to the next calm
// invoker in the shared order instead of shedding. Not while copies are found pushed out before their
// time, or an invoker has just had no room: then each load pushes out one in use, and the overload keeps
// itself going.
void Controller::look_for_calm(Search& search) {
    Choice& best = search.best;
    const double promised = in_seconds(search.job.use_case->promised);
    if (!best.invoker || pushed_out_ > seldom || best.wait < seed_wait * promised || room_is_short()) return;
    for (std::size_t i = 0; !best.calm; ++i) {
        while (i == search.usable.size() && search.next < index_.size() && search.visits_left > 0)
            visit(search, search.next++);
        if (i == search.usable.size()) return;
        Choice there;
        estimate(search.function, *search.usable[i], nullptr, there);
        const bool calm = there.wait < seed_calm * promised;
        if (calm && may_hop(search.job, *search.usable[i])) best.calm = search.usable[i];
    }
}

// Whether some invoker that could be sent something has just had no room.
bool Controller::room_is_short() {
    return std::any_of(no_room_.begin(), no_room_.end(),
                       [&](Invoker* it) { return it->no_room_until > now_ && it->listed && bar_of(*it) == Bar::none; });
}

// Seconds until this invoker would answer a job of the function that is sent now.
double Controller::estimate(const Function& function, const Invoker& invoker, const Belief* belief,
                            Choice& choice) const {
    double press = std::max(pace_of(invoker), press_of(invoker) * (crowd_at(invoker) + 1));
    if (invoker.cold_since) {
        const double risen = std::min(1.0, in_seconds(now_ - *invoker.cold_since) / in_seconds(rules_.cold_for));
        press /= std::sqrt(rules_.cold_share + (1 - rules_.cold_share) * risen);
    }
    const double run = function.run * press;
    const double load = load_time(function);
    choice.wait = run - function.run * pace_of(invoker);
    const bool seen = believed(belief);
    choice.warm = choice.warm || seen;
    const int lanes = std::max(1, function.lanes);
    const int held = belief ? belief->out : 0;
    if (choice.warm && !seen) return run;
    if (seen) {
        const int room = std::max(1, belief->copies) * lanes;
        if (held < room) return run;
        // All lanes taken: behind the others, or on the further copy that the invoker starts by itself. The
        // more copies there are, the more may be started at once.
        const double turn = run * (held - room + 1) / room;
        if (held < room + std::max(1, room / 2)) return run + std::min(copy_share * load, turn);
        choice.full = true;
        return run + turn + run * static_cast<double>(function.parked.size()) / room;
    }
    if (function.loading != &invoker) return run + load;
    return run + std::max(0.1 * load, load - in_seconds(now_ - function.loading_since));
}

double Controller::load_time(const Function& function) const {
    if (function.load > 0) return function.load;
    return function.told_load ? std::max(in_seconds(*function.told_load), 0.05) : load_;
}

// How many jobs the invoker is thought to hold, those of other controllers included. Of theirs a report tells
// less the older it is; what is left is what its reports used to tell, or the mean of its size. In the short
// while since a report a few of them are taken to have done as this one did.
double Controller::crowd_at(const Invoker& invoker) const {
    const double own = static_cast<double>(invoker.out.size());
    double others = crowd_ * invoker.units;
    if (invoker.held) {
        const double then = std::max(0.0, *invoker.held - invoker.out_then);
        const double fresh = std::exp(-in_seconds(now_ - invoker.held_at) / in_seconds(report_life));
        const double alike = std::min(may_.controllers - 1, herd);
        others = fresh * (then + alike * (own - invoker.out_then)) + (1 - fresh) * invoker.usual;
    }
    return own + std::max(0.0, others);
}

// ---------------------------------------------------------------- what happens to a job

Results Controller::take(Time now, Job& job) {
    enter(now);
    Function& function = *job.function;
    if (run_ == 0) run_ = assumed_part * in_seconds(job.use_case->promised);
    meet(function);
    job.taken = now;
    job.expires = now + job.time_left;
    job.promised = std::min(now + job.use_case->promised, job.expires);
    ++function.jobs;
    if (!job.again) probes_left_ = std::min(probes_left_ + probes_a_job_, probes_saved * probes_a_job_);
    level_ = level_ * std::exp(-in_seconds(now - seen_) / level_span_) + 1;
    seen_ = now;
    function.level = function.level * std::exp(-in_seconds(now - function.seen) / level_span_) + 1;
    function.seen = now;
    if (rules_.load_span > Time{}) taken_.push_back(now);
    if (job.tenant && job.tenant->share_per_s > 0) {
        Tenant& tenant = *job.tenant;
        if (tenant.level == 0) shares_ += tenant.share_per_s;  // met for the first time
        tenant.level = tenant.level * std::exp(-in_seconds(now - tenant.seen) / level_span_) + 1;
        tenant.seen = now;
        // Over its share of all jobs as well as by their number: a controller that sees several times the
        // mean of the traffic would take every tenant to be over its share.
        const double part = tenant.level * shares_ / std::max(level_, 1.0);
        const double number = tenant.level / level_span_ * may_.controllers;
        job.over_share = std::min(part, number) > over_share * tenant.share_per_s;
    }
    place(job);
    return done();
}

Results Controller::hop_accepted(Time now, Hop& hop) {
    enter(now);
    Job& job = *hop.job;
    if (!job.answered() && job.state != JobState::streaming) turn(job, JobState::streaming, Why::answer_begun);
    return done();
}

Results Controller::hop_ended(Time now, Hop& hop, Ending ending, Note note, int company, const Report& report) {
    enter(now);
    Job& job = *hop.job;
    Function& function = *job.function;
    Invoker& invoker = *hop.invoker;
    hop.out = false;
    hop.ending = ending;
    std::erase(invoker.out, &hop);
    moved(invoker, -1);
    recount(invoker);
    if (Belief* belief = belief_of(function, invoker); belief && belief->out > 0)
        if (--belief->out == 0 && belief->until <= now_) functions_.check(function, now_);
    hear(invoker, report);

    switch (ending) {
        case Ending::honoured:
            blame(hop);
            learn(hop, note, company);
            break;
        case Ending::turned_away:
            answered_well(invoker);
            turned_away(invoker, stood_free(hop, company));
            break;
        case Ending::unreachable:
            mistrust(invoker, true);
            break;
        case Ending::cut_off:
            // A dead process cuts off all that is out there, a bad line or a bad job just its own.
            if (++invoker.cuts >= cuts_doubted) mistrust(invoker, false);
            break;
        case Ending::errored:
        case Ending::not_loaded:
            if (Belief* belief = belief_of(function, invoker)) set_until(function, *belief, Time{});
            break;
        case Ending::overdue:
        case Ending::called_off:
            // Not answered for longer than expected teaches at least that: else what grows slow, and what
            // loses answers, is known only by the jobs that got through. Guards against invokers that age; it
            // could harm where clients leave early.
            if (hop.expected_warm && in_seconds(now - hop.sent) > function.run * ratio_at(hop))
                learn_ratio(hop, in_seconds(now - hop.sent));
            // A load that has begun goes on without the job that wanted it.
            if (hop.loads && invoker.standing == Standing::trusted && in_seconds(now - hop.sent) > load_time(function))
                set_until(function, believe(function, invoker), now + may_.keep_alive / 2);
            break;
        case Ending::never_sent:
            break;
    }

    if (!job.answered()) {
        const bool others = std::any_of(job.hops.begin(), job.hops.end(), [](const Hop& h) { return h.out; });
        if (ending == Ending::honoured)
            turn(job, JobState::honoured, Why::answer_came);
        else if (job.state == JobState::streaming)
            turn(job, JobState::abandoned, Why::answer_cut);
        else if (others || job.state == JobState::parked)
            ;  // the other hop, or the function's clock, decides
        else if (now + 2 * may_.tick >= job.expires)
            give_up(job, Why::time_up);
        else if (never_ran(ending))
            park(job, Why::never_ran);   // step 1: it never ran, so it waits for the next resend
        else if (may_hop(job, invoker))  // where no invoker may take it again, this one may not either
            place(job);                  // it may have run, and may run again
        else
            give_up(job, Why::may_have_run);
    }
    if (hop.loads && function.loading == &invoker) set_loading(function, nullptr);
    // The load is over or a lane is free. What was turned away waits for the next resend.
    if (!never_ran(ending)) release(function);
    return done();
}

Results Controller::load_answered(Time now, Function& function, Invoker& invoker, Ending ending, int copies) {
    enter(now);
    if (ending == Ending::honoured || copies > 0) {
        Belief& belief = believe(function, invoker);
        set_until(function, belief, now + may_.keep_alive);
        belief.copies = std::max(1, copies);
        belief.peak = belief.copies * std::max(1, function.lanes);
        belief.peaked = now;
        if (function.loading == &invoker && ending == Ending::honoured) {
            const double took = in_seconds(now - function.loading_since);
            function.load = function.load > 0 ? 0.6 * function.load + 0.4 * took : took;
            load_ += 0.1 * (took - load_);
        }
    }
    if (ending == Ending::unreachable) mistrust(invoker, true);
    if (ending == Ending::cut_off) mistrust(invoker, false);
    if (ending == Ending::turned_away) turned_away(invoker, false);
    if (function.loading == &invoker) {
        // Step 3: what could not be loaded is tried again with the next resend, not at once.
        if (ending == Ending::honoured || copies > 0)
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
void Controller::blame(const Hop& hop) {
    auto count = [&](Invoker& invoker, double bad) {
        invoker.faulty += fault_gain * (bad - invoker.faulty);
        recount(invoker);
    };
    count(*hop.invoker, 0);
    for (const Hop& other : hop.job->hops)
        if (other.invoker != hop.invoker && other.ending == Ending::errored) count(*other.invoker, 1);
}

// ---------------------------------------------------------------- learning

// A run's time is taken as the function's time on an idle invoker, times the invoker's pace when idle or its
// press for each job held, whichever is more. Odd runs count as odd_run times the expected at most.
void Controller::learn(const Hop& hop, Note note, int company) {
    Function& function = *hop.job->function;
    Invoker& invoker = *hop.invoker;
    const double took = in_seconds(now_ - hop.sent);
    ++honoured_lately_;
    answered_well(invoker);

    Belief& belief = believe(function, invoker);
    set_until(function, belief, now_ + may_.keep_alive);
    if (hop.expected_warm && hop.beside == 0) pushed_out_ += 0.02 * ((note == Note::began_load ? 1 : 0) - pushed_out_);
    if (note == Note::began_load && hop.expected_warm) ++belief.copies;
    if (note != Note::began_load && company + 1 > belief.copies * std::max(1, function.lanes) &&
        took < 0.5 * load_time(function))
        ++belief.copies;  // others' jobs brought it

    if (hop.sent < back_at_) return;
    const double expected = function.run * ratio_at(hop);
    if (note == Note::began_load && !hop.expected_warm) {
        const double load = std::max(0.02, took - expected);
        function.load = function.load > 0 ? 0.6 * function.load + 0.4 * load : load;
        load_ += 0.1 * (load - load_);
        return;
    }
    if (note != Note::stood_loaded && note != Note::none) return;
    if (invoker.cold_since) return;
    const double counted = std::min(took, odd_run * expected) / ratio_at(hop);
    const double gain = hop.crowd <= few_jobs ? 0.1 : 0.02;
    learn_ratio(hop, took);
    function.run += gain * (counted - function.run);
    run_ += gain / 5 * (counted - run_);
}

// How many times as long as alone on an average invoker the hop's run was expected to take.
double Controller::ratio_at(const Hop& hop) const {
    return std::max(pace_of(*hop.invoker), press_of(*hop.invoker) * hop.crowd);
}

// With few jobs there a run teaches the pace, else the press, so that neither takes up the other's part: a
// pace learned under a crowd hides the crowd, and nothing is shed (incident i977fe6). A controller that is
// one of many sees too little of one invoker: most is learned of its kind.
void Controller::learn_ratio(const Hop& hop, double took) {
    Invoker& invoker = *hop.invoker;
    Kind& kind = *invoker.kind;
    if (hop.sent < back_at_ || invoker.cold_since) return;
    const bool few = hop.crowd <= few_jobs;
    const double relative = std::min(took / hop.job->function->run, odd_run * ratio_at(hop));
    const double off = relative / (few ? pace_of(invoker) : press_of(invoker) * hop.crowd) - 1;
    auto nudge = [off](double& figure, double by, double least, double most) {
        figure = std::clamp(figure * (1 + by * off), least, most);
    };
    const double by = std::max(kind_gain, 1.0 / (few_arrivals + (few ? ++kind.paced : ++kind.pressed)));
    if (hop.ending == Ending::honoured) nudge(few ? kind.pace : kind.press, by, few ? 0.3 : 0.002, few ? 5.0 : 2.0);
    nudge(few ? invoker.pace : invoker.press, few ? 0.03 : 0.05, 0.2, 5.0);
}

void Controller::hear(Invoker& invoker, const Report& report) {
    if (!report.held) return;
    // What waits there, for a lane or a load, presses on no core.
    const bool first = !invoker.held;
    invoker.held = std::max(0.0, *report.held - report.queued.value_or(0));
    invoker.held_at = now_;
    // A report is old when it comes: what was sent and ended since it was measured is not in it.
    invoker.out_then = static_cast<int>(invoker.out.size()) - moved(invoker, 0);
    const double others = std::max(0.0, *invoker.held - invoker.out_then);
    if (first) invoker.usual = crowd_ * invoker.units;
    invoker.usual += 0.3 * (others - invoker.usual);
    if (invoker.units <= 0) return;
    const double gain = std::max(report_gain, 1.0 / ++reports_);
    told_others_ += gain * (others / invoker.units - told_others_);
    told_own_ += gain * (own_crowd_ - told_own_);
}

// How many of others' jobs there are for each own one. By the number of controllers, but where reports tell
// of fewer: one that sees several times the mean of the traffic would take all others for as busy as itself,
// and shed what they have room for (day "calm+mass": a fifth of the controllers refused a quarter of their
// jobs, the rest one in a hundred).
double Controller::others_a_job() const {
    if (reports_ < few_reports || told_own_ <= 0) return may_.controllers - 1;
    return std::min(told_others_ / told_own_, may_.controllers - 1.0);
}

// Notes what was sent or ended; returns the sum of it over the age of a report.
int Controller::moved(Invoker& invoker, int change) {
    if (change) invoker.moves.emplace_back(now_, change);
    invoker.lately += change;
    while (!invoker.moves.empty() && invoker.moves.front().first + report_age <= now_) {
        invoker.lately -= invoker.moves.front().second;
        invoker.moves.pop_front();
    }
    return invoker.lately;
}

void Controller::meet(Function& function) {
    if (function.known) return functions_.called_again(function);
    make_room();
    function.known = true;
    function.print = hash_of(function.name);
    function.run = run_;
    functions_.add(function);
    functions_.check(function, now_ + forget_function);
}

// So many functions are held and no more, but for those in use: of names without end, those called but once go first.
void Controller::make_room() {
    for (std::size_t i = 0; functions_.size() >= most_functions && i < most_spared; ++i) {
        Function& oldest = *functions_.oldest(most_called_once);
        const bool out =
            std::any_of(oldest.beliefs.begin(), oldest.beliefs.end(), [](const Belief& b) { return b.out > 0; });
        if (out || oldest.jobs > 0 || oldest.loading)
            functions_.spare(oldest);
        else
            drop(oldest);
    }
}

// ---------------------------------------------------------------- the fleet and its health

// Functions that wait may have somewhere to go now. Beyond a bound they wait for their next resend (exception "turn").
void Controller::list_changed() {
    for (Function* function : functions_.waiting.members(most_released)) release(*function);
}

// What the list tells of an invoker.
void Controller::take_up(Invoker& invoker) {
    const bool back = invoker.known && invoker.started && invoker.started != invoker.cold_from;
    if (!invoker.known) {
        invoker.known = true;
        invoker.print = hash_of(invoker.name);
        invoker.pace = invoker.press = 1;
        // Its units, where they hold still, are taken to be cores: one job of as many presses little.
        const double part = may_.steady_units ? 1 / std::max(1.0, invoker.units) : 1;
        if (invoker.kind->pace == 0) *invoker.kind = {1, std::min(assumed_press, part), 0, 0};
        fleet_.add(invoker);
    }
    if (back) forget(invoker);
    invoker.cold_from = invoker.started;
    invoker.listed = true;
    index_.put(invoker, invoker.print, weight_of(invoker));
    fleet_.set_left(invoker, false);
    // One seen to have started again later than the list says stays as cold as it was seen to be.
    const bool young = invoker.started && now_ - *invoker.started < rules_.cold_for;
    if (young && (!invoker.cold_since || *invoker.cold_since < *invoker.started)) begin_cold(invoker, *invoker.started);
    if (invoker.cold_since) fleet_.set_cold(invoker, *invoker.cold_since);
    recount(invoker);
}

// Has the fleet's totals and the sweep's lists follow what has changed of an invoker.
void Controller::recount(Invoker& invoker) {
    const Standing standing = invoker.standing;
    const bool bears = standing == Standing::trusted || standing == Standing::easing;
    InvokerShare share;
    share.ready = invoker.listed && invoker.ready;
    share.good = bears && invoker.faulty <= most_faulty;
    share.warm = standing == Standing::trusted && !invoker.cold_since;
    share.watched = !invoker.out.empty() || !bears || invoker.faulty > 0;
    share.attempts = invoker.out.size();
    share.micro_units = std::llround(invoker.units * 1e6);
    fleet_.set_share(invoker, share, invoker.used);
}

Results Controller::probe_answered(Time now, Invoker& invoker, bool answered, const Report& report) {
    enter(now);
    invoker.probing = false;
    hear(invoker, report);
    if (answered)
        answered_well(invoker);
    else if (invoker.heard <= invoker.probed && invoker.probed >= back_at_)
        mistrust(invoker, false);  // else it works: its probes are crowded out
    return done();
}

// Whether it has been silent for longer than its oldest hop was expected to take. Runs of seconds are no sign
// of trouble: asked all the while, each invoker would be probed by every controller without end (days
// "+mass": 3 probes a job, a quarter of all that was earned).
bool Controller::overdue(const Invoker& invoker) const {
    if (invoker.out.empty()) return false;
    const Hop& oldest = *invoker.out.front();
    const Time patience = std::max(quiet_gap, span_of(oldest.job->function->run * ratio_at(oldest)));
    return now_ - std::max(invoker.heard, oldest.sent) > patience;
}

void Controller::probe(Invoker& invoker) {
    invoker.probing = true;
    invoker.probed = now_;
    results_.probed.push_back(&invoker);
}

void Controller::answered_well(Invoker& invoker) {
    invoker.heard = now_;
    invoker.missed = invoker.cuts = 0;
    ++invoker.answered;
    switch (invoker.standing) {
        case Standing::trusted:
            break;
        case Standing::suspect:
            set_standing(invoker, Standing::trusted);
            break;
        case Standing::aside:
            // Guards against pushing over what has started again before the list says so (incident i4386e0).
            // It could harm where only the line was down: the invoker is used little until warm.
            if (invoker.down) begin_cold(invoker, now_);
            invoker.down = false;
            if (invoker.answered < answers_back) break;
            set_standing(invoker, Standing::easing);
            invoker.easy = first_ease;
            break;
        case Standing::easing:
            if (++invoker.easy >= eased) set_standing(invoker, Standing::trusted);
            break;
    }
}

// Whether a copy with a lane to spare stood where the hop went, as far as this controller could see.
bool Controller::stood_free(const Hop& hop, int company) const {
    const Belief* belief = belief_of(*hop.job->function, *hop.invoker);
    const int lanes = std::max(1, hop.job->function->lanes) * std::max(1, belief ? belief->copies : 1);
    return hop.seen_warm && std::max(hop.beside, company) < lanes;
}

// An invoker that turned a job away is left alone for a moment, and for longer where a copy would need room.
// Against memory that is full and against resends that hammer. Where the job would have begun a load,
// it has no room for loads alone: what stands there is sent on (day "reload": all shunned while
// their cores idled).
void Controller::turned_away(Invoker& invoker, bool stood) {
    if (stood) invoker.shun_until = now_ + shun;
    if (invoker.no_room_until <= now_) no_room_.push_back(&invoker);
    invoker.no_room_until = now_ + no_room;
}

// Silence, resets and connections that do not come about, whatever is behind them: first doubted, then set
// aside.
void Controller::mistrust(Invoker& invoker, bool certain) {
    invoker.answered = 0;
    ++invoker.missed;
    const bool aside = certain || invoker.missed >= misses_aside;
    if (!aside && invoker.standing != Standing::aside) {
        set_standing(invoker, Standing::suspect);
        if (may_.probe && !invoker.probing) probe(invoker);
    } else if (invoker.standing != Standing::aside) {
        set_standing(invoker, Standing::aside);
        invoker.aside_since = now_;
    }
    if (certain && !invoker.down) {
        invoker.down = true;
        forget(invoker);
    }
    if (invoker.standing == Standing::aside) rescue(invoker);
}

// What is out at an invoker that does not answer goes elsewhere where the rules allow a second hop; where two
// at once are not allowed, its hop is called off first, once the invoker is set aside.
void Controller::rescue(Invoker& invoker) {
    if (doubting_) return;
    for (Function* function : functions_.loading.members())
        if (function->loading == &invoker) load_over(*function);
    for (Hop* hop : std::vector<Hop*>(invoker.out)) {
        Job& job = *hop->job;
        if (job.state != JobState::hopping || hop != &job.hops.back()) continue;
        const Choice choice = choose(job);
        if (choice.invoker && choice.invoker != &invoker)
            start_hop(job, choice, Why::silent_there);
        else if (!may_.second_copies && may_.call_off && job.use_case->repeat == Repeat::replayable)
            results_.called_off.push_back(hop);
    }
}

// A restart, or long silence: nothing stands loaded there any more.
void Controller::forget(Invoker& invoker) {
    for (Function* function : invoker.holders) {
        Belief& belief = *belief_of(*function, invoker);
        set_until(*function, belief, Time{});
        belief.copies = 0;
    }
    invoker.held.reset();
}

// The periodic work of an instance: it costs what has happened since, not the size of the fleet.
void Controller::sweep() {
    ++sweeps_;
    const FleetTotals totals = fleet_.totals();
    for (Invoker* invoker : fleet_.watched()) review(*invoker);
    if (may_.probe) ask_for_reports();
    doubting_ = static_cast<double>(totals.good) < doubt_share * static_cast<double>(totals.ready);
    const double units = static_cast<double>(totals.warm_micro_units) / 1e6;
    const double seen_units = static_cast<double>(totals.ready_micro_units) / 1e6;
    if (units > 0) rate_ += 0.1 * (honoured_lately_ / in_seconds(sweep_period) / units - rate_);
    honoured_lately_ = 0;
    level_span_ = std::clamp(level_jobs * level_span_ / std::max(level_, 1.0), least_span, most_span);
    if (seen_units > 0) {
        own_crowd_ += 0.1 * (static_cast<double>(totals.attempts) / seen_units - own_crowd_);
        crowd_ = own_crowd_ * others_a_job();
    }

    if (may_.order_copies && may_.memory_price > 0)
        for (Function* function : functions_.spread.members()) unload_spare(*function);
    std::erase_if(no_room_, [&](const Invoker* invoker) { return invoker->no_room_until <= now_; });
    release_gone();
    for (Function* function : functions_.take_due(now_)) review(*function);
}

// Of an invoker that has attempts out, is in doubt or has erred.
void Controller::review(Invoker& invoker) {
    if (!invoker.listed || !invoker.ready) return;
    const Standing standing = invoker.standing;
    if (invoker.faulty > 0) {
        invoker.faulty = invoker.faulty * fault_fade < no_fault ? 0 : invoker.faulty * fault_fade;
        recount(invoker);
    }
    if (standing == Standing::aside) {
        if (now_ - invoker.aside_since > copies_gone && !invoker.down) {
            invoker.down = true;
            forget(invoker);
        }
        if (!may_.probe && now_ - invoker.aside_since > blind_aside) {
            set_standing(invoker, Standing::easing);
            invoker.easy = 1;
        }
    }
    if (!may_.probe || invoker.probing) return;
    const bool ill = standing == Standing::suspect || standing == Standing::aside;
    const bool rested = now_ - invoker.probed > probe_gap;
    const Time pause = std::clamp(invoker.missed, 1, rarer) * sweep_period - sweep_slack;
    const bool asked = now_ - invoker.probed < pause;
    if ((ill && !asked) || (rested && overdue(invoker))) probe(invoker);
}

// Reports only as far as the jobs taken pay for them, and first from those that were used last.
void Controller::ask_for_reports() {
    if (probes_left_ < 1) return;
    std::size_t visited = 0;
    fleet_.for_recently_used([&](Invoker& invoker) {
        const bool quiet = now_ - invoker.heard > quiet_gap;
        const bool rested = now_ - invoker.probed > probe_gap;
        if (!invoker.probing && rested && (quiet || now_ - invoker.held_at > probe_gap)) {
            probe(invoker);
            --probes_left_;
        }
        return probes_left_ >= 1 && ++visited < most_swept;
    });
}

// Takes out the beliefs of a function that have lapsed, and the function once it is not in use any more.
void Controller::review(Function& function) {
    function.beliefs.erase_if([&](const Belief& belief) {
        const bool lapsed = belief.out == 0 && belief.until <= now_;
        if (lapsed) std::erase(belief.invoker->holders, &function);
        return lapsed;
    });
    functions_.spread.set(function, function.beliefs.size() > 1);
    if (function.jobs == 0 && function.beliefs.empty() && !function.loading && now_ - function.seen > forget_function)
        return drop(function);
    Time next = std::max(function.seen + forget_function, now_ + Time(1));
    for (const Belief& belief : function.beliefs)
        if (belief.until > now_) next = std::min(next, belief.until);
    functions_.check(function, next);
}

// Lets go of invokers that are off the list for good, once no belief, load, probe or unclosed job points
// to them: else a fleet that is replaced all day fills the memory.
void Controller::release_gone() {
    std::vector<Invoker*> old = fleet_.left();
    std::erase_if(old, [&](const Invoker* it) {
        return now_ - it->left_list <= release_invoker || !it->out.empty() || it->probing;
    });
    if (old.empty()) return;
    mark_named();
    for (Invoker* invoker : old)
        if (invoker->named_in != sweeps_) let_go(*invoker);
}

// Where idle memory has a price: a function that stands at several invokers gives up those where it idles,
// but for the first in the shared order, which other controllers keep to as well.
void Controller::unload_spare(Function& function) {
    Belief* kept = nullptr;
    const auto rank = [&](const Belief& belief) {
        return placement_rank(function.print, belief.invoker->print, weight_of(*belief.invoker));
    };
    for (Belief& belief : function.beliefs)
        if (believed(&belief) && (!kept || rank(belief) < rank(*kept))) kept = &belief;
    for (Belief& belief : function.beliefs) {
        if (!believed(&belief) || &belief == kept || belief.out > 0 || !may_send_to(*belief.invoker)) continue;
        if (belief.until - may_.keep_alive + idle_spare * std::max(1, may_.controllers) > now_) continue;
        results_.ordered.push_back({&function, belief.invoker, 0});
        set_until(function, belief, Time{});
        belief.copies = 0;
    }
}

// By which it is placed in the order that all controllers share.
double Controller::weight_of(const Invoker& invoker) const {
    return may_.steady_units && invoker.units > 0 ? invoker.units : 1;
}

// ---------------------------------------------------------------- time

// Called first with whatever happens. A sweep long overdue shows that this controller itself stood still:
// what was out meanwhile looks slow and says nothing of the invokers (incident i544b59).
void Controller::enter(Time now) {
    now_ = now;
    if (sweep_at_ != Time{} && now > sweep_at_ + own_stall) back_at_ = now;
}

Results Controller::wake(Time now) {
    enter(now);
    // Exception "turn": what is left goes on at the next call, which is due at once.
    for (std::size_t done = 0; done < most_due && !due_.empty() && due_.begin()->first.first <= now; ++done) {
        const Due due = due_.begin()->second;
        if (due.job) {
            give_up(*due.job, Why::time_up);  // its time is up
            continue;
        }
        Function& function = *due.function;
        if (now >= function.clock + park_budget) {
            set_ticking(function, false);
            drop_due(function.due);
            for (Job* job : std::vector<Job*>(function.parked)) give_up(*job, Why::parked_long);  // step 4
            continue;
        }
        function.delay = span_of(in_seconds(function.delay) * delay_growth);
        function.resend = now + span_of(in_seconds(function.delay) * (1 + delay_jitter * (2 * chance() - 1)));
        clock_due(function);
        release(function);
    }
    return done();
}

Results Controller::done() {
    if (sweep_at_ == Time{}) {
        sweep_at_ = now_ + span_of(in_seconds(sweep_period) * (0.5 + chance()));
        results_.follow_list = may_.ask_for_list;
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
