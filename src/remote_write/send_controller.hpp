/// Flow control towards one remote write receiver: when the next batch may be sent and how large it may be.
///
/// Pure decisions, without I/O or a clock of its own. Several shards may send at once, each with its own series, so
/// that the order within a series is kept. A failing receiver gets one small batch after a growing, jittered backoff.
/// A receiver that recovers gets more concurrent batches and larger ones step by step, and while a backlog lasts the
/// rate is bounded by a multiple of the inflow, so that the recovered receiver is not overloaded at once.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "random/pcg.hpp"

namespace plumkeel::remote_write {

using Time = std::chrono::microseconds;

struct SendControlConfig {
    int max_concurrency = 4;                        ///< batches in flight
    std::size_t max_batch = 2000, min_batch = 200;  ///< samples in a batch
    Time initial_backoff = std::chrono::milliseconds(200), max_backoff = std::chrono::seconds(30);
    Time slow_response = std::chrono::seconds(2);  ///< a response that takes longer halves the concurrency
    double catch_up_ratio = 4;                     ///< send rate relative to the inflow while there is a backlog
    double min_rate = 500;                         ///< samples per second that are always allowed
};

/// What a receiver made of one batch.
enum class SendResult {
    accepted,
    retryable,  ///< status 5xx or 429: the receiver may accept the same batch later
    rejected,   ///< any other status but 2xx: the receiver will never accept this batch
    unknown,    ///< no response: the receiver may or may not have stored the batch
};

class SendController {
public:
    SendController(SendControlConfig config, std::uint64_t seed);

    struct Permit {
        std::size_t samples{};  ///< largest batch that may be sent now; 0: none
        Time retry_at{};        ///< if none, when to ask again; Time::max(): after the next result
    };
    /// Whether an idle shard may send now. `inflow` is the rate of new samples per second.
    Permit request(Time now, double inflow);
    void on_sent(Time now, std::size_t samples);
    /// `retry_after` is the delay that the receiver asked for, if any.
    void on_result(Time now, SendResult result, Time duration, std::optional<Time> retry_after);

    /// Batches that may be in flight at once.
    int concurrency() const { return static_cast<int>(concurrency_); }
    bool is_backing_off(Time now) const { return now < backoff_until_; }
    int consecutive_failures() const { return consecutive_failures_; }

private:
    void record_response(Time duration);
    void record_failure(Time now, std::optional<Time> retry_after);

    const SendControlConfig config_;
    Pcg random_;
    double concurrency_ = 1;
    double batch_limit_;  // samples
    double tokens_;       // token bucket: samples that may be sent at once
    Time tokens_refilled_at_{}, backoff_until_{}, backoff_{};
    int batches_in_flight_{}, consecutive_failures_{};
};

}  // namespace plumkeel::remote_write
