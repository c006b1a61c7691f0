#include "remote_write/send_controller.hpp"

#include <algorithm>

namespace plumkeel::remote_write {
namespace {

constexpr Time min_token_wait = std::chrono::milliseconds(1);
constexpr int max_retry_after_ratio = 10;  // limits Retry-After to this multiple of max_backoff
constexpr double min_jitter_factor = 0.5;  // a backoff is multiplied by a random factor from 0.5 to 1.5

double to_seconds(Time duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

Time from_seconds(double seconds) {
    return Time(static_cast<Time::rep>(std::max(0.0, seconds) * 1e6));
}

}  // namespace

SendController::SendController(SendControlConfig config, std::uint64_t seed)
    : config_(config),
      random_(seed),
      batch_limit_(static_cast<double>(config.min_batch)),
      tokens_(static_cast<double>(config.max_batch)) {}

SendController::Permit SendController::request_permit(Time now, double inflow) {
    if (now < backoff_until_) return {0, backoff_until_};
    if (batches_in_flight_ >= concurrency()) return {0, Time::max()};
    const double rate = std::max(config_.min_rate, config_.catch_up_ratio * inflow);
    // The token bucket holds the tokens of one second or of one full batch, whichever is more.
    const double bucket_size = std::max(rate, static_cast<double>(config_.max_batch));
    tokens_ = std::min(bucket_size, tokens_ + rate * to_seconds(now - tokens_refilled_at_));
    tokens_refilled_at_ = now;
    const double required_tokens = std::min(batch_limit_, static_cast<double>(config_.min_batch));
    if (tokens_ < required_tokens)
        return {0, now + std::max(from_seconds((required_tokens - tokens_) / rate), min_token_wait)};
    return {static_cast<std::size_t>(std::min(batch_limit_, tokens_)), {}};
}

void SendController::on_sent(Time, std::size_t samples) {
    ++batches_in_flight_;
    tokens_ -= static_cast<double>(samples);
}

void SendController::on_result(Time now, SendResult result, Time duration, std::optional<Time> retry_after) {
    batches_in_flight_ = std::max(0, batches_in_flight_ - 1);
    if (result == SendResult::accepted || result == SendResult::rejected)
        record_response(duration);
    else
        record_failure(now, retry_after);
}

void SendController::record_response(Time duration) {
    consecutive_failures_ = 0;
    backoff_ = {};
    batch_limit_ = std::min(static_cast<double>(config_.max_batch), batch_limit_ * 2);
    if (duration > config_.slow_response)
        concurrency_ = std::max(1.0, concurrency_ / 2);
    else
        concurrency_ = std::min<double>(config_.max_concurrency, concurrency_ + 1 / concurrency_);
}

void SendController::record_failure(Time now, std::optional<Time> retry_after) {
    // A batch that was in flight when the backoff began must not extend it by failing.
    if (now < backoff_until_ && !retry_after) return;
    ++consecutive_failures_;
    concurrency_ = 1;
    batch_limit_ = static_cast<double>(config_.min_batch);
    tokens_ = std::min(tokens_, batch_limit_);
    backoff_ = backoff_ == Time{} ? config_.initial_backoff : std::min(config_.max_backoff, backoff_ * 2);
    const Time jittered_backoff = from_seconds(to_seconds(backoff_) * (min_jitter_factor + random_.next()));
    const Time requested_delay = std::min(retry_after.value_or(Time{}), config_.max_backoff * max_retry_after_ratio);
    backoff_until_ = std::max(backoff_until_, now + std::max(jittered_backoff, requested_delay));
}

}  // namespace plumkeel::remote_write
