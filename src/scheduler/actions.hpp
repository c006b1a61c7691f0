/// The decisions of one call of the scheduler, which its host carries out.
#pragma once

#include <vector>

#include "scheduler/request.hpp"

namespace plumkeel {

struct PreloadCommand {
    Function* function{};
    Invoker* invoker{};
    int copies{};  ///< 0 means that idle copies are to be unloaded
};

/// Why an invoker was not a candidate for a request.
enum class ExclusionReason {
    none,
    not_ready,
    slow_start_budget,
    unhealthy,
    recovery_limit,
    not_retryable,
    recently_rejected,
    no_capacity,
};

/// An invoker that was considered for a request.
struct Candidate {
    Invoker* invoker{};
    double finish_s{};      ///< estimated seconds from now until the response
    double contention_s{};  ///< the part of `finish_s` that is caused by other requests
    bool warm{};
    /// If this is not `none`, the estimates above are not set.
    ExclusionReason exclusion{};
};

/// A change of a request's state. A parked request that is parked again for the same reason is not reported again.
struct StateTransition {
    Request* request{};
    RequestState to{};
    DecisionReason reason{};
    /// The attempt that was started with this transition; null if none was.
    Attempt* attempt{};
    std::vector<Candidate> candidates;
};

/// How much detail about decisions the scheduler adds to its actions. The detail has no influence on decisions.
enum class TraceDetail { none, transitions, candidates };

/// The host carries out the lists in the order of these fields.
///
/// An attempt is in `to_cancel` only after an earlier call has returned it in `to_send`, and no attempt in `to_send`
/// belongs to a completed request (keeps_contract()). This holds however late the host makes its calls.
struct Actions {
    std::vector<Attempt*> to_cancel;
    std::vector<Request*> completed;
    std::vector<Attempt*> to_send;
    std::vector<Invoker*> to_probe;
    std::vector<PreloadCommand> to_preload;
    std::vector<Function*> released_functions;  ///< no longer used by the scheduler: the host may free them
    std::vector<Invoker*> released_invokers;    ///< no longer used by the scheduler: the host may free them
    bool subscribe_endpoints{};
    Time next_wake{};  ///< when the host has to call Scheduler::wake() at the latest
    /// For tracing only. TraceDetail selects what is recorded.
    std::vector<StateTransition> transitions;
};

/// Whether the attempts in the lists are as the contract of Actions says.
bool keeps_contract(const Actions& actions);

}  // namespace plumkeel
