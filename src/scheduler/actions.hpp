/// What one call of the scheduler decided, for its host to carry out.
#pragma once

#include <vector>

#include "scheduler/request.hpp"

namespace plumkeel {

struct PreloadCommand {
    Function* function{};
    Invoker* invoker{};
    int copies{};  ///< 0: unload the idle ones
};

/// What kept an invoker from being a candidate for a request.
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
    double finish_s{};      ///< seconds from now until it would respond
    double contention_s{};  ///< of these, caused by other requests there
    bool warm{};
    ExclusionReason exclusion{};  ///< unless `none`, only the invoker is meaningful
};

/// A request's change of state. A request that stays parked for the same reason is not told of again.
struct StateTransition {
    Request* request{};
    RequestState to{};
    DecisionReason reason{};
    Attempt* attempt{};  ///< started by the transition
    std::vector<Candidate> candidates;
};

/// How much of its reasons a scheduler puts into its actions. It changes no decision.
enum class TraceDetail { none, transitions, candidates };

/// The host carries out the lists in this order.
struct Actions {
    std::vector<Attempt*> to_cancel;
    std::vector<Request*> completed;
    std::vector<Attempt*> to_send;
    std::vector<Invoker*> to_probe;
    std::vector<PreloadCommand> to_preload;
    std::vector<Function*> released_functions;  ///< the host may free these
    std::vector<Invoker*> released_invokers;    ///< and these: long off the list, and nothing refers to them any more
    bool subscribe_endpoints{};
    Time next_wake{};                          ///< when to call Scheduler::wake() at the latest
    std::vector<StateTransition> transitions;  ///< as far as TraceDetail asks: nothing to carry out
};

}  // namespace plumkeel
