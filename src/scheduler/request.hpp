/// A request and its attempts, as shared by the scheduler and its host, the code that calls it: the gateway or the
/// simulator adapter.
///
/// The host owns Request objects and keeps each one until Request::is_settled(). Before it submits a request, it fills
/// in the fields that are marked so below; all other fields are changed by the scheduler only.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>

#include "scheduler/deployment.hpp"

namespace plumkeel {

struct Function;
struct Invoker;
struct Request;

/// How an attempt ended. never_ran() in retry_policy.hpp tells which outcomes prove that the function did not run.
enum class AttemptOutcome {
    succeeded,
    failed,       ///< the invoker responded with an error
    rejected,     ///< the invoker refused the attempt before running it
    unreachable,  ///< no connection could be opened
    never_sent,   ///< no byte of the attempt was sent
    load_failed,  ///< the invoker could not load the function
    timed_out,
    connection_lost,
    cancelled,
};

/// What an invoker reports about loading the copy that an attempt used.
enum class LoadEvent { none, was_loaded, started_load, joined_load, load_failed };

/// An invoker's report of its load: numbers of requests from all controllers. Either number may be absent.
struct LoadReport {
    std::optional<double> in_flight, queued;
};

struct Attempt {
    Request* request{};
    Invoker* invoker{};
    int number{};  ///< the attempts of a request are numbered from 0
    Time sent_at{};
    Time timeout{};
    bool in_flight{};
    /// Whether this attempt made its invoker start to load the function; at most one attempt per function does at a
    /// time.
    bool starts_load{};
    /// Whether the scheduler expected a warm copy at the invoker, learned from responses or inferred from the traffic
    /// of other controllers.
    bool expected_warm{};
    /// Like `expected_warm`, but without inference from the traffic of other controllers.
    bool observed_warm{};
    /// Attempts of this controller for the same function at the invoker when this one was sent.
    int own_concurrent_attempts{};
    /// Estimated number of requests at the invoker when this one was sent, itself included.
    double estimated_load{};
    std::optional<AttemptOutcome> outcome;
};

/// The states from `succeeded` on are final: the request has its response or needs none any more.
enum class RequestState { received, in_flight, parked, streaming, succeeded, rejected, failed, cancelled };

/// Why a request changed its state.
enum class DecisionReason {
    none,
    best_invoker,  ///< the request is sent to the candidate with the earliest estimated response
    /// All candidates are overloaded, so a further copy is loaded at another invoker.
    new_replica,
    /// The invoker of the previous attempt does not respond, so the request is sent to another one.
    invoker_unresponsive,
    no_eligible_invoker,  ///< no invoker may be sent the request now
    /// The request would miss its latency target only because of other requests.
    overloaded,
    load_in_progress,
    /// All copies of the function run as many requests as they may.
    concurrency_limit,
    preload_sent,
    load_budget_exhausted,
    attempt_never_ran,  ///< the request waits for the next retry of its function
    attempts_exhausted,
    parking_full,
    parking_budget_exceeded,
    deadline_exceeded,
    /// An attempt may have run, and the request must not run again.
    may_have_run,
    response_received,
    response_begun,
    response_truncated,
    client_disconnected,
};

struct Request {
    // Set by the host before it submits the request.
    std::uint64_t id{};
    const RequestClass* request_class{};
    Tenant* tenant{};
    Function* function{};
    Time remaining{};        ///< time from the arrival until the client gives up
    bool is_client_retry{};  ///< the client marked the request as a repeated one

    RequestState state{};
    Time received_at{}, target_at{}, deadline{};
    /// A deque, since pointers to attempts stay valid until the request is freed.
    std::deque<Attempt> attempts;
    TimerKey timer{};
    /// How long the client is asked to wait before it tries again, sent with a rejection; 0 if it is not asked.
    Time retry_after{};
    bool over_quota{};  ///< the tenant was over its quota when the request arrived
    DecisionReason reason{};

    /// Whether the request is in a final state.
    bool is_completed() const { return state >= RequestState::succeeded; }
    bool has_attempt_in_flight() const {
        return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.in_flight; });
    }
    /// Whether the host may free the request: it is in a final state and no attempt is in flight.
    bool is_settled() const { return is_completed() && !has_attempt_in_flight(); }
};

}  // namespace plumkeel
