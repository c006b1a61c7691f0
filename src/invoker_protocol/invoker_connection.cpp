#include "invoker_protocol/invoker_connection.hpp"

#include <algorithm>

#include "gateway/gateway.hpp"

namespace plumkeel::invoker_protocol {

using namespace std::chrono_literals;
using delivery::Progress;
using delivery::StopCause;

namespace {

constexpr std::size_t read_buffer_bytes = 8 * 1024, max_line_bytes = 1024;
// A part of an attempt may be in the socket this long without the rest. When an attempt begins to run, its client may
// have been gone for 0.1 s at most, and the remaining time it was given may be 0.15 s too long at most.
constexpr Time incomplete_attempt_timeout = 90ms;
constexpr std::size_t max_ended_requests = 64;  // second responses arrive within milliseconds
constexpr Time unread_client_pause = 1ms;       // until the client's input should have been read
constexpr Time min_remaining = 1ms;             // the shortest time that an invoker can be given
constexpr unsigned success_status = 200;        // this protocol has no status codes

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
        remember_ended(pending.id);
        write_queue_->send(encode_stop(pending.id));
    }
    // Nothing was received during all of a probe's time: the connection is of no use, whatever the invoker's state.
    if (call.has_priority() && cause == StopCause::timed_out && last_read_ <= pending.since)
        fail(name_of(Failure::probe_timeout));
    on_calls_changed();
    return Progress::may_have_run;
}

void InvokerConnection::close() {
    if (!alive_) return;
    alive_ = false;
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
    draining_ = true;
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

// Writes what is unwritten, oldest first, but no more than one attempt ahead of what the socket takes: an attempt that
// waits here can still be cancelled without a trace, when its client disconnects or its invoker drains.
void InvokerConnection::write_calls() {
    // While this thread lags, what is known of clients, drains and this connection is out of date until the input that
    // arrived meanwhile has been read.
    if (loop_.is_lagging()) return write_calls_after({});
    write_calls_now();
}

void InvokerConnection::write_calls_now() {
    socket_full_ = false;
    for (std::size_t i = 0; i < calls_.size() && alive_; ++i) {  // write() may change calls_
        PendingCall& pending = calls_[i];
        if (!pending.is_unwritten()) continue;
        const bool is_attempt = !pending.call->has_priority();
        if (is_attempt && client_has_unread_input(*pending.call)) {
            write_calls_after(unread_client_pause);
            continue;
        }
        if (is_attempt && (socket_full_ || write_queue_->pending_bytes() > 0)) continue;
        write(pending);
    }
    write_calls_when_writable();
}

// Behind a stall of this thread a client may have disconnected: its input is read first.
bool InvokerConnection::client_has_unread_input(const UpstreamCall& call) const {
    return loop_.was_lagging() && call.request->sink && call.request->sink->has_unread_input();
}

void InvokerConnection::write_calls_after(net::Time pause) {
    if (std::exchange(write_scheduled_, true)) return;
    loop_.call_at(loop_.now() + pause, [self = shared_from_this()] {
        self->write_scheduled_ = false;
        if (self->alive_) self->write_calls_now();
    });
}

bool InvokerConnection::has_unwritten() const {
    return std::any_of(calls_.begin(), calls_.end(), [](const PendingCall& pending) { return pending.is_unwritten(); });
}

void InvokerConnection::write_calls_when_writable() {
    const bool is_blocked = write_queue_->pending_bytes() > 0 || socket_full_;
    if (!alive_ || waiting_writable_ || !is_blocked || !has_unwritten()) return;
    waiting_writable_ = true;
    loop_.spawn(wait_and_write(shared_from_this()));
}

net::Task<> InvokerConnection::wait_and_write(std::shared_ptr<InvokerConnection>) {
    co_await write_queue_->wait_writable();
    waiting_writable_ = false;
    if (alive_ && !write_queue_->error()) write_calls();
}

void InvokerConnection::write(PendingCall& pending) {
    const UpstreamCall& call = *pending.call;
    // An invoker can't use an attempt without time. The call's own deadline ends it in this very moment, as never sent.
    if (!call.has_priority() && call.deadline - loop_.now() < min_remaining) return;
    // The offset is set before the write: a connection that fails during it has not taken the call.
    const std::size_t begin_offset = write_queue_->sent_bytes() + write_queue_->pending_bytes();
    if (call.has_priority()) {
        std::string line = encode_probe(pending.id, !pool_.options_.report_fields.empty());
        pending.end_offset = begin_offset + line.size();
        write_queue_->send(std::move(line));
    } else if (!write_attempt(pending, begin_offset)) {
        return;
    }
    ConnectionPool::mark_sent(*pending.call);
    pending.since = loop_.now();
}

// False: no byte of it could be written. The rest of a part has to follow soon: the line states the remaining time of
// now, and its client may disconnect. Otherwise the connection is closed, and the attempt never ran.
bool InvokerConnection::write_attempt(PendingCall& pending, std::size_t begin_offset) {
    const gateway::ActiveRequest& request = *pending.call->request;
    std::string line = encode_run(pending.id, static_cast<const NamedRequestClass*>(request.request_class)->name,
                                  request.function->name, request.idempotency_key,
                                  (pending.call->deadline - loop_.now()) / 1ms, request.body->size());
    const std::size_t end_offset = begin_offset + line.size() + request.body->size() + body_end.size();
    socket_full_ = !write_queue_->send_if_room(std::move(line), request.body, std::string(body_end));
    if (socket_full_) return false;
    pending.end_offset = last_attempt_end_offset_ = end_offset;
    pending.is_repeat = has_carried(pending.id);
    if (write_queue_->pending_bytes() > 0) attempt_timer_.set(loop_.now() + incomplete_attempt_timeout);
    return true;
}

// ---------------------------------------------------------------- reading

net::Task<> InvokerConnection::run(std::shared_ptr<InvokerConnection> self, net::Address address) {
    StopCause cause = StopCause::connection_lost;
    auto connected = co_await loop_.connect(address, pool_.config_.connect_timeout);
    if (connected.error) {
        cause = ConnectionPool::connect_failure_cause(connected.error);
        if (cause == StopCause::no_connection) ++pool_.counts_.unreachable;
        alive_ = false;
    } else {
        ++pool_.counts_.opened;
        stream_ = std::move(connected.stream);
        if (alive_) co_await read_responses();
    }
    finish(self, cause);
}

// The connection has ended: so do its calls.
void InvokerConnection::finish(const std::shared_ptr<InvokerConnection>& self, StopCause cause) {
    const bool was_idle = alive_ && calls_.empty() && stream_;
    if (was_idle) ++pool_.counts_.closed_idle;
    close();
    alive_ = false;
    pool_.budget_.on_busy(*this);
    release_budget();
    if (stream_) stream_->close();
    const auto ended = std::exchange(calls_, {});
    const std::size_t sent_bytes = write_queue_ ? write_queue_->sent_bytes() : 0;
    pool_.connection_closed(self);
    for (const PendingCall& pending : ended) {
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
    last_read_ = loop_.now();
    write_calls();
    on_calls_changed();
    ResponseDecoder decoder(max_line_bytes, pool_.config_.max_buffered_response);
    std::vector<char> buffer(read_buffer_bytes);
    ResponseMessage response;
    while (alive_) {
        const net::TransferResult result = co_await stream_->read(net::asio::buffer(buffer));
        if (result.error || !alive_) co_return;
        last_read_ = loop_.now();
        std::string_view bytes(buffer.data(), result.bytes);
        while (alive_ && decoder.next(bytes, response)) on_response(response);
        if (decoder.error() != ResponseError::none) fail(invoker_protocol::name_of(decoder.error()));
        if (!alive_) co_return;
        // A response that has begun and does not become complete blocks all others behind it.
        if (!decoder.in_response())
            response_timer_.clear();
        else if (!response_timer_.is_set())
            response_timer_.set(loop_.now() + pool_.config_.response_timeout);
    }
}

// A response to a call that is not on this connection is one to a cancelled call, or a second one: it has no effect.
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
    if (!call->has_priority()) remember_ended(it->id);
    calls_.erase(it);
    ConnectionPool::connection_of(*call).reset();
    // It may be a second response to the earlier attempt: what runs under the id is stopped, so that nothing else does.
    if (is_repeat) write_queue_->send(encode_stop(response.id));
    gateway::CallResult result = to_result(response);
    on_calls_changed();
    pool_.finish(call, std::move(result));
    if (alive_) pool_.on_connection_free();
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

void InvokerConnection::remember_ended(const std::string& id) {
    ended_requests_.push_back(id);
    if (ended_requests_.size() > max_ended_requests) ended_requests_.pop_front();
}

// ---------------------------------------------------------------- the end

void InvokerConnection::fail(const char* reason) {
    if (!alive_) return;
    ++pool_.counts_.malformed;
    if (pool_.counts_.on_malformed) pool_.counts_.on_malformed(pool_.address_.to_string(), reason, calls_.size());
    close();
}

void InvokerConnection::on_calls_changed() {
    if (!calls_.empty() || !alive_) return;
    if (draining_) return close();
    idle_timer_.set(loop_.now() + pool_.config_.idle_timeout);
    if (write_queue_) pool_.budget_.on_idle(*this);
}

// Once, when the descriptor is free. Not by the destructor: the budget may be gone before the loop drops a coroutine.
void InvokerConnection::release_budget() {
    if (std::exchange(is_counted_, false)) pool_.budget_.on_closed();
}

}  // namespace plumkeel::invoker_protocol
