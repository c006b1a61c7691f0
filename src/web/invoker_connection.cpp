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
constexpr int max_reported_count = 1000;  // of concurrent requests and copies

int parse_count(std::string_view digits) {
    return std::clamp(http::parse_number<int>(digits).value_or(0), 0, max_reported_count);
}

}  // namespace

InvokerConnection::InvokerConnection(ConnectionPool& pool)
    : pool_(pool), loop_(pool.loop_), idle_timer_(pool.loop_, [this] {
          if (!call_) close();
      }) {}

void InvokerConnection::start(std::shared_ptr<UpstreamCall> call) {
    take(std::move(call));
    loop_.spawn(run(shared_from_this(), pool_.address_));
}

bool InvokerConnection::try_send(const std::shared_ptr<UpstreamCall>& call) {
    idle_timer_.clear();
    if (!alive_ || stream_->peer_closed()) {
        close();
        return false;
    }
    take(call);
    if (write_call()) {
        ++pool_.counts_.reused;
        return true;
    }
    release_call();
    close();
    return false;
}

void InvokerConnection::close() {
    alive_ = false;
    idle_timer_.clear();
    if (stream_) stream_->close();
    if (write_queue_) write_queue_->abandon();
}

Progress InvokerConnection::progress() const {
    if (!stream_) return Progress::not_connected;
    return write_queue_->sent_bytes() > sent_bytes_before_ ? Progress::may_have_run : Progress::not_written;
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

void InvokerConnection::take(std::shared_ptr<UpstreamCall> call) {
    call_ = std::move(call);
    ConnectionPool::connection_of(*call_) = shared_from_this();
    ConnectionPool::mark_sent(*call_);
}

// False: nothing of it could be written.
bool InvokerConnection::write_call() {
    sent_bytes_before_ = write_queue_->sent_bytes();
    write_queue_->send(encode_call(*call_, pool_.controller_name_), call_->request ? call_->request->body : nullptr);
    return !write_queue_->error() || write_queue_->sent_bytes() > sent_bytes_before_;
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
    if (!alive_) {
        stream_->close();  // the call that it was opened for was cancelled
    } else if (call_ && write_call()) {
        while (alive_) {
            const bool reusable = co_await read_response(read_buffer);
            if (!reusable || !alive_) break;
            if (!call_) pool_.on_connection_free(self);
        }
    }
    const bool was_idle = alive_ && !call_;
    close();
    if (was_idle) ++pool_.counts_.closed_idle;
    if (const auto call = release_call())
        pool_.finish(call, delivery::outcome_of(progress(), StopCause::connection_lost));
    pool_.connection_closed(self);
}

void InvokerConnection::on_connect_failed(const std::shared_ptr<InvokerConnection>& self, const net::Error& error) {
    const StopCause cause = ConnectionPool::connect_failure_cause(error);
    if (cause == StopCause::no_connection) ++pool_.counts_.unreachable;
    alive_ = false;
    if (const auto call = release_call()) pool_.finish(call, delivery::outcome_of(Progress::not_connected, cause));
    pool_.connection_closed(self);
}

// Reads one response and ends its call. False: the connection can't be used further.
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
        if (!is_streaming && is_large(parser)) {
            if (!begin_stream(parser)) co_return false;
            is_streaming = true;
        }
        if (is_streaming && !parser.get().body().empty()) {
            const bool is_wanted = co_await forward_chunk(parser);
            if (!is_wanted) co_return false;
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
    if (error == net::asio::error::eof) co_return end_at_eof(parser) ? ReadStatus::ended_by_peer : ReadStatus::failed;
    if (error || !alive_) co_return ReadStatus::failed;
    if (!call_) co_return ReadStatus::failed;  // bytes that belong to no call
    if (read_buffer.feed(parser)) co_return ReadStatus::failed;
    const bool is_informational = parser.is_header_done() && parser.get().result_int() / 100 == 1;
    co_return is_informational ? ReadStatus::failed : ReadStatus::incomplete;
}

// Whether the peer's end completes the response, as it does where no length was given.
bool InvokerConnection::end_at_eof(Parser& parser) {
    if (!parser.got_some() || !call_) return false;
    net::Error error;
    parser.put_eof(error);
    return !error && parser.is_done();
}

// Whether the response is one to an attempt that succeeded, and too large to be buffered.
bool InvokerConnection::is_large(Parser& parser) const {
    if (!parser.is_header_done() || parser.is_done() || call_->has_priority()) return false;
    const auto& message = parser.get();
    const AttemptOutcome outcome =
        protocol::outcome_of(message.result_int(), http::field(message, protocol::field::never_ran));
    if (outcome != AttemptOutcome::succeeded) return false;
    const auto length = parser.content_length();
    return message.body().size() > pool_.config_.max_buffered_response ||
           (length && *length > pool_.config_.max_buffered_response);
}

// False: nobody wants the response, and the call has ended as cancelled.
bool InvokerConnection::begin_stream(Parser& parser) {
    std::string forwarded;
    protocol::read_own_fields(parser.get(), &forwarded);
    if (!call_->on_stream_begin(parser.get().result_int(), forwarded)) {
        const auto call = release_call();
        pool_.finish(call, AttemptOutcome::cancelled);
        return false;
    }
    ConnectionPool::set_state(*call_, UpstreamCall::State::streaming);
    pool_.clear_deadline(*call_);
    return true;
}

// False: the receiver or the connection has gone.
net::Task<bool> InvokerConnection::forward_chunk(Parser& parser) {
    call_->on_chunk(std::exchange(parser.get().body(), {}));
    const auto call = call_;
    const bool is_wanted = co_await call->wait_writable();
    co_return is_wanted&& alive_;
}

void InvokerConnection::finish_call(Parser& parser) {
    CallResult result;
    const auto own = protocol::read_own_fields(parser.get(), &result.forwarded_headers);
    result.status = parser.get().result_int();
    result.outcome = protocol::outcome_of(result.status, own.never_ran);
    result.load_event = protocol::parse_load_event(own.load_event);
    result.concurrent_requests = parse_count(own.concurrent_requests);
    result.copies = parse_count(own.copies);
    result.report = orca::parse(own.report);
    result.body = std::move(parser.get().body());
    pool_.finish(release_call(), std::move(result));
}

}  // namespace plumkeel::web
