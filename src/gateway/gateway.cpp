#include "gateway/gateway.hpp"

#include <fmt/format.h>

#include <cassert>
#include <utility>

#include "gateway/request_checks.hpp"

namespace plumkeel::gateway {

using namespace std::chrono_literals;

namespace {

trace::SchedulerSettings start_record(const GatewayConfig& config, std::uint64_t seed) {
    trace::SchedulerSettings start{config.name, seed, config.safety_rules, config.capabilities, {}, {}};
    for (const auto& [name, request_class] : config.request_classes)
        start.request_classes.emplace_back(name, request_class);
    for (const auto& [name, tenant] : config.tenants) start.tenants.emplace_back(name, tenant.quota_per_s);
    return start;
}

/// The request classes in the order in which start_record() lists them: by name.
std::vector<const RequestClass*> request_classes(const GatewayConfig& config) {
    std::vector<const RequestClass*> result;
    for (const auto& [name, request_class] : config.request_classes) result.push_back(&request_class);
    return result;
}

std::string make_incarnation(const std::string& name, Time wall_clock) {
    return fmt::format("{}/{:x}", name, wall_clock / 1ms);
}

/// Sets a flag from construction to destruction. The flag must not be set before.
class ScopedFlag {
public:
    explicit ScopedFlag(bool& flag) : flag_(flag) {
        assert(!flag_);
        flag_ = true;
    }
    ~ScopedFlag() { flag_ = false; }
    ScopedFlag(const ScopedFlag&) = delete;
    ScopedFlag& operator=(const ScopedFlag&) = delete;

private:
    bool& flag_;
};

}  // namespace

Gateway::Gateway(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed, PoolFactory make_pool,
                 trace::RecordCallback record)
    : loop_(loop),
      config_(std::move(config)),
      log_(log),
      admission_(config_.admission),
      requests_(config_.tenants),
      endpoints_(loop, log, config_.pool, std::move(make_pool)),
      scheduler_(start_record(config_, seed), request_classes(config_), requests_.tenants(), std::move(record),
                 config_.trace.record_candidates),
      invariants_(log),
      metrics_(config_.metrics.enabled ? std::make_unique<metrics::GatewayMetrics>(config_.metrics.config, config_.name)
                                       : nullptr),
      accounting_(loop, log, metrics_.get()),
      status_({loop_, log_, admission_, requests_, accounting_.counters(), endpoints_, invariants_, scheduler_},
              make_incarnation(config_.name, loop.wall_clock())),
      stall_monitor_(loop, admission_) {
    if (metrics_) metrics_collector_.emplace(loop, *metrics_, status_);
}

Gateway::~Gateway() {
    loop_.cancel(wake_timer_);
}

void Gateway::start() {
    if (metrics_collector_) metrics_collector_->start();
}

void Gateway::set_snapshot_extension(std::function<void(metrics::MetricSnapshot&)> extend_snapshot) {
    if (metrics_collector_) metrics_collector_->set_snapshot_extension(std::move(extend_snapshot));
}

void Gateway::shut_down(std::function<void()> on_drained) {
    on_drained_ = std::move(on_drained);
    admission_.close();
    notify_if_drained();
}

void Gateway::notify_if_drained() {
    if (!on_drained_ || admission_.open_requests() > 0) return;
    loop_.call_at(loop_.now(), std::exchange(on_drained_, nullptr));
}

// ---------------------------------------------------------------- events passed to the scheduler

template <class Event>
void Gateway::call_scheduler(Event event) {
    const ScopedFlag in_call(in_scheduler_call_);
    last_scheduler_call_at_ = loop_.now();
    const Actions actions = event(scheduler_, last_scheduler_call_at_);
    apply(actions);
}

ActiveRequest* Gateway::submit(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink) {
    const bool is_client_retry = incoming.is_client_retry;
    ActiveRequest& request = requests_.add(std::move(incoming), std::move(sink), loop_.now());
    const std::uint64_t id = request.id;
    accounting_.request_received(is_client_retry);
    stall_monitor_.request_received();
    call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) { return scheduler.submit(now, request); });
    ActiveRequest* const submitted = requests_.find(id);
    return submitted && !submitted->is_completed() ? submitted : nullptr;
}

void Gateway::client_disconnected(ActiveRequest& request) {
    request.sink = nullptr;
    call_scheduler(
        [&](trace::RecordingScheduler& scheduler, Time now) { return scheduler.client_disconnected(now, request); });
    complete(request);
    deliver_held_results(request);
}

void Gateway::on_attempt_sent(const AttemptCall& call) {
    check_attempt_sent(invariants_, call, config_.capabilities, loop_.now());
}

bool Gateway::on_response_stream_begin(AttemptCall& call, unsigned status, const std::string& forwarded_headers) {
    ActiveRequest& request = *call.request;
    if (request.is_completed() || request.streaming_call || !request.sink) return false;
    request.streaming_call = &call;
    call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) {
        return scheduler.response_started(now, call.scheduler_attempt());
    });
    accounting_.response_streamed();
    request.sink->begin_stream(request, status, forwarded_headers);
    // The client gets this response, so the request's other attempts are cancelled.
    for (const auto& other : request.calls)
        if (other.get() != &call && other->attempt->in_flight) other->endpoint().pool->cancel(*other);
    return true;
}

void Gateway::on_attempt_ended(AttemptCall& call, CallResult result) {
    ActiveRequest& request = *call.request;
    // While an attempt's response is streamed, the results of other attempts are held; the scheduler gets them later.
    if (request.streaming_call && request.streaming_call != &call && !request.is_completed()) {
        call.held_result = std::move(result);
        return;
    }
    const bool late = request.is_completed();
    accounting_.attempt_ended(call, result, late);
    const std::uint64_t id = request.id;
    // The client's response is sent before the scheduler's actions are applied.
    call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) {
        Actions actions = scheduler.attempt_ended(now, call.scheduler_attempt(), result.outcome, result.load_event,
                                                  result.concurrent_requests, result.report);
        if (!late && request.is_completed() && request.state != RequestState::rejected &&
            request.state != RequestState::failed)
            finish_response(request, result);
        return actions;
    });
    // Applying the Actions may have erased the request, if the scheduler rejected or failed it.
    if (requests_.find(id)) deliver_held_results(request);
}

void Gateway::on_health_check_ended(InvokerEndpoint& endpoint, const CallResult& result) {
    const bool succeeded = result.status && result.outcome == AttemptOutcome::succeeded;
    call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) {
        return scheduler.health_check_ended(now, endpoint, succeeded, result.report);
    });
}

void Gateway::on_preload_ended(const PreloadCall& call, const CallResult& result) {
    Function* const function = requests_.find_function(call.function);
    if (call.kind == UpstreamCall::Kind::unload_copies || !function) return;
    call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) {
        return scheduler.preload_ended(now, *function, call.endpoint(), result.outcome, result.copies);
    });
}

void Gateway::update_endpoints(const std::vector<Endpoint>& changed, bool complete) {
    const std::vector<Invoker*> updated = endpoints_.update(changed);
    call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) {
        return scheduler.endpoints_changed(now, updated, complete);
    });
    if (complete)
        endpoints_.cancel_unsent_of_draining();
    else
        for (Invoker* invoker : updated) endpoints_.cancel_unsent_if_draining(invoker_endpoint(*invoker));
}

void Gateway::remove_endpoints(const std::vector<std::string>& names) {
    const std::vector<Invoker*> removed = endpoints_.find_listed(names);
    const auto still_listed = [&] { return endpoints_.listed_except(removed); };
    call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) {
        return scheduler.endpoints_removed(now, removed, still_listed);
    });
    for (Invoker* invoker : removed) endpoints_.cancel_unsent_if_draining(invoker_endpoint(*invoker));
}

// ---------------------------------------------------------------- actions returned by the scheduler

// The order matters: clients get their responses before new work is sent, and requests are erased before the functions
// and invokers that they refer to.
void Gateway::apply(const Actions& actions) {
    for (const Attempt* attempt : actions.to_cancel) cancel_attempt(*attempt);
    for (Request* request : actions.completed) send_rejection(active_request(*request));
    for (Attempt* attempt : actions.to_send) send_attempt(*attempt);
    for (Invoker* invoker : actions.to_probe) send_health_check(invoker_endpoint(*invoker));
    for (const PreloadCommand& command : actions.to_preload) send_preload(command);
    for (Request* request : actions.completed) requests_.erase_if_settled(active_request(*request));
    for (const Function* function : actions.released_functions) requests_.release_function(*function);
    for (Invoker* invoker : actions.released_invokers) endpoints_.remove(invoker_endpoint(*invoker));
    schedule_wake(actions.next_wake);
}

void Gateway::schedule_wake(Time at) {
    if (at >= wake_at_) return;
    loop_.cancel(wake_timer_);
    wake_at_ = at;
    wake_timer_ = loop_.call_at(wake_at_, [this] {
        wake_timer_ = {};
        wake_at_ = Time::max();
        endpoints_.check_clocks();
        call_scheduler([](trace::RecordingScheduler& scheduler, Time now) { return scheduler.wake(now); });
    });
}

void Gateway::cancel_attempt(const Attempt& attempt) {
    const ActiveRequest& request = active_request(*attempt.request);
    const auto number = static_cast<std::size_t>(attempt.number);
    const bool was_sent = number < request.calls.size();
    invariants_.check(was_sent, Invariant::cancelled_before_sent, [&] {
        return Invariants::Fields{{"request", request.name}, {"request_id", request.id}, {"attempt", attempt.number}};
    });
    if (!was_sent) return;
    AttemptCall& call = *request.calls[number];
    call.endpoint().pool->cancel(call);
}

void Gateway::send_attempt(Attempt& attempt) {
    ActiveRequest& request = active_request(*attempt.request);
    const auto call = std::make_shared<AttemptCall>(call_observer(), loop_, request, attempt);
    request.calls.push_back(call);
    // An invoker may close an idle connection just as an attempt is sent on it. An at-most-once request could not be
    // retried then, so its attempt is sent on a fresh connection.
    call->fresh_connection = request.request_class->idempotency == Idempotency::at_most_once;
    accounting_.attempt_sent();
    send_call(call, call->endpoint(), attempt.timeout);
}

void Gateway::send_health_check(InvokerEndpoint& endpoint) {
    accounting_.health_check_sent();
    send_call(std::make_shared<HealthCheckCall>(call_observer(), endpoint), endpoint,
              config_.pool.health_check_timeout);
}

void Gateway::send_preload(const PreloadCommand& command) {
    accounting_.preload_sent();
    InvokerEndpoint& endpoint = invoker_endpoint(*command.invoker);
    send_call(std::make_shared<PreloadCall>(call_observer(), endpoint, command), endpoint,
              config_.pool.preload_timeout);
}

// The timeout counts from the scheduler's decision, so that a pause of the process since then does not extend it.
void Gateway::send_call(std::shared_ptr<UpstreamCall> call, InvokerEndpoint& endpoint, Time timeout) {
    call->invoker = endpoint.name;
    call->deadline = last_scheduler_call_at_ + timeout;
    endpoint.pool->send(std::move(call));
}

// ---------------------------------------------------------------- final responses

// Sends the gateway's own final response to a request that the scheduler has rejected or failed.
void Gateway::send_rejection(ActiveRequest& request) {
    accounting_.request_not_served(request);
    if (request.sink) check_final_response(invariants_, request, loop_.now(), loop_.lag());
    if (const auto sink = std::exchange(request.sink, nullptr)) sink->send_rejection(request);
    complete(request);
}

// Called when an attempt has completed its request: its response is complete, or was interrupted while streaming.
void Gateway::finish_response(ActiveRequest& request, CallResult& result) {
    const bool succeeded = result.outcome == AttemptOutcome::succeeded;
    if (request.sink) check_final_response(invariants_, request, loop_.now(), loop_.lag());
    if (const auto sink = std::exchange(request.sink, nullptr)) {
        if (request.streaming_call)
            sink->end_stream(request, succeeded);
        else if (succeeded)
            sink->send_response(request, result.status, result.forwarded_headers, std::move(result.body));
    }
    complete(request);
}

// Called once for each request, when it has its final response or its client has disconnected. The request is erased
// later, when none of its attempts is in flight.
void Gateway::complete(ActiveRequest& request) {
    admission_.release_request();
    admission_.release(request.held_bytes);
    for (const auto& call : request.calls) call->endpoint().pool->cancel_if_unsent(*call);
    accounting_.request_completed(request);
    notify_if_drained();
}

// Passes the results that were held while a response was streamed to the scheduler. Erases the request if it is
// completed and none of its attempts is in flight.
void Gateway::deliver_held_results(ActiveRequest& request) {
    const auto calls = request.calls;
    for (const auto& call : calls) {
        if (!request.is_completed() || !call->held_result) continue;
        const CallResult result = *std::exchange(call->held_result, std::nullopt);
        call_scheduler([&](trace::RecordingScheduler& scheduler, Time now) {
            return scheduler.attempt_ended(now, call->scheduler_attempt(), result.outcome, result.load_event,
                                           result.concurrent_requests, result.report);
        });
    }
    requests_.erase_if_settled(request);
}

}  // namespace plumkeel::gateway
