/// Run-time checks of the rules that every request, attempt and client connection must keep. A violation is counted and
/// logged, and has no other effect.
///
/// The checks look at what was sent to invokers and clients, independently of the scheduler's decisions.
/// request_checks.hpp has the checks of requests and attempts.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "log/log.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::gateway {

enum class Invariant {
    attempt_after_completion,         ///< an attempt was sent after its request was completed
    attempt_past_deadline,            ///< an attempt was sent, or has its own deadline, after the request's deadline
    too_many_attempts,                ///< more attempts were sent for one request than the settings allow
    concurrent_attempts,              ///< two attempts of a request were in flight without hedging allowed
    unsafe_retry,                     ///< a retry could take effect twice, because an earlier attempt may have run
    attempt_to_draining_endpoint,     ///< an attempt was sent to an invoker that is draining or not listed
    connection_closed_with_requests,  ///< the gateway closed a client connection with open requests
    late_response,                    ///< the final response was sent too long after the deadline
    unproven_rejection,               ///< a client was told without proof that its request had no effect
    cancelled_before_sent,            ///< the scheduler cancelled an attempt that it had not handed over to be sent
};

constexpr std::size_t invariant_count = static_cast<std::size_t>(Invariant::cancelled_before_sent) + 1;

/// The name used in the label of plumkeel_invariants_broken_total, in the status document and in the log.
std::string_view name_of(Invariant invariant);

/// Counts and logs violations.
class Invariants {
public:
    using Fields = Log::Fields;
    explicit Invariants(Log& log) : log_(log) {}

    /// Reports a violation unless `holds`. `describe` returns the log line's fields; it is called only on a violation.
    template <class Describe>
    void check(bool holds, Invariant invariant, Describe describe) {
        if (!holds) report_violation(invariant, describe());
    }
    std::uint64_t violations(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
    /// Number of violations of all invariants.
    std::uint64_t violations() const;

private:
    void report_violation(Invariant invariant, Fields fields);

    Log& log_;
    std::array<std::uint64_t, invariant_count> counts_{};
};

/// Whether a request of this class may be sent to `next` at `now`, after an attempt that was sent to `earlier` at
/// `sent_at` and may have run.
bool may_retry_on(const RequestClass& request_class, const Invoker& earlier, Time sent_at, const Invoker& next,
                  Time now);
/// Whether the client may be told at `now` that its request had no effect, after an attempt that was sent at `sent_at`
/// and may have run.
bool may_report_no_effect(const RequestClass& request_class, Time sent_at, Time now);

}  // namespace plumkeel::gateway
