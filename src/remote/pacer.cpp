#include "remote/pacer.hpp"

#include <algorithm>

namespace plumkeel::remote {
namespace {

double in_seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}
Time span_of(double seconds) {
    return Time(static_cast<Time::rep>(std::max(0.0, seconds) * 1e6));
}

}  // namespace

Pacer::Pacer(PacerRules rules, std::uint64_t seed)
    : rules_(rules),
      chance_(seed),
      batch_(static_cast<double>(rules.least_samples)),
      tokens_(static_cast<double>(rules.most_samples)) {}

Pacer::Leave Pacer::ask(Time now, double inflow) {
    if (now < not_before_) return {0, not_before_};
    if (busy_ >= width()) return {0, Time::max()};
    const double rate = std::max(rules_.least_rate, rules_.catch_up * inflow);
    // At most what a second lets in, or one batch, is saved up.
    const double saved = std::max(rate, static_cast<double>(rules_.most_samples));
    tokens_ = std::min(saved, tokens_ + rate * in_seconds(now - filled_));
    filled_ = now;
    const double least = std::min(batch_, static_cast<double>(rules_.least_samples));
    if (tokens_ < least) return {0, now + std::max(span_of((least - tokens_) / rate), Time(1000))};
    return {static_cast<std::size_t>(std::min(batch_, tokens_)), {}};
}

void Pacer::sent(Time, std::size_t samples) {
    ++busy_;
    tokens_ -= static_cast<double>(samples);
}

void Pacer::answered(Time now, Heard heard, Time took, std::optional<Time> retry_after) {
    busy_ = std::max(0, busy_ - 1);
    if (heard == Heard::taken || heard == Heard::never) {
        troubles_ = 0;
        pause_ = {};
        batch_ = std::min(static_cast<double>(rules_.most_samples), batch_ * 2);
        width_ = took > rules_.slow ? std::max(1.0, width_ / 2) : std::min<double>(rules_.lanes, width_ + 1 / width_);
        return;
    }
    // Answers to what was sent before the trouble was known make it no greater.
    if (now < not_before_ && !retry_after) return;
    ++troubles_;
    width_ = 1;
    batch_ = static_cast<double>(rules_.least_samples);
    tokens_ = std::min(tokens_, batch_);
    pause_ = pause_ == Time{} ? rules_.first_pause : std::min(rules_.longest_pause, pause_ * 2);
    const Time jittered = span_of(in_seconds(pause_) * (0.5 + chance_.next()));
    not_before_ = std::max(not_before_, now + std::max(jittered, std::min(retry_after.value_or(Time{}), rules_.longest_pause * 10)));
}

}  // namespace plumkeel::remote
