// Plain data shared by the decision module and whoever hosts it. Nothing is decided here.
//
// The host owns Job, Invoker and Function objects and hands out pointers to them. It fills the part marked
// "set at the door" before the object first crosses the interface; the rest belongs to the module.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/cached_function_table.hpp"
#include "scheduler/fleet_table.hpp"
#include "scheduler/function_table.hpp"
#include "scheduler/placement_index.hpp"

namespace plumkeel {

using Time = std::chrono::microseconds;           // a span, or a moment as the span since the instance's start
using TimerKey = std::pair<Time, std::uint64_t>;  // a place in the controller's ordered list of due times

struct Function;
struct Invoker;
struct Request;

enum class Idempotency { idempotent, deduplicated, at_most_once };
enum class DeduplicationScope { global, zone, cell };  // how far the mark of a referenced job is known

struct RequestClass {
    Time latency_target{};
    Idempotency idempotency{};
    DeduplicationScope deduplication_scope{};
    Time deduplication_window{};
};

struct Tenant {
    double quota_per_s{};      // jobs a second, over all controllers; 0: none stated
    double recent_arrivals{};  // the module's fading count of arrivals
    Time last_arrival{};
};

// What the deployment forbids.
struct SafetyRules {
    Time slow_start_duration{};
    double slow_start_initial_share{};
    double slow_start_rate_multiple{};
    Time slow_start_window{};
    Time load_budget_window{};
    double load_budget_base{};
    double load_budget_per_request{};
};

// What the deployment lets a controller do, and tells it.
struct Capabilities {
    bool cancellation{};
    bool health_checks{};
    bool hedging{};
    bool retry_after{};
    bool preload{};
    bool subscribes_endpoints{};  // the list of invokers has to be followed on order
    bool on_demand_loading{};
    bool stable_capacity{};  // an invoker's units stay the same from list to list
    int max_attempts{};
    int controller_count{};
    Time max_retry_after{};
    Time keep_alive{};
    Time clock_resolution{};
    double memory_price{};
    double health_check_price{};  // in parts of a job's worth; 0: none stated
};

enum class AttemptOutcome {
    succeeded,
    failed,
    rejected,  // proves that it never ran, as do the next three
    unreachable,
    never_sent,
    load_failed,
    timed_out,
    connection_lost,
    cancelled,
};

enum class LoadEvent { none, was_loaded, started_load, joined_load, load_failed };

struct LoadReport {  // any figure may be missing
    std::optional<double> in_flight, queued;
};

struct Attempt {
    Request* request{};
    Invoker* invoker{};
    int number{};
    Time sent_at{};
    Time timeout{};
    bool in_flight{};
    bool starts_load{};  // this hop is its function's one load
    bool expected_warm{};
    bool observed_warm{};     // by an answer from there, not by what other controllers are taken to do
    int own_concurrent{};     // own jobs of the function there when it left
    double estimated_load{};  // jobs thought to be there when it left
    std::optional<AttemptOutcome> outcome;
};

enum class RequestState { received, in_flight, parked, streaming, succeeded, rejected, failed, cancelled };

// Why a job was turned to its state.
enum class DecisionReason {
    none,
    best_invoker,          // of those weighed
    new_replica,           // all are crowded: a copy is brought to a calm invoker
    invoker_unresponsive,  // its invoker does not answer: it goes on to another
    no_eligible_invoker,   // no invoker may be sent it now
    overloaded,            // it would be late only behind others' jobs
    load_in_progress,      // its function's one load is not over
    concurrency_limit,     // all lanes of the copies that stand
    preload_sent,
    load_budget_exhausted,
    attempt_never_ran,  // its hop came back without having run: the next resend
    attempts_exhausted,
    parking_full,
    parking_budget_exceeded,
    deadline_exceeded,
    may_have_run,  // and may not run again anywhere
    response_received,
    response_begun,
    response_truncated,
    client_disconnected,
};

struct Request {
    std::uint64_t id{};  // set at the door, down to `again`
    const RequestClass* request_class{};
    Tenant* tenant{};
    Function* function{};
    Time remaining{};
    bool is_client_retry{};  // its client says that it tried before

    RequestState state{};
    Time received_at{}, target_at{}, deadline{};
    std::deque<Attempt> attempts;
    TimerKey timer{};
    Time retry_after{};
    bool over_quota{};
    DecisionReason reason{};

    bool is_completed() const { return state >= RequestState::succeeded; }
    bool is_settled() const {
        for (const Attempt& attempt : attempts)
            if (attempt.in_flight) return false;
        return is_completed();
    }
};

struct Function {
    std::string name;  // set at the door, down to `told_load`
    int concurrency{};
    std::optional<Time> declared_load_time;

    bool is_registered{};
    std::uint64_t hash{};
    double run_time_s{};   // learned, in seconds on an idle average invoker
    double load_time_s{};  // learned, in seconds
    CachedFunctionTable cached_copies;
    std::vector<Request*> parked;
    Invoker* loading_on{};  // where its one load is out
    Time load_started_at{};
    bool load_is_preload{};
    Time parking_since{};  // when the budget clock started
    bool parking_active{};
    Time backoff{}, retry_at{};
    TimerKey timer{};
    Time last_arrival{};
    double recent_arrivals{};     // a fading count of arrivals
    PlacementIndex::Homes homes;  // the first invokers, as the controllers rank them for this function
    int open_requests{};          // unclosed
    FunctionTableEntry table_entry;
};

// What is learned of all invokers of a kind; `pace` and `press` of one are relative to these.
struct InvokerType {
    double slowdown_factor{}, contention_factor{};
    int slowdown_samples{}, contention_samples{};  // how many runs taught these
};

enum class HealthState { healthy, suspect, ejected, recovering };

struct Invoker {
    std::string name;  // set at the door, down to `cell`, and again with each change
    bool ready{};
    double capacity{};
    std::string zone;
    InvokerType* type{};
    int cell{};
    std::optional<Time> started_at;  // absent: long ago

    bool is_registered{}, is_listed{};
    Time delisted_at{};
    std::uint64_t hash{};
    std::optional<Time> slow_start_since, announced_start;
    std::deque<Time> slow_start_attempts;
    double slow_start_jitter{};  // from 0 to 1, at each start: this controller's luck with a part of a hop
    bool is_down{};              // it was seen to be gone: its next answer comes from a new start
    HealthState health{};
    int consecutive_timeouts{}, consecutive_resets{}, consecutive_successes{}, recovery_limit{};
    double error_rate{};  // fading part of its answers that were errors for jobs which others then honoured
    bool health_check_pending{};
    Time health_checked_at{}, last_response_at{}, last_used_at{}, ejected_at{};
    std::vector<Attempt*> in_flight;
    double slowdown_factor{}, contention_factor{};  // learned: slowness when idle, and slowness for each job held
    std::optional<double> reported_load;
    double baseline_load{};  // others' jobs there, over its last reports
    Time reported_at{};
    int own_in_flight_at_report{};                    // own hops out when the report was measured
    std::deque<std::pair<Time, int>> recent_changes;  // lately sent and ended
    int recent_change_sum{};                          // the sum of these
    Time backoff_until{}, full_until{};
    std::vector<Function*> functions;                         // functions with a belief of it
    std::uint64_t listed_in{}, scored_in{}, referenced_in{};  // the last list, choice and sweep in which it came up
    FleetTableEntry table_entry;
};

struct PreloadCommand {
    Function* function{};
    Invoker* invoker{};
    int copies{};  // 0: unload the idle ones
};

// What kept an invoker from being weighed for a job.
enum class ExclusionReason {
    none,
    not_ready,
    slow_start_budget,
    unhealthy,
    recovery_limit,
    not_retryable,
    recently_rejected,
    no_capacity
};

struct Candidate {
    Invoker* invoker{};
    double finish_s{}, contention_s{};  // in seconds from now; of these, caused by others' jobs
    bool warm{};
    ExclusionReason exclusion{};  // if any, nothing of the above but the invoker holds
};

// A job's change of state. One that stays parked for the same reason is not told again.
struct StateTransition {
    Request* request{};
    RequestState to{};
    DecisionReason reason{};
    Attempt* attempt{};  // that it started
    std::vector<Candidate> candidates;
};

enum class TraceDetail { none, transitions, candidates };  // how much of its reasons a controller tells

// What came of one call, in the controller's own objects. The host carries out the lists in this order.
struct Actions {
    std::vector<Attempt*> to_cancel;
    std::vector<Request*> completed;
    std::vector<Attempt*> to_send;
    std::vector<Invoker*> to_probe;
    std::vector<PreloadCommand> to_preload;
    std::vector<Function*> released_functions;  // the host may free these
    std::vector<Invoker*> released_invokers;    // and these: long off the list, and nothing points to them any more
    bool subscribe_endpoints{};
    Time next_wake{};
    std::vector<StateTransition> transitions;  // only as far as the host asks: there is nothing to carry out
};

}  // namespace plumkeel
