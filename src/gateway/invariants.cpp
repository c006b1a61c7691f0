#include "gateway/invariants.hpp"

#include <numeric>

namespace plumkeel::gateway {

std::string_view word_of(Invariant invariant) {
    static constexpr std::string_view words[] = {
        "attempt_after_end",  "attempt_past_deadline", "too_many_attempts", "two_attempts_out",         "unsafe_repeat",
        "attempt_to_drained", "closed_with_requests",  "answered_late",     "refused_what_may_have_run"};
    static_assert(std::size(words) == static_cast<std::size_t>(Invariant::count_));
    return words[static_cast<std::size_t>(invariant)];
}

std::uint64_t Invariants::broken() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{});
}

void Invariants::broken(Invariant which, Fields fields) {
    ++counts_[static_cast<std::size_t>(which)];
    fields["invariant"] = word_of(which);
    log_.write(Log::Level::error, "invariant_broken", std::move(fields));
}

bool may_repeat(const RequestClass& use, const Invoker& earlier, Time sent, const Invoker& to, Time now) {
    if (use.idempotency == Idempotency::idempotent) return true;
    if (use.idempotency == Idempotency::at_most_once || now > sent + use.deduplication_window) return false;
    if (use.deduplication_scope == DeduplicationScope::zone) return earlier.zone == to.zone;
    return use.deduplication_scope == DeduplicationScope::global || earlier.cell == to.cell;
}

bool may_promise_no_effect(const RequestClass& use, Time sent, Time now) {
    if (use.idempotency == Idempotency::idempotent) return true;
    return use.idempotency == Idempotency::deduplicated && use.deduplication_scope == DeduplicationScope::global &&
           now <= sent + use.deduplication_window;
}

}  // namespace plumkeel::gateway
