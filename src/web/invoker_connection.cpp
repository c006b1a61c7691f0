#include "web/invoker_connection.hpp"

#include <algorithm>

#include "gateway/gateway.hpp"
#include "orca/orca.hpp"
#include "web/call_encoder.hpp"
#include "web/protocol.hpp"

namespace plumkeel::web {

using delivery::Progress;
using delivery::StopCause;
namespace beast_http = http::beast_http;

namespace {

constexpr std::size_t read_buffer_bytes = 256 * 1024;
constexpr std::uint32_t max_head_bytes = 64 * 1024;
constexpr int max_reported_count = 1000;  // upper bound for reported numbers of requests and of copies

int parse_count(std::string_view digits) {
    return std::clamp(http::parse_number<int>(digits).value_or(0), 0, max_reported_count);
}

}  // namespace

InvokerConnection::InvokerConnection(ConnectionPool& pool)
    : pool_(pool),
      loop_(pool.loop_),
      idle_timer_(pool.loop_,
                  [this] {
                      if (!call_) close();
                  }),
      send_timer_(pool.loop_, [this] { close_if_overdue(); }) {}

void InvokerConnection::start(std::shared_ptr<UpstreamCall> call) {
    attach_call(std::move(call));
    loop_.spawn(run(shared_from_this(), pool_.address_));
}

bool InvokerConnection::try_send(const std::shared_ptr<UpstreamCall>& call) {
    idle_timer_.clear();
    if (!is_open_ || stream_->peer_closed()) {
        close();
        return false;
    }
    attach_call(call);
    if (write_call()) {
        ++pool_.counts_.reused;
        return true;
    }
    release_call();
    close();
    return false;
}

void InvokerConnection::close() {
    is_open_ = false;
    idle_timer_.clear();
    send_timer_.clear();
    if (stream_) stream_->close();
    if (write_queue_) write_queue_->abandon();
}

Progress InvokerConnection::progress() const {
    if (!stream_) return Progress::not_connected;
    return write_queue_->sent_bytes() > sent_bytes_before_call_ ? Progress::may_have_run : Progress::not_written;
}

std::shared_ptr<UpstreamCall> InvokerConnection::release_call() {
    if (call_) ConnectionPool::connection_of(*call_).reset();
    return std::exchange(call_, nullptr);
}

std::shared_ptr<UpstreamCall> InvokerConnection::unsent_attempt() const {
    return has_attempt() && progress() != Progress::may_have_run ? call_ : nullptr;
}

void InvokerConnection::start_idle_timer() {
    idle_timer_.set(loop_.now() + pool_.config_.idle_timeout);
}

void InvokerConnection::attach_call(std::shared_ptr<UpstreamCall> call) {
    call_ = std::move(call);
    ConnectionPool::connection_of(*call_) = shared_from_this();
}

// Returns false if no byte of the call could be sent. Until then the call counts as unsent, also while connecting.
bool InvokerConnection::write_call() {
    sent_bytes_before_call_ = write_queue_->sent_bytes();
    write_queue_->send(encode_call(*call_, pool_.controller_name_, loop_.now()),
                       call_->request ? call_->request->body : nullptr);
    if (write_queue_->error() && write_queue_->sent_bytes() == sent_bytes_before_call_) return false;
    ConnectionPool::mark_sent(*call_);
    if (has_unsent_bytes()) send_timer_.set(call_->send_deadline());
    return true;
}

// Closes the connection if the current call is not completely sent and must not be completed any more.
void InvokerConnection::close_if_overdue() {
    if (!call_ || !has_unsent_bytes()) return;
    if (loop_.now() < call_->send_deadline()) return send_timer_.set(call_->send_deadline());
    close();
}

net::Task<> InvokerConnection::run(std::shared_ptr<InvokerConnection> self, net::Address address) {
    auto connected = co_await loop_.connect(address, pool_.config_.connect_timeout);
    if (connected.error) {
        on_connect_failed(self, connected.error);
        co_return;
    }
    ++pool_.counts_.opened;
    stream_ = std::move(connected.stream);
    write_queue_ = std::make_shared<net::WriteQueue>(loop_, stream_);
    http::ReadBuffer read_buffer(stream_, read_buffer_bytes);
    while (call_ && pool_.client_has_unread_input(*call_))
        co_await loop_.sleep(ConnectionPool::client_input_retry_delay);
    if (!is_open_) {
        stream_->close();  // the call was cancelled while connecting
    } else if (call_ && pool_.is_send_overdue(*call_)) {
        pool_.stop(*call_, StopCause::cancelled_unsent);
    } else if (call_ && write_call()) {
        while (is_open_) {
            const bool reusable = co_await read_response(read_buffer);
            if (!reusable || !is_open_) break;
            if (!call_) pool_.on_connection_free(self);
        }
    }
    const bool was_idle = is_open_ && !call_;
    close();
    if (was_idle) ++pool_.counts_.closed_idle;
    if (const auto call = release_call())
        pool_.finish(call, delivery::outcome_of(progress(), StopCause::connection_lost));
    pool_.connection_closed(self);
}

void InvokerConnection::on_connect_failed(const std::shared_ptr<InvokerConnection>& self, const net::Error& error) {
    const StopCause cause = ConnectionPool::connect_failure_cause(error);
    if (cause == StopCause::no_connection) ++pool_.counts_.unreachable;
    is_open_ = false;
    if (const auto call = release_call()) pool_.finish(call, delivery::outcome_of(Progress::not_connected, cause));
    pool_.connection_closed(self);
}

// Reads one response and finishes its call. Returns false if the connection can't be used for another call.
net::Task<bool> InvokerConnection::read_response(http::ReadBuffer& read_buffer) {
    Parser parser;
    parser.header_limit(max_head_bytes);
    parser.body_limit(boost::none);
    parser.eager(true);
    bool is_streaming = false;
    do {
        const ReadStatus status = co_await read_some(read_buffer, parser);
        if (status == ReadStatus::failed) co_return false;
        if (status == ReadStatus::ended_by_peer) break;
        if (!is_streaming && needs_streaming(parser)) {
            if (!begin_stream(parser)) co_return false;
            is_streaming = true;
        }
        if (is_streaming && !parser.get().body().empty()) {
            const bool client_connected = co_await forward_chunk(parser);
            if (!client_connected) co_return false;
        }
    } while (!parser.is_done());
    if (!call_) co_return false;
    const bool reusable = parser.keep_alive() && write_queue_->pending_bytes() == 0;
    finish_call(parser);
    co_return reusable;
}

net::Task<InvokerConnection::ReadStatus> InvokerConnection::read_some(http::ReadBuffer& read_buffer, Parser& parser) {
    net::Error error;
    if (read_buffer.size() == 0 || parser.got_some()) error = co_await read_buffer.read_more();
    if (error == net::asio::error::eof)
        co_return completes_at_eof(parser) ? ReadStatus::ended_by_peer : ReadStatus::failed;
    if (error || !is_open_) co_return ReadStatus::failed;
    if (!call_) co_return ReadStatus::failed;  // unexpected bytes on an idle connection
    if (read_buffer.feed(parser)) co_return ReadStatus::failed;
    const bool is_informational = parser.is_header_done() && parser.get().result_int() / 100 == 1;
    co_return is_informational ? ReadStatus::failed : ReadStatus::incomplete;
}

// Returns whether the end of the connection completes the response, as it does for a response without a length.
bool InvokerConnection::completes_at_eof(Parser& parser) {
    if (!parser.got_some() || !call_) return false;
    net::Error error;
    parser.put_eof(error);
    return !error && parser.is_done();
}

// Returns whether the response is to a successful attempt and too large to be buffered.
bool InvokerConnection::needs_streaming(Parser& parser) const {
    if (!parser.is_header_done() || parser.is_done() || call_->has_priority()) return false;
    const auto& message = parser.get();
    const AttemptOutcome outcome =
        protocol::outcome_of(message.result_int(), http::field(message, protocol::field::never_ran));
    if (outcome != AttemptOutcome::succeeded) return false;
    const auto length = parser.content_length();
    return message.body().size() > pool_.config_.max_buffered_response ||
           (length && *length > pool_.config_.max_buffered_response);
}

// Starts forwarding the response to the client. Returns false if the client has gone; the call is then cancelled.
bool InvokerConnection::begin_stream(Parser& parser) {
    std::string forwarded;
    protocol::read_protocol_fields(parser.get(), &forwarded);
    if (!call_->on_stream_begin(parser.get().result_int(), forwarded)) {
        const auto call = release_call();
        pool_.finish(call, AttemptOutcome::cancelled);
        return false;
    }
    ConnectionPool::set_state(*call_, UpstreamCall::State::streaming);
    pool_.clear_deadline(*call_);
    return true;
}

// Forwards the received part of the body. Returns false if the client has gone or this connection was closed.
net::Task<bool> InvokerConnection::forward_chunk(Parser& parser) {
    call_->on_chunk(std::exchange(parser.get().body(), {}));
    const auto call = call_;
    const bool client_connected = co_await call->wait_writable();
    co_return client_connected&& is_open_;
}

void InvokerConnection::finish_call(Parser& parser) {
    CallResult result;
    const auto fields = protocol::read_protocol_fields(parser.get(), &result.forwarded_headers);
    result.status = parser.get().result_int();
    result.outcome = protocol::outcome_of(result.status, fields.never_ran);
    result.load_event = protocol::parse_load_event(fields.load_event);
    result.concurrent_requests = parse_count(fields.concurrent_requests);
    result.copies = parse_count(fields.copies);
    result.report = orca::parse(fields.load_report);
    result.body = std::move(parser.get().body());
    pool_.finish(release_call(), std::move(result));
}

}  // namespace plumkeel::web
