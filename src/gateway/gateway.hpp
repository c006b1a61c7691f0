/// The gateway passes events to a Scheduler and applies the Actions that the scheduler returns. A process has one
/// Gateway with one Scheduler, on one thread. Whether a request is accepted is decided by Admission; which invoker runs
/// it, and when, by the scheduler.
///
/// Ownership: RequestTable owns the requests and, through them, the calls of their attempts; EndpointRegistry owns the
/// invokers and their connection pools; a pool owns its connections and shares each call until the call has ended; the
/// server for clients owns its connections (ResponseSinks). The class that stores a timer in a member cancels it.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.hpp"
#include "config/gateway_config.hpp"
#include "gateway/attempt_call.hpp"
#include "gateway/edges.hpp"
#include "gateway/endpoint.hpp"
#include "gateway/endpoint_registry.hpp"
#include "gateway/invariants.hpp"
#include "gateway/metrics_collector.hpp"
#include "gateway/request_accounting.hpp"
#include "gateway/request_table.hpp"
#include "gateway/stall_monitor.hpp"
#include "gateway/status.hpp"
#include "log/log.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"
#include "trace/recording_scheduler.hpp"

namespace plumkeel::gateway {

class Gateway final : private CallObserver {
public:
    /// `make_pool` must not open a connection yet. `record` receives every scheduler call and its result, for traces.
    Gateway(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed, PoolFactory make_pool,
            trace::RecordCallback record = {});
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void start();
    /// Admits no more requests; calls `on_drained` once every open request has its final response.
    void shut_down(std::function<void()> on_drained);

    /// Submits a request that Admission has accepted. Returns null if the request already has its final response; else
    /// the pointer is valid until `sink` gets that response.
    ActiveRequest* submit(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink);
    /// Cancels a request whose client has disconnected. Its sink is released and not called again.
    void client_disconnected(ActiveRequest& request);
    /// The longest time for which bytes that are read now may have waited in their socket; above 0 only after a pause
    /// of the process. `callback_delay`: how late the event loop ran the caller's callback, if the caller measured it.
    Time max_unread_time(Time callback_delay = {}) const { return stall_monitor_.max_unread_time(callback_delay); }

    /// Applies a new list of invokers. `complete`: `changed` is the whole list, and all other invokers are removed.
    void update_endpoints(const std::vector<Endpoint>& changed, bool complete);
    void remove_endpoints(const std::vector<std::string>& names);
    void set_list_age_source(ListConfirmedAt confirmed_at) { status_.set_list_age_source(std::move(confirmed_at)); }

    net::EventLoop& loop() { return loop_; }
    const GatewayConfig& config() const { return config_; }
    Admission& admission() { return admission_; }
    Log& log() { return log_; }
    /// Name and start time of this gateway, sent to invokers with each attempt.
    const std::string& incarnation() const { return status_.incarnation(); }
    void on_malformed_response(MalformedCallback callback) {
        endpoints_.connection_counts().on_malformed = std::move(callback);
    }
    Invariants& invariants() { return invariants_; }
    boost::json::object status() const { return status_.status(); }
    boost::json::array estimates() const { return status_.estimates(); }
    /// Null if the settings disable metrics. Gauges are updated at intervals, by MetricsCollector.
    metrics::GatewayMetrics* metrics() { return metrics_.get(); }
    void set_snapshot_extension(std::function<void(metrics::MetricSnapshot&)> extend_snapshot);

private:
    CallObserver& call_observer() { return *this; }
    const Capabilities& capabilities() const override { return config_.capabilities; }
    void on_attempt_sent(const AttemptCall& call) override;
    bool on_response_stream_begin(AttemptCall& call, unsigned status, const std::string& forwarded_headers) override;
    void on_attempt_ended(AttemptCall& call, CallResult result) override;
    void on_health_check_ended(InvokerEndpoint& endpoint, const CallResult& result) override;
    void on_preload_ended(const PreloadCall& call, const CallResult& result) override;

    /// Every call into the scheduler goes through this function: `event` calls the scheduler and returns its Actions,
    /// which are applied before call_scheduler() returns. It must not be called while Actions are being applied.
    template <class Event>
    void call_scheduler(Event event);
    void apply(const Actions& actions);
    void cancel_attempt(const Attempt& attempt);
    void send_attempt(Attempt& attempt);
    void send_health_check(InvokerEndpoint& endpoint);
    void send_preload(const PreloadCommand& command);
    void send_call(std::shared_ptr<UpstreamCall> call, InvokerEndpoint& endpoint, Time timeout);
    void schedule_wake(Time at);

    void send_rejection(ActiveRequest& request);
    void finish_response(ActiveRequest& request, CallResult& result);
    void complete(ActiveRequest& request);
    void deliver_held_results(ActiveRequest& request);
    void notify_if_drained();

    net::EventLoop& loop_;
    const GatewayConfig config_;
    Log& log_;
    Admission admission_;
    RequestTable requests_;
    EndpointRegistry endpoints_;
    trace::RecordingScheduler scheduler_;
    Invariants invariants_;
    std::unique_ptr<metrics::GatewayMetrics> metrics_;  // null if the settings disable metrics
    RequestAccounting accounting_;
    StatusReader status_;
    std::optional<MetricsCollector> metrics_collector_;  // present if metrics_ is not null
    StallMonitor stall_monitor_;
    net::EventLoop::TimerKey wake_timer_{};
    Time wake_at_ = Time::max();
    bool in_scheduler_call_{};
    Time last_scheduler_call_at_{};
    std::function<void()> on_drained_;
};

}  // namespace plumkeel::gateway
