// The rules that every request, attempt and client connection is held to, checked at run time where things are sent,
// repeated, closed and answered. A check that fails changes nothing: it is counted, and told in the log with the ids.
//
// The checks use what is on the connections and what the clients were told, not the decisions of the module: they are a
// second opinion on those.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "log/log.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::gateway {

enum class Invariant {
    attempt_after_end,          // it left although its request was over: answered, or its client gone
    attempt_past_deadline,      // it left, or may last, past its client's time
    too_many_attempts,          // more than the settings allow for one request
    two_attempts_out,           // where the settings allow one
    unsafe_repeat,              // an earlier one may have run, and this would take effect again
    attempt_to_drained,         // the list says that its invoker takes no more
    closed_with_requests,       // a client's connection was ended by us with requests open on it
    answered_late,              // the final answer came over the grace after the client's time
    refused_what_may_have_run,  // a promise of no effect that nothing proves
    count_,
};

std::string_view word_of(Invariant invariant);

class Invariants {
public:
    using Fields = Log::Fields;
    explicit Invariants(Log& log) : log_(log) {}

    // `fields` (ids and figures, in milliseconds) is asked only where the invariant does not hold.
    template <class Describe>
    void check(bool holds, Invariant which, Describe fields) {
        if (!holds) broken(which, fields());
    }
    std::uint64_t broken(Invariant which) const { return counts_[static_cast<std::size_t>(which)]; }
    std::uint64_t broken() const;  // all of them

private:
    void broken(Invariant which, Fields fields);

    Log& log_;
    std::array<std::uint64_t, static_cast<std::size_t>(Invariant::count_)> counts_{};
};

// Rule 2: whether an attempt of a request of this use may leave for `to` now, after `earlier` (which may have run, or
// is out) left at `sent`.
bool may_repeat(const RequestClass& use, const Invoker& earlier, Time sent, const Invoker& to, Time now);
// Rule 2: whether the client may be told that nothing took effect, after an attempt that may have run.
bool may_promise_no_effect(const RequestClass& use, Time sent, Time now);

}  // namespace plumkeel::gateway
