#include "invoker_protocol/invoker_connection.hpp"

#include <algorithm>

#include "gateway/gateway.hpp"

namespace plumkeel::invoker_protocol {

using namespace std::chrono_literals;
using delivery::Progress;
using delivery::StopCause;

namespace {

constexpr std::size_t read_buffer_bytes = 8 * 1024, max_line_bytes = 1024;
// Longest time between writing the first and the last byte of an attempt. Bounds how outdated the remaining time in its
// RUN line can be (the rules allow 0.15 s), and how long after a client's disconnect its request can start (0.1 s).
constexpr Time incomplete_attempt_timeout = 90ms;
// Bounds the memory for detecting late responses. A second response arrives milliseconds after the first.
constexpr std::size_t max_ended_requests = 64;
constexpr Time min_remaining_time = 1ms;  // shortest remaining time that a RUN line can state
constexpr unsigned success_status = 200;  // the invoker protocol has no status codes

}  // namespace

InvokerConnection::InvokerConnection(ConnectionPool& pool)
    : pool_(pool),
      loop_(pool.loop_),
      idle_timer_(pool.loop_,
                  [this] {
                      if (calls_.empty()) close();
                  }),
      response_timer_(pool.loop_, [this] { fail(name_of(Failure::incomplete_response)); }),
      attempt_timer_(pool.loop_, [this] {
          if (write_queue_ && write_queue_->sent_bytes() < last_attempt_end_offset_)
              fail(name_of(Failure::incomplete_attempt));
      }) {
    pool_.budget_.on_opened();
}

const char* InvokerConnection::name_of(Failure failure) {
    switch (failure) {
        case Failure::incomplete_response:
            return "incomplete_response";
        case Failure::incomplete_attempt:
            return "incomplete_attempt";
        case Failure::unexpected_result:
            return "unexpected_result";
        case Failure::probe_timeout:
            return "probe_timeout";
    }
    return "unknown";
}

void InvokerConnection::start() {
    loop_.spawn(run(shared_from_this(), pool_.address_));
}

// ---------------------------------------------------------------- calls

void InvokerConnection::send(const std::shared_ptr<UpstreamCall>& call, std::string id) {
    ConnectionPool::connection_of(*call) = shared_from_this();
    idle_timer_.clear();
    pool_.budget_.on_busy(*this);
    calls_.push_back({.id = std::move(id), .call = call, .since = loop_.now()});
    if (write_queue_) {
        ++pool_.counts_.reused;
        write_calls();
    }
}

Progress InvokerConnection::remove(UpstreamCall& call, StopCause cause) {
    const auto it = std::find_if(calls_.begin(), calls_.end(),
                                 [&](const PendingCall& pending) { return pending.call.get() == &call; });
    if (it == calls_.end()) return Progress::may_have_run;
    const PendingCall pending = *it;
    calls_.erase(it);
    ConnectionPool::connection_of(call).reset();
    if (pending.is_unwritten()) {
        on_calls_changed();
        return write_queue_ ? Progress::not_written : Progress::not_connected;
    }
    if (write_queue_->error() && write_queue_->sent_bytes() < pending.end_offset) return Progress::not_written;
    if (!call.has_priority()) {
        remember_ended_request(pending.id);
        write_queue_->send(encode_stop(pending.id));
    }
    // Nothing was received before the probe's timeout: the connection is considered broken, whatever the invoker's
    // state.
    if (call.has_priority() && cause == StopCause::timed_out && last_read_at_ <= pending.since)
        fail(name_of(Failure::probe_timeout));
    on_calls_changed();
    return Progress::may_have_run;
}

void InvokerConnection::close() {
    if (!is_open_) return;
    is_open_ = false;
    idle_timer_.clear();
    response_timer_.clear();
    attempt_timer_.clear();
    pool_.budget_.on_busy(*this);
    if (stream_) {
        stream_->close();
        release_budget();
    }
    if (write_queue_) write_queue_->abandon();
}

void InvokerConnection::drain() {
    is_draining_ = true;
    on_calls_changed();
}

std::size_t InvokerConnection::attempt_count() const {
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(), [](const PendingCall& pending) { return !pending.call->has_priority(); }));
}

bool InvokerConnection::carries(std::string_view id) const {
    return std::any_of(calls_.begin(), calls_.end(), [&](const PendingCall& pending) { return pending.id == id; });
}

bool InvokerConnection::has_carried(std::string_view id) const {
    return std::find(ended_requests_.begin(), ended_requests_.end(), id) != ended_requests_.end();
}

void InvokerConnection::take_unsent(std::vector<std::shared_ptr<UpstreamCall>>& unsent) {
    std::erase_if(calls_, [&](const PendingCall& pending) {
        if (!pending.is_unwritten()) return false;
        ConnectionPool::connection_of(*pending.call).reset();
        unsent.push_back(pending.call);
        return true;
    });
}

void InvokerConnection::collect_unsent(std::vector<std::shared_ptr<UpstreamCall>>& unsent) const {
    for (const PendingCall& pending : calls_)
        if (pending.is_unwritten() && !pending.call->has_priority()) unsent.push_back(pending.call);
}

// ---------------------------------------------------------------- writing

// Writes the unwritten calls, oldest first. An attempt is held back while an earlier one is not completely written:
// while unwritten it can still be cancelled or moved, when its client disconnects or its invoker drains.
void InvokerConnection::write_calls() {
    // While this thread lags, disconnects and drain notices may be waiting in socket buffers: they are read first.
    if (loop_.is_lagging()) return write_calls_after({});
    write_calls_now();
}

void InvokerConnection::write_calls_now() {
    cancel_overdue();
    attempt_blocked_ = false;
    for (std::size_t i = 0; i < calls_.size() && is_open_; ++i) {  // by index, as write() may change calls_
        PendingCall& pending = calls_[i];
        if (!pending.is_unwritten()) continue;
        const bool is_attempt = !pending.call->has_priority();
        if (pool_.client_has_unread_input(*pending.call)) {
            write_calls_after(ConnectionPool::client_input_retry_delay);
            continue;
        }
        if (is_attempt && (attempt_blocked_ || write_queue_->pending_bytes() > 0)) continue;
        write(pending);
    }
    write_calls_when_writable();
}

// Ends the unwritten attempts that must not be sent any more.
void InvokerConnection::cancel_overdue() {
    std::vector<std::shared_ptr<UpstreamCall>> overdue;
    for (const PendingCall& pending : calls_)
        if (pool_.is_send_overdue(*pending.call)) overdue.push_back(pending.call);
    for (const auto& call : overdue) pool_.stop(*call, StopCause::cancelled_unsent);
}

void InvokerConnection::write_calls_after(net::Time delay) {
    if (std::exchange(write_scheduled_, true)) return;
    loop_.call_at(loop_.now() + delay, [self = shared_from_this()] {
        self->write_scheduled_ = false;
        if (self->is_open_) self->write_calls_now();
    });
}

bool InvokerConnection::has_unwritten() const {
    return std::any_of(calls_.begin(), calls_.end(), [](const PendingCall& pending) { return pending.is_unwritten(); });
}

void InvokerConnection::write_calls_when_writable() {
    const bool is_blocked = write_queue_->pending_bytes() > 0 || attempt_blocked_;
    if (!is_open_ || waiting_writable_ || !is_blocked || !has_unwritten()) return;
    waiting_writable_ = true;
    loop_.spawn(wait_and_write(shared_from_this()));
}

net::Task<> InvokerConnection::wait_and_write(std::shared_ptr<InvokerConnection>) {
    co_await write_queue_->wait_writable();
    waiting_writable_ = false;
    if (is_open_ && !write_queue_->error()) write_calls();
}

void InvokerConnection::write(PendingCall& pending) {
    const UpstreamCall& call = *pending.call;
    // Too little time remains to state in the RUN line. The call's timeout ends the attempt as never sent.
    if (!call.has_priority() && call.deadline - loop_.now() < min_remaining_time) return;
    // Computed before the write, which changes both counters.
    const std::size_t start_offset = write_queue_->sent_bytes() + write_queue_->pending_bytes();
    if (call.has_priority()) {
        std::string line = encode_probe(pending.id, !pool_.options_.report_fields.empty());
        pending.end_offset = start_offset + line.size();
        write_queue_->send(std::move(line));
    } else if (!write_attempt(pending, start_offset)) {
        return;
    }
    ConnectionPool::mark_sent(*pending.call);
    pending.since = loop_.now();
}

// Returns false if no byte could be written. A partly written attempt has to be completed within
// incomplete_attempt_timeout, and before an invoker may forget its idempotency key; otherwise the connection is closed,
// and the attempt never ran.
bool InvokerConnection::write_attempt(PendingCall& pending, std::size_t start_offset) {
    const gateway::ActiveRequest& request = *pending.call->request;
    std::string line = encode_run(pending.id, static_cast<const NamedRequestClass*>(request.request_class)->name,
                                  request.function->name, request.idempotency_key,
                                  (pending.call->deadline - loop_.now()) / 1ms, request.body->size());
    const std::size_t end_offset = start_offset + line.size() + request.body->size() + body_end.size();
    attempt_blocked_ = !write_queue_->send_if_room(std::move(line), request.body, std::string(body_end));
    if (attempt_blocked_) return false;
    pending.end_offset = last_attempt_end_offset_ = end_offset;
    pending.is_repeat = has_carried(pending.id);
    if (write_queue_->pending_bytes() > 0) attempt_timer_.set(completion_deadline(*pending.call));
    return true;
}

// A request's own deadline is no reason to close the connection: a timeout ends the attempt then.
net::Time InvokerConnection::completion_deadline(const UpstreamCall& call) const {
    const net::Time timeout = loop_.now() + incomplete_attempt_timeout;
    const net::Time send_deadline = call.send_deadline();
    return send_deadline < call.deadline ? std::min(timeout, send_deadline) : timeout;
}

// ---------------------------------------------------------------- reading

net::Task<> InvokerConnection::run(std::shared_ptr<InvokerConnection> self, net::Address address) {
    StopCause cause = StopCause::connection_lost;
    auto connected = co_await loop_.connect(address, pool_.config_.connect_timeout);
    if (connected.error) {
        cause = ConnectionPool::connect_failure_cause(connected.error);
        if (cause == StopCause::no_connection) ++pool_.counts_.unreachable;
        is_open_ = false;
    } else {
        ++pool_.counts_.opened;
        stream_ = std::move(connected.stream);
        if (is_open_) co_await read_responses();
    }
    finish(self, cause);
}

// Ends all calls on the connection after it has closed or could not be opened.
void InvokerConnection::finish(const std::shared_ptr<InvokerConnection>& self, StopCause cause) {
    const bool was_idle = is_open_ && calls_.empty() && stream_;
    if (was_idle) ++pool_.counts_.closed_idle;
    close();
    is_open_ = false;
    pool_.budget_.on_busy(*this);
    release_budget();
    if (stream_) stream_->close();
    const auto pending_calls = std::exchange(calls_, {});
    const std::size_t sent_bytes = write_queue_ ? write_queue_->sent_bytes() : 0;
    pool_.connection_closed(self);
    for (const PendingCall& pending : pending_calls) {
        ConnectionPool::connection_of(*pending.call).reset();
        pool_.finish(pending.call, delivery::outcome_of(progress_of(pending, sent_bytes), cause));
    }
}

Progress InvokerConnection::progress_of(const PendingCall& pending, std::size_t sent_bytes) const {
    if (!write_queue_) return Progress::not_connected;
    return sent_bytes >= pending.end_offset ? Progress::may_have_run : Progress::not_written;
}

net::Task<> InvokerConnection::read_responses() {
    write_queue_ = std::make_shared<net::WriteQueue>(loop_, stream_);
    last_read_at_ = loop_.now();
    write_calls();
    on_calls_changed();
    ResponseDecoder decoder(max_line_bytes, pool_.config_.max_buffered_response);
    std::vector<char> buffer(read_buffer_bytes);
    ResponseMessage response;
    while (is_open_) {
        const net::TransferResult result = co_await stream_->read(net::asio::buffer(buffer));
        if (result.error || !is_open_) co_return;
        last_read_at_ = loop_.now();
        std::string_view bytes(buffer.data(), result.bytes);
        while (is_open_ && decoder.next(bytes, response)) on_response(response);
        if (decoder.error() != ResponseError::none) fail(invoker_protocol::name_of(decoder.error()));
        if (!is_open_) co_return;
        // An incomplete response blocks all later ones on the connection, so it is subject to a timeout.
        if (!decoder.in_response())
            response_timer_.clear();
        else if (!response_timer_.is_set())
            response_timer_.set(loop_.now() + pool_.config_.response_timeout);
    }
}

// Passes the response to its call. Late responses to cancelled calls and duplicate responses are counted and ignored.
void InvokerConnection::on_response(ResponseMessage& response) {
    const auto it = std::find_if(calls_.begin(), calls_.end(),
                                 [&](const PendingCall& pending) { return pending.id == response.id; });
    if (it == calls_.end()) {
        ++pool_.counts_.late_responses;
        return;
    }
    const auto call = it->call;
    const bool is_repeat = it->is_repeat;
    if (call->has_priority() != is_probe_result(response.result)) return fail(name_of(Failure::unexpected_result));
    if (!call->has_priority()) remember_ended_request(it->id);
    calls_.erase(it);
    ConnectionPool::connection_of(*call).reset();
    // The response may belong to the earlier attempt of the request: stops the attempt that may still be running.
    if (is_repeat) write_queue_->send(encode_stop(response.id));
    gateway::CallResult result = to_result(response);
    on_calls_changed();
    pool_.finish(call, std::move(result));
    if (is_open_) pool_.on_connection_free();
}

gateway::CallResult InvokerConnection::to_result(ResponseMessage& response) const {
    gateway::CallResult result;
    result.outcome = outcome_of(response.result);
    result.load_event = parse_load_event(response.fields);
    result.concurrent_requests = pool_.options_.reports_concurrency ? parse_concurrency(response.fields) : 0;
    result.report = parse_report(response.fields, pool_.options_.report_fields);
    result.status = success_status;
    result.body = std::move(response.body);
    return result;
}

void InvokerConnection::remember_ended_request(const std::string& id) {
    ended_requests_.push_back(id);
    if (ended_requests_.size() > max_ended_requests) ended_requests_.pop_front();
}

// ---------------------------------------------------------------- closing

void InvokerConnection::fail(const char* reason) {
    if (!is_open_) return;
    ++pool_.counts_.malformed;
    if (pool_.counts_.on_malformed) pool_.counts_.on_malformed(pool_.address_.to_string(), reason, calls_.size());
    close();
}

void InvokerConnection::on_calls_changed() {
    if (!calls_.empty() || !is_open_) return;
    if (is_draining_) return close();
    idle_timer_.set(loop_.now() + pool_.config_.idle_timeout);
    if (write_queue_) pool_.budget_.on_idle(*this);
}

// Called when the descriptor is closed; further calls have no effect. Not called by the destructor: the event loop may
// destroy a coroutine that holds the connection when the budget no longer exists.
void InvokerConnection::release_budget() {
    if (std::exchange(is_counted_in_budget_, false)) pool_.budget_.on_closed();
}

}  // namespace plumkeel::invoker_protocol
