#include "remote_write/send_controller.hpp"

#include <algorithm>

namespace plumkeel::remote_write {
namespace {

double in_seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}
Time span_of(double seconds) {
    return Time(static_cast<Time::rep>(std::max(0.0, seconds) * 1e6));
}

}  // namespace

SendController::SendController(SendControlConfig rules, std::uint64_t seed)
    : rules_(rules),
      random_(seed),
      batch_(static_cast<double>(rules.min_batch)),
      tokens_(static_cast<double>(rules.max_batch)) {}

SendController::Permit SendController::request(Time now, double inflow) {
    if (now < not_before_) return {0, not_before_};
    if (busy_ >= concurrency()) return {0, Time::max()};
    const double rate = std::max(rules_.min_rate, rules_.catch_up_ratio * inflow);
    // At most what a second lets in, or one batch, is saved up.
    const double saved = std::max(rate, static_cast<double>(rules_.max_batch));
    tokens_ = std::min(saved, tokens_ + rate * in_seconds(now - filled_));
    filled_ = now;
    const double least = std::min(batch_, static_cast<double>(rules_.min_batch));
    if (tokens_ < least) return {0, now + std::max(span_of((least - tokens_) / rate), Time(1000))};
    return {static_cast<std::size_t>(std::min(batch_, tokens_)), {}};
}

void SendController::on_sent(Time, std::size_t samples) {
    ++busy_;
    tokens_ -= static_cast<double>(samples);
}

void SendController::on_result(Time now, SendResult heard, Time took, std::optional<Time> retry_after) {
    busy_ = std::max(0, busy_ - 1);
    if (heard == SendResult::accepted || heard == SendResult::rejected) {
        failures_ = 0;
        backoff_ = {};
        batch_ = std::min(static_cast<double>(rules_.max_batch), batch_ * 2);
        concurrency_ = took > rules_.slow_response
                           ? std::max(1.0, concurrency_ / 2)
                           : std::min<double>(rules_.max_concurrency, concurrency_ + 1 / concurrency_);
        return;
    }
    // Answers to what was sent before the trouble was known make it no greater.
    if (now < not_before_ && !retry_after) return;
    ++failures_;
    concurrency_ = 1;
    batch_ = static_cast<double>(rules_.min_batch);
    tokens_ = std::min(tokens_, batch_);
    backoff_ = backoff_ == Time{} ? rules_.initial_backoff : std::min(rules_.max_backoff, backoff_ * 2);
    const Time jittered = span_of(in_seconds(backoff_) * (0.5 + random_.next()));
    not_before_ = std::max(not_before_,
                           now + std::max(jittered, std::min(retry_after.value_or(Time{}), rules_.max_backoff * 10)));
}

}  // namespace plumkeel::remote_write
