#include "remote_write/sample_clock.hpp"

namespace plumkeel::remote_write {
namespace {

constexpr Time max_wall_clock_lead = std::chrono::seconds(5);
constexpr int microseconds_per_ms = 1000;

}  // namespace

std::int64_t SampleClock::next_timestamp_ms(Time wall_time, Time now) {
    if (wall_time - (offset_ + now) > max_wall_clock_lead) offset_ = wall_time - now;
    last_ms_ = std::max<std::int64_t>(last_ms_ + 1, (offset_ + now).count() / microseconds_per_ms);
    return last_ms_;
}

}  // namespace plumkeel::remote_write
