/// \file
/// Converts the results of scheduler calls into records, which are stored or compared with recorded ones.
#pragma once

#include <algorithm>
#include <string>

#include "trace/records.hpp"

namespace plumkeel::trace {

/// Converts `from` into `out`, replacing its content and reusing its memory. `function_number` and `invoker_number`
/// return the number of a Function or an Invoker in the trace. They may assign new numbers, so the order of the calls
/// must not change: equal results must give equal records.
template <class FunctionNumber, class InvokerNumber>
void assign(ActionsRecord& out, const Actions& from, FunctionNumber function_number, InvokerNumber invoker_number) {
    out.to_cancel.clear();
    out.completed.clear();
    out.to_send.clear();
    out.to_probe.clear();
    out.to_preload.clear();
    out.released_functions.clear();
    for (const Attempt* attempt : from.to_cancel)
        out.to_cancel.push_back({attempt->request->id, static_cast<std::uint64_t>(attempt->number)});
    for (const Request* request : from.completed)
        out.completed.push_back({request->id, request->state, request->retry_after});
    for (const Attempt* attempt : from.to_send)
        out.to_send.push_back({attempt->request->id, static_cast<std::uint64_t>(attempt->number),
                               invoker_number(*attempt->invoker), attempt->timeout});
    for (const Invoker* invoker : from.to_probe) out.to_probe.push_back(invoker_number(*invoker));
    for (const PreloadCommand& preload : from.to_preload)
        out.to_preload.push_back(
            {function_number(*preload.function), invoker_number(*preload.invoker), preload.copies});
    for (const Function* function : from.released_functions)
        out.released_functions.push_back(function_number(*function));
    out.subscribe_endpoints = from.subscribe_endpoints;
    out.next_wake = from.next_wake;
}

/// Larger estimates are stored as this many seconds.
constexpr double max_estimate_s = 1e6;

inline Time estimate_to_time(double seconds) {
    return Time(static_cast<Time::rep>(std::clamp(seconds, 0.0, max_estimate_s) * 1e6));
}

/// Converts `from` into `out`, replacing its content and reusing its memory. `invoker_number` returns the number of an
/// Invoker in the trace.
template <class InvokerNumber>
void assign(TransitionRecord& out, const StateTransition& from, InvokerNumber invoker_number) {
    out.to = from.to;
    out.reason = from.reason;
    out.retry_after = from.to == RequestState::rejected ? from.request->retry_after : Time{};
    out.sent.reset();
    out.candidates.clear();
    if (from.attempt)
        out.sent = {static_cast<std::uint64_t>(from.attempt->number), invoker_number(*from.attempt->invoker),
                    from.attempt->starts_load, from.attempt->expected_warm};
    for (const Candidate& candidate : from.candidates)
        out.candidates.push_back({invoker_number(*candidate.invoker), estimate_to_time(candidate.finish_s),
                                  estimate_to_time(candidate.contention_s), candidate.warm, candidate.exclusion});
}

/// Describes the actions in English, as clauses separated by semicolons.
std::string describe(const ActionsRecord& actions);

}  // namespace plumkeel::trace
