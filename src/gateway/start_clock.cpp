#include "gateway/start_clock.hpp"

#include <algorithm>

namespace plumkeel::gateway {

using namespace std::chrono_literals;

constexpr StartClock::Time least_step = 100ms;  // less is drift: 500 ppm, the most that time services slew, over 200 s
constexpr std::size_t most_offsets = 8;         // kept; of more steps the oldest are forgotten

void StartClock::look(Time now, Time wall) {
    const Time offset = wall - now;
    const auto alike = [&](Time other) { return std::chrono::abs(offset - other) < least_step; };
    if (!offsets_.empty() && alike(offsets_.back())) {
        offsets_.back() = offset;
        return;
    }
    if (!offsets_.empty()) ++steps_;
    std::erase_if(offsets_, alike);
    offsets_.push_back(offset);
    if (offsets_.size() > most_offsets) offsets_.pop_front();
}

StartClock::Time StartClock::moment_of(Time started, Time now) const {
    Time latest = Time::min();
    for (const Time offset : offsets_)
        if (const Time moment = started - offset; moment <= now) latest = std::max(latest, moment);
    return latest == Time::min() ? now : latest;
}

}  // namespace plumkeel::gateway
