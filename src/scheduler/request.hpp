/// A request and its attempts, as the scheduler and its host share them.
///
/// The host owns Request objects and keeps one until it is settled. It fills in the part marked "set by the host"
/// before the object first crosses the interface; the rest belongs to the scheduler (RequestLifecycle changes the
/// state).
#pragma once

#include <algorithm>
#include <deque>
#include <optional>

#include "scheduler/deployment.hpp"

namespace plumkeel {

struct Function;
struct Invoker;
struct Request;

/// How an attempt ended. never_ran() (retry_policy.hpp) tells which of these prove that the function did not run.
enum class AttemptOutcome {
    succeeded,
    failed,       ///< the invoker responded with an error
    rejected,     ///< the invoker refused it before running it
    unreachable,  ///< no connection came about
    never_sent,   ///< no byte of it left
    load_failed,  ///< the function could not be loaded for it
    timed_out,
    connection_lost,
    cancelled,
};

/// What an invoker says about the copy that an attempt used.
enum class LoadEvent { none, was_loaded, started_load, joined_load, load_failed };

/// An invoker's report of its load, as requests over all controllers. Any figure may be missing.
struct LoadReport {
    std::optional<double> in_flight, queued;
};

struct Attempt {
    Request* request{};
    Invoker* invoker{};
    int number{};  ///< within its request, from 0
    Time sent_at{};
    Time timeout{};
    bool in_flight{};
    bool starts_load{};       ///< it is its function's one load in progress
    bool expected_warm{};     ///< a warm copy was expected at the invoker
    bool observed_warm{};     ///< the same, by a response from there and not by what other controllers send
    int own_concurrent{};     ///< own attempts of the function there when it was sent
    double estimated_load{};  ///< requests estimated to be there when it was sent, itself included
    std::optional<AttemptOutcome> outcome;
};

/// The states from `succeeded` on are final.
enum class RequestState { received, in_flight, parked, streaming, succeeded, rejected, failed, cancelled };

/// Why a request changed its state.
enum class DecisionReason {
    none,
    best_invoker,          ///< of the candidates
    new_replica,           ///< all candidates are overloaded: a copy is loaded on an invoker that is not
    invoker_unresponsive,  ///< its invoker does not respond: it is sent to another
    no_eligible_invoker,   ///< no invoker may be sent it now
    overloaded,            ///< it would miss its latency target only because of other requests
    load_in_progress,
    concurrency_limit,  ///< of all warm copies
    preload_sent,
    load_budget_exhausted,
    attempt_never_ran,  ///< it waits for the next retry
    attempts_exhausted,
    parking_full,
    parking_budget_exceeded,
    deadline_exceeded,
    may_have_run,  ///< and must not run again anywhere
    response_received,
    response_begun,
    response_truncated,
    client_disconnected,
};

struct Request {
    // Set by the host.
    std::uint64_t id{};
    const RequestClass* request_class{};
    Tenant* tenant{};
    Function* function{};
    Time remaining{};        ///< how long its client waits, from the arrival
    bool is_client_retry{};  ///< its client says that it tried before

    RequestState state{};
    Time received_at{}, target_at{}, deadline{};
    std::deque<Attempt> attempts;  ///< pointers to them hold until the request is freed
    TimerKey timer{};
    Time retry_after{};  ///< told to its client with a rejection; 0: none
    bool over_quota{};   ///< its tenant was over its quota when it arrived
    DecisionReason reason{};

    /// It has its final response.
    bool is_completed() const { return state >= RequestState::succeeded; }
    bool has_attempt_in_flight() const {
        return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.in_flight; });
    }
    /// Nothing of it is in flight any more: the host may free it.
    bool is_settled() const { return is_completed() && !has_attempt_in_flight(); }
};

}  // namespace plumkeel
