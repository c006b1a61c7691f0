/// Counts, metrics and log lines of requests and attempts.
#pragma once

#include <cstdint>

#include "gateway/attempt_call.hpp"
#include "gateway/request_table.hpp"
#include "log/log.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::gateway {

/// Since the gateway's start.
struct RequestCounters {
    std::uint64_t received{}, succeeded{}, rejected{}, failed{}, cancelled{};
    std::uint64_t streamed{};        ///< responses that were passed on as they came
    std::uint64_t late_responses{};  ///< of attempts, after the request was over
    std::uint64_t attempts{}, health_checks{}, preloads{};
};

class RequestAccounting {
public:
    /// `metrics` may be null.
    RequestAccounting(net::EventLoop& loop, Log& log, metrics::GatewayMetrics* metrics)
        : loop_(loop), log_(log), metrics_(metrics) {}

    void request_received(bool is_client_retry);
    void attempt_sent() { ++counters_.attempts; }
    void response_streamed() { ++counters_.streamed; }
    void health_check_sent();
    void preload_sent();
    /// `late`: its request was over already.
    void attempt_ended(const AttemptCall& call, const CallResult& result, bool late);
    /// The scheduler has rejected or failed the request.
    void request_not_served(const ActiveRequest& request);
    /// Once for each request: it has its final response, or its client has disconnected.
    void request_completed(const ActiveRequest& request);

    const RequestCounters& counters() const { return counters_; }

private:
    void count_state(RequestState state);

    net::EventLoop& loop_;
    Log& log_;
    metrics::GatewayMetrics* const metrics_;
    RequestCounters counters_;
};

}  // namespace plumkeel::gateway
