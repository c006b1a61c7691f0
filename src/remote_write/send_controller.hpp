// When the next batch may go to a receiver and how large it may be: pure decisions, for one receiver.
//
// It sends through a few lanes at once, each with its own part of the series, so that order within a series is
// kept. A receiver in trouble gets one small batch after a growing, jittered pause; one that is back gets more
// lanes and larger batches step by step, and while a backlog lasts no more samples a second than a stated multiple
// of what comes in: guards against knocking over again what has just come back.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "random/pcg.hpp"

namespace plumkeel::remote_write {

using Time = std::chrono::microseconds;

struct SendControlConfig {
    int max_concurrency = 4;
    std::size_t max_batch = 2000, min_batch = 200;  // a batch
    Time initial_backoff = std::chrono::milliseconds(200), max_backoff = std::chrono::seconds(30);
    Time slow_response = std::chrono::seconds(2);  // an answer that takes longer halves the lanes
    double catch_up_ratio = 4;                     // times what comes in, while there is a backlog
    double min_rate = 500;                         // samples a second that are always allowed
};

enum class SendResult {
    accepted,
    retryable,  // 5xx or 429: it may take the same batch another time
    rejected,   // another 4xx: this batch will never be taken
    unknown,    // no answer: whether it took the batch is not known
};

class SendController {
public:
    SendController(SendControlConfig rules, std::uint64_t seed);

    struct Permit {
        std::size_t samples{};  // 0: not now
        Time retry_at{};        // then ask at this moment, or when an answer comes if it is Time::max()
    };
    // May a lane that is idle send now? `inflow` is in samples a second.
    Permit request(Time now, double inflow);
    void on_sent(Time now, std::size_t samples);
    void on_result(Time now, SendResult heard, Time took, std::optional<Time> retry_after);

    int concurrency() const { return static_cast<int>(concurrency_); }  // lanes that may be busy at once
    bool is_backing_off(Time now) const { return now < not_before_; }
    int failures() const { return failures_; }  // in a row

private:
    const SendControlConfig rules_;
    Pcg random_;
    double concurrency_ = 1, batch_;
    double tokens_;
    Time filled_{}, not_before_{}, backoff_{};
    int busy_{}, failures_{};
};

}  // namespace plumkeel::remote_write
