#include "gateway/gateway.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "trace/names.hpp"

namespace plumkeel::gateway {

using namespace std::chrono_literals;

// While requests are open this thread has something due so often: by how late it comes a pause of the process is
// noticed.
constexpr Time pulse_every = 40ms;
constexpr Time longest_quiet = 250ms;  // with no request open: sweeps of the module and looks of its host
constexpr Time answer_grace = 58ms;    // rules.grace_to_answer as the protocol page gives it, and the 50 ms of sockets

class AttemptCall : public UpstreamCall {
public:
    AttemptCall(Gateway& gateway, ActiveRequest& of, Attempt& as)
        : UpstreamCall(Kind::attempt), gateway_(gateway), request(of), attempt(as) {
        UpstreamCall::request = &of;
        UpstreamCall::attempt = &as;
    }

    void on_ended(CallResult outcome) override { gateway_.attempt_ended(*this, std::move(outcome)); }
    void on_sent() override {
        left = gateway_.loop_.now();
        gateway_.check_sent(*this);
    }
    bool on_stream_begin(unsigned status, const std::string& passed) override {
        return gateway_.stream_begins(*this, status, passed);
    }
    void on_chunk(std::string bytes) override {
        if (request.sink) request.sink->write_chunk(request, std::move(bytes));
    }
    net::Task<bool> wait_writable() override {
        if (!request.sink) co_return false;
        co_return co_await request.sink->wait_writable();
    }

private:
    Gateway& gateway_;

public:
    ActiveRequest& request;
    Attempt& attempt;
    std::optional<Time> left;             // when its first byte did
    std::optional<CallResult> held_back;  // it ended while another hop's answer streams
};

class HealthCheckCall : public UpstreamCall {
public:
    HealthCheckCall(Gateway& gateway, InvokerEndpoint& post)
        : UpstreamCall(Kind::health_check), gateway_(gateway), post_(post) {}
    void on_ended(CallResult outcome) override {
        const bool answered = outcome.status && outcome.outcome == AttemptOutcome::succeeded;
        gateway_.call_scheduler([&](trace::RecordingScheduler& it, Time now) {
            return it.health_check_ended(now, post_, answered, outcome.report);
        });
    }

private:
    Gateway& gateway_;
    InvokerEndpoint& post_;
};

class PreloadCall : public UpstreamCall {
public:
    PreloadCall(Gateway& gateway, InvokerEndpoint& post, const PreloadCommand& order)
        : UpstreamCall(order.copies > 0 ? Kind::load_copies : Kind::unload_copies), gateway_(gateway), post_(post) {
        function = order.function->name;
        copies = order.copies;
    }
    void on_ended(CallResult outcome) override {
        const auto it = gateway_.functions_.find(function);
        if (kind == Kind::unload_copies || it == gateway_.functions_.end()) return;
        gateway_.call_scheduler([&](trace::RecordingScheduler& controller, Time now) {
            return controller.preload_ended(now, *it->second, post_, outcome.outcome, outcome.copies);
        });
    }

private:
    Gateway& gateway_;
    InvokerEndpoint& post_;
};

namespace {

double pace_told(const Invoker& invoker) {
    return invoker.type ? invoker.type->slowdown_factor * invoker.load.slowdown_factor : invoker.load.slowdown_factor;
}

trace::Start start_of(const GatewayConfig& config, std::uint64_t seed) {
    trace::Start start{config.name, seed, config.safety_rules, config.capabilities, {}, {}};
    for (const auto& [name, use] : config.request_classes) start.request_classes.emplace_back(name, use);
    for (const auto& [name, tenant] : config.tenants) start.tenants.emplace_back(name, tenant.quota_per_s);
    return start;
}

// In the order of start_of().
std::vector<const RequestClass*> use_cases_of(const GatewayConfig& config) {
    std::vector<const RequestClass*> out;
    for (const auto& [name, use] : config.request_classes) out.push_back(&use);
    return out;
}

std::vector<const Tenant*> tenants_of(const std::map<std::string, Tenant>& tenants) {
    std::vector<const Tenant*> out;
    for (const auto& [name, tenant] : tenants) out.push_back(&tenant);
    return out;
}

}  // namespace

Gateway::Gateway(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed, PoolFactory pool_for,
                 trace::RecordCallback recorded)
    : loop_(loop),
      config_(std::move(config)),
      log_(log),
      pool_for_(std::move(pool_for)),
      admission_(config_.admission),
      incarnation_(fmt::format("{}/{:x}", config_.name, loop.wall_clock() / 1ms)),
      tenants_(config_.tenants),
      scheduler_(start_of(config_, seed), use_cases_of(config_), tenants_of(tenants_), std::move(recorded),
                 config_.trace.record_candidates),
      invariants_(log) {
    start_clock_.look(loop_.now(), loop_.wall_clock());
    if (config_.metrics.enabled)
        metrics_ = std::make_unique<metrics::GatewayMetrics>(config_.metrics.config, config_.name);
}

Gateway::~Gateway() {
    loop_.cancel(metrics_timer_);
    loop_.cancel(stall_timer_);
}

void Gateway::start() {
    metrics_due_at_ = loop_.now();
    if (metrics_) collect_metrics();
}

void Gateway::shut_down(std::function<void()> then) {
    on_drained_ = std::move(then);
    admission_.close();
    check_drained();
}

void Gateway::check_drained() {
    if (!on_drained_ || admission_.open_requests() > 0) return;
    loop_.call_at(loop_.now(), std::exchange(on_drained_, nullptr));
}

// ---------------------------------------------------------------- what happens

template <class Call>
void Gateway::call_scheduler(Call call) {
    assert(!in_call_);  // carrying out never calls back before it returns
    in_call_ = true;
    last_call_at_ = loop_.now();
    const Actions results = call(scheduler_, last_call_at_);
    apply(results);
    in_call_ = false;
}

ActiveRequest* Gateway::submit(IncomingRequest wanted, std::shared_ptr<ResponseSink> sink) {
    std::unique_ptr<Function>& function = functions_[wanted.function];
    if (!function) function = std::make_unique<Function>();
    function->name = wanted.function;
    function->concurrency = wanted.concurrency;
    if (wanted.declared_load_time) function->declared_load_time = wanted.declared_load_time;

    auto fresh = std::make_unique<ActiveRequest>();
    ActiveRequest& request = *fresh;
    request.id = ++ids_;
    request.request_class = wanted.request_class;
    request.function = function.get();
    const Time since_read = wanted.read_at ? loop_.now() - *wanted.read_at : Time{};
    request.remaining = std::max(Time{}, wanted.remaining - wanted.waited - since_read);
    request.is_client_retry = wanted.is_client_retry;
    if (const auto tenant = tenants_.find(wanted.tenant); tenant != tenants_.end()) {
        request.tenant = &tenant->second;
        request.tenant_name = tenant->first;
    }
    request.sink = std::move(sink);
    request.held_bytes = wanted.held_bytes;
    request.name = std::move(wanted.name);
    request.sink_key = wanted.sink_key;
    request.idempotency_key = std::move(wanted.idempotency_key);
    request.forwarded_headers = std::move(wanted.forwarded_headers);
    request.concurrency = wanted.concurrency;
    request.memory = wanted.memory;
    request.body = std::make_shared<const std::string>(std::move(wanted.body));
    requests_[request.id] = std::move(fresh);
    ++counters_.received;
    if (metrics_) metrics_->request_received(wanted.is_client_retry);

    if (!stall_timer_.second) check_stall();
    call_scheduler([&](trace::RecordingScheduler& it, Time now) { return it.submit(now, request); });
    const auto still = requests_.find(ids_);
    return still == requests_.end() || request.is_completed() ? nullptr : &request;
}

// How long what is read now may have stood in its socket. Its client's time has run since it came.
Time Gateway::waited_unread(Time late) const {
    late = std::max(late, loop_.lag());
    if (late <= net::EventLoop::stall_threshold) return {};
    return late + (stall_timer_.second ? pulse_every
                                       : longest_quiet);  // the pause began up to so long before something was due
}

void Gateway::check_stall() {
    stall_timer_ = {};
    if (admission_.open_requests() == 0) return;
    stall_timer_ = loop_.call_at(loop_.now() + pulse_every, [this] { check_stall(); });
}

void Gateway::client_disconnected(ActiveRequest& request) {
    request.sink = nullptr;
    call_scheduler([&](trace::RecordingScheduler& it, Time now) { return it.client_disconnected(now, request); });
    count(request);
    deliver_held_results(request);
}

bool Gateway::stream_begins(AttemptCall& call, unsigned status, const std::string& passed) {
    ActiveRequest& request = call.request;
    if (request.is_completed() || request.streaming_call || !request.sink) return false;
    request.streaming_call = &call;
    call_scheduler([&](trace::RecordingScheduler& it, Time now) { return it.response_started(now, call.attempt); });
    ++counters_.streamed;
    request.sink->begin_stream(request, status, passed);
    // The job is bound to this answer: no other hop of it can be of use any more.
    for (const auto& other : request.calls)
        if (other.get() != &call && other->attempt.in_flight)
            static_cast<InvokerEndpoint&>(*other->attempt.invoker).pool->cancel(*other);
    return true;
}

void Gateway::attempt_ended(AttemptCall& call, CallResult outcome) {
    ActiveRequest& request = call.request;
    // While an answer streams, the module is told of the others' ends behind it: they decide nothing.
    if (request.streaming_call && request.streaming_call != &call && !request.is_completed()) {
        call.held_back = std::move(outcome);
        return;
    }
    const bool late = request.is_completed();
    if (metrics_)
        metrics_->attempt_ended({outcome.outcome, outcome.load_event, call.attempt.expected_warm,
                                 call.attempt.starts_load, loop_.now() - call.attempt.sent_at});
    const bool whole = outcome.outcome == AttemptOutcome::succeeded;
    if (late && whole) ++counters_.late;
    if (log_.is_enabled(Log::Level::debug))
        log_.write(Log::Level::debug, "hop_ended",
                   {{"request", request.name},
                    {"job", request.id},
                    {"hop", call.attempt.number},
                    {"invoker", call.attempt.invoker->name},
                    {"left", call.left.has_value()},
                    {"ending", trace::name_of(outcome.outcome)},
                    {"late", late},
                    {"note", trace::name_of(outcome.load_event)},
                    {"company", outcome.concurrent_requests},
                    {"warm", call.attempt.expected_warm},
                    {"function", request.function->name},
                    {"crowd", call.attempt.estimated_load},
                    {"took_ms", static_cast<double>((loop_.now() - call.attempt.sent_at).count()) / 1000}});
    const std::uint64_t id = request.id;
    // The client's answer leaves before what the end of the hop sets going.
    call_scheduler([&](trace::RecordingScheduler& it, Time now) {
        Actions results = it.attempt_ended(now, call.attempt, outcome.outcome, outcome.load_event,
                                           outcome.concurrent_requests, outcome.report);
        if (!late && request.is_completed() && request.state != RequestState::rejected &&
            request.state != RequestState::failed) {
            if (request.sink) check_answer(request);
            const auto sink = std::exchange(request.sink, nullptr);
            if (!sink) {
            } else if (request.streaming_call) {
                sink->end_stream(request, whole);
            } else if (whole) {
                sink->send_response(request, outcome.status, outcome.forwarded_headers, std::move(outcome.body));
            }
            count(request);
        }
        return results;
    });
    // An answer that the module gave by itself may have closed the job meanwhile.
    if (requests_.count(id)) deliver_held_results(request);
}

// Tells the module of the ends that were held back behind a streaming answer, and lets a closed job go.
void Gateway::deliver_held_results(ActiveRequest& request) {
    const auto errands = request.calls;
    for (const auto& call : errands)
        if (request.is_completed() && call->held_back) {
            const CallResult then = *std::exchange(call->held_back, std::nullopt);
            call_scheduler([&](trace::RecordingScheduler& it, Time now) {
                return it.attempt_ended(now, call->attempt, then.outcome, then.load_event, then.concurrent_requests,
                                        then.report);
            });
        }
    erase_if_settled(request);
}

void Gateway::check_clocks() {
    const std::size_t steps = start_clock_.steps();
    start_clock_.look(loop_.now(), loop_.wall_clock());
    if (start_clock_.steps() != steps)
        log_.write(Log::Level::warn, "wall_clock_stepped", {{"steps", start_clock_.steps()}});
}

void Gateway::update_endpoints(const std::vector<gateway::Endpoint>& changed, bool complete) {
    std::vector<Invoker*> invokers;
    check_clocks();
    std::size_t left_out = 0;
    for (const gateway::Endpoint& entry : changed) {
        if (endpoints_.size() >= config_.pool.max_invokers && !endpoints_.count(entry.name)) {
            ++left_out;
            continue;
        }
        std::unique_ptr<InvokerEndpoint>& post = endpoints_[entry.name];
        if (!post) post = std::make_unique<InvokerEndpoint>();
        post->name = entry.name;
        post->ready = entry.ready;
        post->capacity = entry.capacity;
        post->zone = entry.zone;
        post->type = &invoker_types_[entry.type];
        post->cell = entry.cell;
        post->draining_since = entry.ready ? std::nullopt : post->draining_since ? post->draining_since : loop_.now();
        // The same start told again is the same moment, whatever the clocks have done since.
        if (entry.started_at != post->announced_start) {
            post->announced_start = entry.started_at;
            post->started_at.reset();
            if (entry.started_at) post->started_at = start_clock_.moment_of(*entry.started_at, loop_.now());
        }
        const auto address = net::Address::parse(entry.address);
        if (post->pool)
            post->pool->set_address(*address);
        else
            post->pool = pool_for_(*address, connection_counts_);
        invokers.push_back(post.get());
    }
    if (left_out > 0)
        log_.write(Log::Level::error, "list_over_bound", {{"left_out", left_out}, {"most", config_.pool.max_invokers}});
    call_scheduler(
        [&](trace::RecordingScheduler& it, Time now) { return it.endpoints_changed(now, invokers, complete); });
    if (complete)
        for (const auto& [name, post] : endpoints_) cancel_unsent(*post);
    else
        for (Invoker* invoker : invokers) cancel_unsent(static_cast<InvokerEndpoint&>(*invoker));
}

void Gateway::remove_endpoints(const std::vector<std::string>& names) {
    std::vector<Invoker*> gone;
    for (const std::string& name : names)
        if (const auto found = endpoints_.find(name); found != endpoints_.end() && found->second->is_listed)
            gone.push_back(found->second.get());
    const auto still_listed = [&] {
        std::vector<Invoker*> out;
        for (const auto& [name, post] : endpoints_)
            if (post->is_listed && std::find(gone.begin(), gone.end(), post.get()) == gone.end())
                out.push_back(post.get());
        return out;
    };
    call_scheduler(
        [&](trace::RecordingScheduler& it, Time now) { return it.endpoints_removed(now, gone, still_listed); });
    for (Invoker* invoker : gone) cancel_unsent(static_cast<InvokerEndpoint&>(*invoker));
}

// The module sends nothing new to what takes no more; what waits here for a connection is new as well.
void Gateway::cancel_unsent(InvokerEndpoint& post) {
    if (post.ready && post.is_listed) return;
    if (!post.draining_since) post.draining_since = loop_.now();
    post.pool->cancel_unsent();
}

// ---------------------------------------------------------------- carrying out

void Gateway::apply(const Actions& results) {
    for (Attempt* attempt : results.to_cancel) {
        const auto& call =
            static_cast<ActiveRequest*>(attempt->request)->calls[static_cast<std::size_t>(attempt->number)];
        static_cast<InvokerEndpoint*>(attempt->invoker)->pool->cancel(*call);
    }
    for (Request* request : results.completed) answer(static_cast<ActiveRequest&>(*request));
    for (Attempt* attempt : results.to_send) send_attempt(*attempt);
    for (Invoker* invoker : results.to_probe) send_health_check(static_cast<InvokerEndpoint&>(*invoker));
    for (const PreloadCommand& order : results.to_preload) send_preload(order);
    for (Request* request : results.completed) erase_if_settled(static_cast<ActiveRequest&>(*request));
    for (const Function* function : results.released_functions) functions_.erase(std::string(function->name));
    for (Invoker* invoker : results.released_invokers) remove_endpoint(static_cast<InvokerEndpoint&>(*invoker));
    if (results.next_wake < wake_at_) {
        loop_.cancel(wake_);
        wake_at_ = results.next_wake;
        wake_ = loop_.call_at(wake_at_, [this] {
            wake_ = {};
            wake_at_ = Time::max();
            check_clocks();
            call_scheduler([](trace::RecordingScheduler& it, Time now) { return it.wake(now); });
        });
    }
}

// Its connections close by themselves, and what waits for its turn there must find it: it goes a little later.
void Gateway::remove_endpoint(InvokerEndpoint& post) {
    const auto found = endpoints_.find(post.name);
    const std::shared_ptr<InvokerEndpoint> it = std::move(found->second);
    endpoints_.erase(found);
    it->pool->close();
    close_when_drained(it);
}

void Gateway::close_when_drained(std::shared_ptr<InvokerEndpoint> post) {
    const std::size_t open = post->pool->connection_count() + post->pool->queued_count();
    loop_.call_at(loop_.now() + 1s, [this, open, it = std::move(post)] {
        if (open > 0) close_when_drained(it);
    });
}

void Gateway::dispatch(std::shared_ptr<UpstreamCall> call, InvokerEndpoint& post, Time within) {
    call->invoker = post.name;
    call->deadline = last_call_at_ + within;  // from when it was decided: a pause since then is its own
    post.pool->send(std::move(call));
}

void Gateway::send_attempt(Attempt& attempt) {
    ActiveRequest& request = static_cast<ActiveRequest&>(*attempt.request);
    const auto call = std::make_shared<AttemptCall>(*this, request, attempt);
    request.calls.push_back(call);
    // An invoker may close a connection that idled at the very moment when a hop leaves on it. What may run but
    // once is not put at that risk: it leaves on a connection of its own.
    call->fresh_connection = request.request_class->idempotency == Idempotency::at_most_once;
    ++counters_.attempts;
    dispatch(call, static_cast<InvokerEndpoint&>(*attempt.invoker), attempt.timeout);
}

// Whether the attempt has taken effect for all that is known: it has left, and nothing proves that it never ran.
static bool may_have_run(const AttemptCall& call) {
    if (!call.left) return false;
    if (call.attempt.in_flight) return true;
    switch (call.attempt.outcome.value_or(AttemptOutcome::connection_lost)) {
        case AttemptOutcome::rejected:
        case AttemptOutcome::unreachable:
        case AttemptOutcome::never_sent:
        case AttemptOutcome::load_failed:
            return false;
        default:
            return true;
    }
}

void Gateway::check_sent(const AttemptCall& call) {
    const ActiveRequest& request = call.request;
    const Attempt& attempt = call.attempt;
    const InvokerEndpoint& post = static_cast<const InvokerEndpoint&>(*attempt.invoker);
    const Time now = loop_.now();
    const auto fields = [&] {
        return Invariants::Fields{{"request", request.name},
                                  {"job", request.id},
                                  {"attempt", attempt.number},
                                  {"invoker", post.name},
                                  {"state", trace::name_of(request.state)},
                                  {"age_ms", (now - request.received_at) / 1ms},
                                  {"left_ms", (request.deadline - now) / 1ms}};
    };
    const Capabilities& may = config_.capabilities;
    invariants_.check(!request.is_completed() && request.sink, Invariant::attempt_after_end, fields);
    invariants_.check(now <= request.deadline && call.deadline <= request.deadline, Invariant::attempt_past_deadline,
                      fields);
    invariants_.check(attempt.number < may.max_attempts, Invariant::too_many_attempts, fields);
    invariants_.check(post.ready && post.is_listed, Invariant::attempt_to_drained, fields);
    for (const auto& other : request.calls) {
        if (other.get() == &call || !may_have_run(*other)) continue;
        invariants_.check(may.hedging || !other->attempt.in_flight, Invariant::two_attempts_out, fields);
        invariants_.check(may_repeat(*request.request_class, *other->attempt.invoker, *other->left, post, now),
                          Invariant::unsafe_repeat, fields);
    }
}

// Of a request that gets its final answer now, whoever gives it.
void Gateway::check_answer(const ActiveRequest& request) {
    const Time now = loop_.now();
    const auto fields = [&] {
        return Invariants::Fields{{"request", request.name},
                                  {"job", request.id},
                                  {"state", trace::name_of(request.state)},
                                  {"attempts", request.calls.size()},
                                  {"late_ms", (now - request.deadline) / 1ms}};
    };
    // What is late since this thread itself was held up has had its answer as soon as it could.
    invariants_.check(now <= request.deadline + answer_grace + loop_.lag() || request.streaming_call,
                      Invariant::answered_late, fields);
    if (request.state != RequestState::rejected) return;
    for (const auto& each : request.calls)
        if (may_have_run(*each))
            invariants_.check(may_promise_no_effect(*request.request_class, *each->left, now),
                              Invariant::refused_what_may_have_run, fields);
}

void Gateway::send_health_check(InvokerEndpoint& post) {
    ++counters_.health_checks;
    if (metrics_) metrics_->health_check_sent();
    dispatch(std::make_shared<HealthCheckCall>(*this, post), post, config_.pool.health_check_timeout);
}

void Gateway::send_preload(const PreloadCommand& order) {
    ++counters_.preloads;
    if (metrics_) metrics_->preload_sent();
    InvokerEndpoint& post = static_cast<InvokerEndpoint&>(*order.invoker);
    dispatch(std::make_shared<PreloadCall>(*this, post, order), post, config_.pool.preload_timeout);
}

// A final answer that the module gives by itself.
void Gateway::answer(ActiveRequest& request) {
    const bool bounced = request.state == RequestState::rejected;
    log_.write(Log::Level::info, bounced ? "job_bounced" : "job_written_off",
               {{"request", request.name},
                {"job", request.id},
                {"function", request.function->name},
                {"use_case", static_cast<const NamedRequestClass*>(request.request_class)->name},
                {"hops", request.attempts.size()},
                {"why", trace::describe(request.reason)},
                {"again", request.is_client_retry},
                {"after_ms", (loop_.now() - request.received_at) / 1ms}});
    if (request.sink) check_answer(request);
    if (const auto sink = std::exchange(request.sink, nullptr)) sink->send_rejection(request);
    count(request);
}

// Once for each job, when it has its final answer or its client has left.
void Gateway::count(const ActiveRequest& request) {
    admission_.release_request();
    admission_.release(request.held_bytes);
    for (const auto& call : request.calls)
        static_cast<InvokerEndpoint&>(*call->attempt.invoker).pool->cancel_if_unsent(*call);
    if (metrics_) {
        const Time now = loop_.now(), left = request.attempts.empty() ? now : request.attempts.front().sent_at;
        metrics_->request_ended({static_cast<const NamedRequestClass*>(request.request_class)->name,
                                 request.tenant_name, request.function->name, request.state, request.reason,
                                 now > request.target_at, now - request.received_at, left - request.received_at,
                                 request.attempts.size()});
    }
    switch (request.state) {
        case RequestState::succeeded:
            ++counters_.succeeded;
            break;
        case RequestState::rejected:
            ++counters_.rejected;
            break;
        case RequestState::failed:
            ++counters_.failed;
            break;
        default:
            ++counters_.cancelled;
    }
    if (log_.is_enabled(Log::Level::debug))
        log_.write(Log::Level::debug, "job_ended",
                   {{"request", request.name},
                    {"job", request.id},
                    {"state", trace::name_of(request.state)},
                    {"hops", request.attempts.size()},
                    {"why", trace::describe(request.reason)},
                    {"after_ms", (loop_.now() - request.received_at) / 1ms}});
    check_drained();
}

void Gateway::erase_if_settled(ActiveRequest& request) {
    if (request.is_settled()) requests_.erase(request.id);
}

// Levels are looked at now and then, by one timer; how late it comes tells how long the controller stood still.
void Gateway::collect_metrics() {
    metrics::Levels now = levels();
    now.lag_s = std::max(0.0, std::chrono::duration<double>(loop_.now() - metrics_due_at_).count());
    if (extra_levels_) extra_levels_(now);
    metrics_->set_levels(now);
    constexpr std::uint64_t looks_a_review = 5;
    if (++metrics_rounds_ % looks_a_review == 0) metrics_->review();
    metrics_due_at_ = loop_.now() + config_.metrics.config.interval;
    metrics_timer_ = loop_.call_at(metrics_due_at_, [this] { collect_metrics(); });
}

metrics::Levels Gateway::levels() const {
    const auto in_seconds = [](Time t) { return std::chrono::duration<double>(t).count(); };
    metrics::Levels out;
    out.open_requests = static_cast<double>(admission_.open_requests());
    out.reserved_bytes = static_cast<double>(admission_.reserved_bytes());
    out.connections = static_cast<double>(admission_.connections());
    out.functions = static_cast<double>(functions_.size());
    out.parked = static_cast<double>(scheduler_.parked_count());
    std::vector<double> paces;
    for (const auto& [name, post] : endpoints_) {
        out.connections_open += static_cast<double>(post->pool->connection_count());
        if (post->draining_since && !post->in_flight.empty())
            out.longest_drain_s = std::max(out.longest_drain_s, in_seconds(loop_.now() - *post->draining_since));
        if (!post->ready || !post->is_listed) {
            ++out.not_ready;
            continue;
        }
        out.slow_start += post->slow_start.since.has_value();
        paces.push_back(post->load.slowdown_factor * post->load.contention_factor);
        double* const by_standing[] = {&out.healthy, &out.suspect, &out.ejected, &out.recovering};
        ++*by_standing[static_cast<int>(post->health.state)];
        if (post->health.state == HealthState::suspect || post->health.state == HealthState::ejected)
            out.in_flight_at_unhealthy += static_cast<double>(post->in_flight.size());
    }
    if (!paces.empty()) {
        const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
        std::nth_element(paces.begin(), middle, paces.end());
        out.slowdown_median = *middle;
        out.slowdown_worst = *std::max_element(paces.begin(), paces.end());
    }
    if (const auto told_at = list_confirmed_at()) out.list_age_s = in_seconds(loop_.now() - *told_at);
    for (int i = 0; i < static_cast<int>(Invariant::count_); ++i)
        out.invariants_broken[std::string(word_of(static_cast<Invariant>(i)))] =
            static_cast<double>(invariants_.broken(static_cast<Invariant>(i)));
    out.log_dropped = static_cast<double>(log_.dropped_lines());
    out.unreachable = static_cast<double>(connection_counts_.unreachable);
    for (int i = 1; i < static_cast<int>(RejectionReason::count_); ++i) {
        const auto objection = static_cast<RejectionReason>(i);
        if (admission_.counted(objection))
            out.refused[std::string(response_for(objection).word)] = static_cast<double>(admission_.counted(objection));
    }
    return out;
}

boost::json::array Gateway::estimates() const {
    static constexpr const char* words[] = {"trusted", "suspect", "aside", "easing"};
    boost::json::array out;
    const auto tenths = [](double x) { return static_cast<double>(static_cast<long>(x * 10 + 0.5)) / 10; };
    for (const auto& [name, post] : endpoints_) {
        if (!post->is_listed && post->in_flight.empty() && post->pool->connection_count() == 0) continue;
        boost::json::object row{
            {"i", name},
            {"s", post->ready && post->is_listed ? words[static_cast<int>(post->health.state)] : "not_ready"},
            {"out", post->in_flight.size()},
            {"lines_out", post->pool->in_flight_count()},
            {"queued", post->pool->queued_count()},
            {"lines", post->pool->connection_count()},
            {"pace", tenths(pace_told(*post))}};
        if (post->load.reported_load) row["told"] = tenths(*post->load.reported_load);
        if (post->slow_start.since) row["cold"] = true;
        out.push_back(std::move(row));
    }
    return out;
}

boost::json::object Gateway::status() const {
    boost::json::object admission;
    for (int i = 1; i < static_cast<int>(RejectionReason::count_); ++i) {
        const auto objection = static_cast<RejectionReason>(i);
        if (admission_.counted(objection)) admission[response_for(objection).word] = admission_.counted(objection);
    }
    std::size_t open_connections = 0;
    boost::json::object standings{{"trusted", 0}, {"suspect", 0}, {"aside", 0}, {"easing", 0}, {"not_ready", 0}};
    static constexpr const char* words[] = {"trusted", "suspect", "aside", "easing"};
    for (const auto& [name, post] : endpoints_) {
        open_connections += post->pool->connection_count();
        auto& slot =
            standings[post->ready && post->is_listed ? words[static_cast<int>(post->health.state)] : "not_ready"];
        slot = slot.as_int64() + 1;
    }
    const auto told_at = list_confirmed_at();
    boost::json::object broken;
    for (int i = 0; i < static_cast<int>(Invariant::count_); ++i) {
        const auto invariant = static_cast<Invariant>(i);
        if (invariants_.broken(invariant)) broken[word_of(invariant)] = invariants_.broken(invariant);
    }
    return {{"controller", incarnation_},
            {"up_s", static_cast<double>(loop_.now().count()) / 1e6},
            {"closing", admission_.closing()},
            {"jobs",
             {{"taken", counters_.received},
              {"honoured", counters_.succeeded},
              {"bounced", counters_.rejected},
              {"written_off", counters_.failed},
              {"client_left", counters_.cancelled},
              {"open", admission_.open_requests()},
              {"parked", scheduler_.parked_count()},
              {"streamed", counters_.streamed},
              {"late_answers", counters_.late}}},
            {"hops", counters_.attempts},
            {"probes", counters_.health_checks},
            {"orders", counters_.preloads},
            {"door",
             {{"connections", admission_.connections()},
              {"held_bytes", admission_.reserved_bytes()},
              {"turned_back", admission}}},
            {"lines",
             {{"open", open_connections},
              {"opened", connection_counts_.opened},
              {"reused", connection_counts_.reused},
              {"unreachable", connection_counts_.unreachable},
              {"late", connection_counts_.late_responses},
              {"spoilt", connection_counts_.malformed}}},
            {"functions", functions_.size()},
            {"invokers", standings},
            {"list_age_s", told_at ? boost::json::value(static_cast<double>((loop_.now() - *told_at).count()) / 1e6)
                                   : boost::json::value(nullptr)},
            {"invariants_broken", broken},
            {"wall_clock_steps", start_clock_.steps()},
            {"log_lost", log_.dropped_lines()}};
}

}  // namespace plumkeel::gateway
