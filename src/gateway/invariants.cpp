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
    log_.line(Log::Level::error, "invariant_broken", std::move(fields));
}

bool may_repeat(const UseCase& use, const Invoker& earlier, Time sent, const Invoker& to, Time now) {
    if (use.repeat == Repeat::replayable) return true;
    if (use.repeat == Repeat::single_use || now > sent + use.remembered) return false;
    if (use.reach == Reach::zone) return earlier.zone == to.zone;
    return use.reach == Reach::everywhere || earlier.cell == to.cell;
}

bool may_promise_no_effect(const UseCase& use, Time sent, Time now) {
    if (use.repeat == Repeat::replayable) return true;
    return use.repeat == Repeat::referenced && use.reach == Reach::everywhere && now <= sent + use.remembered;
}

}  // namespace plumkeel::gateway
