/// The rules that every request, attempt and client connection must keep, checked at run time where something is sent,
/// retried, closed or answered. A violation changes nothing: it is counted, and logged with the ids.
///
/// The checks use what is on the connections and what clients were sent, not the scheduler's decisions: they are a
/// second opinion on those. request_checks.hpp has the checks of requests and attempts.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "log/log.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::gateway {

enum class Invariant {
    attempt_after_completion,         ///< an attempt was sent although its request was over: answered, or client gone
    attempt_past_deadline,            ///< an attempt was sent, or may last, past its request's deadline
    too_many_attempts,                ///< more than the settings allow for one request
    concurrent_attempts,              ///< two in flight, where the settings allow one
    unsafe_retry,                     ///< an earlier attempt may have run, and this one would take effect again
    attempt_to_draining_endpoint,     ///< the list says that the invoker takes no more attempts
    connection_closed_with_requests,  ///< a client's connection was closed by us with requests open on it
    late_response,                    ///< the final response came more than the grace after the deadline
    unproven_rejection,               ///< the client was told that there was no effect, and nothing proves it
};

constexpr std::size_t invariant_count = static_cast<std::size_t>(Invariant::unproven_rejection) + 1;

/// As in the label of plumkeel_invariants_broken_total, in status and in the log.
std::string_view name_of(Invariant invariant);

/// Counts and logs violations.
class Invariants {
public:
    using Fields = Log::Fields;
    explicit Invariants(Log& log) : log_(log) {}

    /// `describe` returns ids and figures (times in milliseconds); it is called only where the invariant does not hold.
    template <class Describe>
    void check(bool holds, Invariant invariant, Describe describe) {
        if (!holds) report_violation(invariant, describe());
    }
    std::uint64_t violations(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
    /// Of all invariants together.
    std::uint64_t violations() const;

private:
    void report_violation(Invariant invariant, Fields fields);

    Log& log_;
    std::array<std::uint64_t, invariant_count> counts_{};
};

/// Rule 2: whether an attempt of a request of this class may be sent to `next` at `now`, after the attempt at
/// `earlier`, which may have run or is in flight, was sent at `sent_at`.
bool may_retry_on(const RequestClass& request_class, const Invoker& earlier, Time sent_at, const Invoker& next,
                  Time now);
/// Rule 2: whether the client may be told that nothing took effect, after an attempt that may have run.
bool may_report_no_effect(const RequestClass& request_class, Time sent_at, Time now);

}  // namespace plumkeel::gateway
