/// Counters, metrics and log lines of requests and attempts.
#pragma once

#include <cstdint>

#include "gateway/attempt_call.hpp"
#include "gateway/request_table.hpp"
#include "log/log.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::gateway {

/// Counters since the gateway's start.
struct RequestCounters {
    std::uint64_t received{}, succeeded{}, rejected{}, failed{}, cancelled{};
    std::uint64_t streamed{};        ///< responses that were streamed to the client
    std::uint64_t late_responses{};  ///< responses of attempts whose request was already completed
    std::uint64_t attempts{}, health_checks{}, preloads{};
};

class RequestAccounting {
public:
    /// `metrics` is null if the settings disable metrics.
    RequestAccounting(net::EventLoop& loop, Log& log, metrics::GatewayMetrics* metrics)
        : loop_(loop), log_(log), metrics_(metrics) {}

    void request_received(bool is_client_retry);
    void attempt_sent() { ++counters_.attempts; }
    void response_streamed() { ++counters_.streamed; }
    void health_check_sent();
    void preload_sent();
    /// `late`: the request was completed before this attempt ended.
    void attempt_ended(const AttemptCall& call, const CallResult& result, bool late);
    /// Logs that the scheduler has rejected or failed the request.
    void request_not_served(const ActiveRequest& request);
    /// Called once for each request, when it has its final response or its client has disconnected.
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
