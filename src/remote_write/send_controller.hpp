/// Flow control towards one remote write receiver: when the next batch may be sent and how large it may be.
///
/// Does no I/O and reads no clock. Several shards may send at the same time; since each series belongs to one shard,
/// its samples stay in order. While a receiver fails, it gets one small batch after an exponential backoff with jitter.
/// After it has recovered, the number and size of concurrent batches grow step by step, and the send rate is limited to
/// a multiple of the inflow, so that a backlog does not overload the receiver.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "random/pcg.hpp"

namespace plumkeel::remote_write {

using Time = std::chrono::microseconds;

struct SendControlConfig {
    int max_concurrency = 4;                        ///< limit of batches in flight
    std::size_t max_batch = 2000, min_batch = 200;  ///< largest batch, and its size after a failure, in samples
    Time initial_backoff = std::chrono::milliseconds(200), max_backoff = std::chrono::seconds(30);
    Time slow_response = std::chrono::seconds(2);  ///< a response that takes longer halves the concurrency
    double catch_up_ratio = 4;                     ///< send rate relative to the inflow while there is a backlog
    double min_rate = 500;                         ///< samples per second that may be sent even if the inflow is lower
};

/// The result of sending one batch to a receiver.
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
        std::size_t samples{};  ///< size of the largest batch that may be sent now; 0: none may be sent
        Time retry_at{};        ///< if `samples` is 0: when to ask again; Time::max(): after the next result
    };
    /// Decides whether a shard without a batch in flight may send now. `inflow` is the rate of new samples per second.
    Permit request_permit(Time now, double inflow);
    void on_sent(Time now, std::size_t samples);
    /// `retry_after` is the delay that the receiver asked for, if any.
    void on_result(Time now, SendResult result, Time duration, std::optional<Time> retry_after);

    /// Number of batches that may be in flight at the same time.
    int concurrency() const { return static_cast<int>(concurrency_); }
    bool is_backing_off(Time now) const { return now < backoff_until_; }
    int consecutive_failures() const { return consecutive_failures_; }

private:
    void record_response(Time duration);
    void record_failure(Time now, std::optional<Time> retry_after);

    const SendControlConfig config_;
    Pcg random_;
    double concurrency_ = 1;
    double batch_limit_;  // largest batch, in samples
    double tokens_;       // number of samples that the token bucket allows to send now
    Time tokens_refilled_at_{}, backoff_until_{}, backoff_{};
    int batches_in_flight_{}, consecutive_failures_{};
};

}  // namespace plumkeel::remote_write
