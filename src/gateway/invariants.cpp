#include "gateway/invariants.hpp"

#include <numeric>
#include <utility>

namespace plumkeel::gateway {

std::string_view name_of(Invariant invariant) {
    static constexpr std::string_view names[] = {
        "attempt_after_end",    "attempt_past_deadline", "too_many_attempts",
        "two_attempts_out",     "unsafe_repeat",         "attempt_to_drained",
        "closed_with_requests", "answered_late",         "refused_what_may_have_run",
        "cancelled_before_sent"};
    static_assert(std::size(names) == invariant_count);
    return names[static_cast<std::size_t>(invariant)];
}

std::uint64_t Invariants::violations() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{});
}

void Invariants::report_violation(Invariant invariant, Fields fields) {
    ++counts_[static_cast<std::size_t>(invariant)];
    fields["invariant"] = name_of(invariant);
    log_.write(Log::Level::error, "invariant_broken", std::move(fields));
}

bool may_retry_on(const RequestClass& request_class, const Invoker& earlier, Time sent_at, const Invoker& next,
                  Time now) {
    if (request_class.idempotency == Idempotency::idempotent) return true;
    if (request_class.idempotency == Idempotency::at_most_once || now > sent_at + request_class.deduplication_window)
        return false;
    if (request_class.deduplication_scope == DeduplicationScope::zone) return earlier.zone == next.zone;
    return request_class.deduplication_scope == DeduplicationScope::global || earlier.cell == next.cell;
}

bool may_report_no_effect(const RequestClass& request_class, Time sent_at, Time now) {
    if (request_class.idempotency == Idempotency::idempotent) return true;
    return request_class.idempotency == Idempotency::deduplicated &&
           request_class.deduplication_scope == DeduplicationScope::global &&
           now <= sent_at + request_class.deduplication_window;
}

}  // namespace plumkeel::gateway
