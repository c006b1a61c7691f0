#include "web/connection.hpp"

#include <fmt/format.h>

#include "gateway/graceful_close.hpp"
#include "web/protocol.hpp"
#include "web/server.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
using gateway::IncomingRequest;
namespace beast_http = http::beast_http;
namespace field = protocol::field;

namespace {

constexpr std::size_t read_buffer_bytes = 128 * 1024;
constexpr std::size_t max_pending_bytes = 64 * 1024;  // no request is read while more response bytes are unsent
constexpr Time body_read_timeout = 3s;                // a body is rejected if no byte of it arrives for this long
constexpr Time close_linger_time = 1s;                // between sending the last byte and closing the socket
// While bytes of the next request are buffered; no attempt may begin over 0.1 s after its client has gone.
constexpr Time disconnect_check_interval = 50ms;
constexpr unsigned http_1_1 = 11;               // number of HTTP/1.1 in Boost.Beast
constexpr std::string_view api_version = "v1";  // first segment of all paths

std::int64_t round_up_to_seconds(Time duration) {
    return (duration + 1s - Time(1)) / 1s;
}

// GET /v1/PAGE
bool is_page_request(const RequestParser& parser, const std::vector<std::string>& path) {
    return parser.get().method() == beast_http::verb::get && path.size() == 2 && path[0] == api_version;
}

// POST /v1/jobs/FUNCTION
bool is_run_request(const RequestParser& parser, const std::vector<std::string>& path) {
    return path.size() == 3 && path[0] == api_version && path[1] == "jobs" &&
           parser.get().method() == beast_http::verb::post;
}

RejectionReason reason_for_parse_error(const net::Error& error) {
    return error == beast_http::error::body_limit ? RejectionReason::body_too_big : RejectionReason::malformed;
}

}  // namespace

Connection::Connection(Server& server, std::uint64_t id, std::shared_ptr<net::Stream> stream)
    : server_(server),
      gateway_(server.gateway()),
      id_(id),
      stream_(std::move(stream)),
      write_queue_(std::make_shared<net::WriteQueue>(server.loop(), stream_)),
      read_buffer_(stream_, read_buffer_bytes),
      request_finished_(server.loop()),
      read_timer_(server.loop(), [this] { on_read_timeout(); }),
      unread_timer_(server.loop(), [this] { on_unread_timeout(); }),
      disconnect_check_timer_(server.loop(), [this] { request_finished_.notify(); }) {}

net::EventLoop& Connection::loop() const {
    return gateway_.loop();
}

void Connection::start() {
    loop().spawn(run(shared_from_this()));
}

// ---------------------------------------------------------------- reading

net::Task<> Connection::run(std::shared_ptr<Connection> self) {
    bool is_usable = true;
    while (is_usable) {
        is_usable = co_await serve_request();
        // Other connections and timers don't wait for a client that has sent many requests at once.
        if (is_usable && read_buffer_.size() > 0) co_await loop().yield();
    }
    clear_read_timeout();
    unread_timer_.clear();
    if (request_) gateway_.client_disconnected(*std::exchange(request_, nullptr));
    // Closing a socket with unread input sends a TCP reset, which may destroy the last response before the client has
    // read it. So input is read and discarded until the socket is closed.
    while (closing_) {
        read_buffer_.discard();
        const net::Error error = co_await read_buffer_.read_more();
        if (error) break;
    }
    write_queue_->abandon();
    stream_->close();
    server_.connection_closed(self);
}

// Reads one request and waits for its response. Returns false if the connection can't be used for another request.
net::Task<bool> Connection::serve_request() {
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(gateway_.admission().limits().max_head_bytes));
    parser.body_limit(gateway_.admission().limits().max_body_bytes);
    bool disconnected = false;
    RejectionReason reason = co_await read_head(parser, disconnected);
    if (disconnected || closing_) co_return false;
    if (reason != RejectionReason::none) {
        reject(reason);
        co_return false;
    }
    keep_alive_ = parser.keep_alive();
    chunked_ = parser.get().version() >= http_1_1;
    const auto path = http::path_segments(http::to_string_view(parser.get().target()));
    if (is_page_request(parser, path)) {
        if (!parser.is_done()) {
            reject(RejectionReason::malformed);
            co_return false;
        }
        if (write_page(path[1])) co_return !closing_;
    }
    IncomingRequest request;
    reason = co_await read_request(parser, path, disconnected, request);
    if (disconnected || closing_) co_return false;
    if (reason != RejectionReason::none) {
        reject(reason);
        co_return false;
    }
    request.unread_time = gateway_.max_unread_time();
    request_ = gateway_.submit(std::move(request), shared_from_this());
    co_return co_await wait_for_response();
}

// Checks a request whose head was read, reads its body and fills `request`. RejectionReason::none: the request was
// admitted.
net::Task<RejectionReason> Connection::read_request(RequestParser& parser, const std::vector<std::string>& path,
                                                    bool& disconnected, IncomingRequest& request) {
    if (!is_run_request(parser, path)) co_return RejectionReason::no_such_path;
    Admission& admission = gateway_.admission();
    request.function = path[2];
    RejectionReason reason = parse_request(parser, gateway_.config(), admission, request);
    if (reason == RejectionReason::none) reason = admission.admit_body(parser.content_length().value_or(0));
    MemoryReservation reservation(admission);
    if (reason == RejectionReason::none) reason = co_await read_body(parser, disconnected, reservation);
    if (disconnected || closing_) co_return RejectionReason::none;
    if (reason == RejectionReason::none) reason = reservation.grow_to(parser.get().body().size());
    if (reason == RejectionReason::none) reason = admission.admit_request();
    if (reason != RejectionReason::none) co_return reason;
    request.body = std::move(parser.get().body());
    request.held_bytes = reservation.release();
    co_return RejectionReason::none;
}

net::Task<RejectionReason> Connection::read_head(RequestParser& parser, bool& disconnected) {
    const AdmissionLimits& limits = gateway_.admission().limits();
    co_await write_queue_->wait_below(max_pending_bytes);
    bool has_parsed_bytes = false;
    if (read_buffer_.size() == 0) set_read_timeout(limits.idle_timeout, RejectionReason::none);
    while (!parser.is_header_done()) {
        if (has_parsed_bytes || read_buffer_.size() == 0) {
            const net::Error error = co_await read_buffer_.read_more();
            if (error) {
                disconnected = true;
                break;
            }
            if (closing_) co_return RejectionReason::none;
        }
        if (const net::Error error = read_buffer_.feed(parser)) {
            clear_read_timeout();
            co_return error == beast_http::error::header_limit ? RejectionReason::head_too_big
                                                               : reason_for_parse_error(error);
        }
        if (!std::exchange(has_parsed_bytes, true) && !parser.is_header_done())
            set_read_timeout(limits.head_timeout, RejectionReason::head_too_slow);
    }
    clear_read_timeout();
    co_return RejectionReason::none;
}

net::Task<RejectionReason> Connection::read_body(RequestParser& parser, bool& disconnected,
                                                 MemoryReservation& reservation) {
    if (parser.is_done()) co_return RejectionReason::none;
    // Memory is reserved before a body of known length arrives, and otherwise as it arrives, so that many incomplete
    // bodies can't exceed the memory limit together.
    const RejectionReason initial_rejection = reservation.grow_to(parser.content_length().value_or(0));
    if (initial_rejection != RejectionReason::none) co_return initial_rejection;
    if (http::beast::iequals(parser.get()[beast_http::field::expect], "100-continue"))
        write_queue_->send("HTTP/1.1 100 Continue\r\n\r\n");
    const Time started_at = loop().now();
    parser.eager(true);
    bool has_buffered_bytes = read_buffer_.size() > 0;
    while (!parser.is_done()) {
        if (!std::exchange(has_buffered_bytes, false)) {
            set_read_timeout(body_read_timeout, RejectionReason::body_too_slow);
            const net::Error error = co_await read_buffer_.read_more();
            clear_read_timeout();
            disconnected = static_cast<bool>(error);
            if (disconnected || closing_) co_return RejectionReason::none;
        }
        if (const net::Error error = read_buffer_.feed(parser)) co_return reason_for_parse_error(error);
        const std::size_t received = parser.get().body().size();
        const RejectionReason memory_rejection = reservation.grow_to(received);
        if (memory_rejection != RejectionReason::none) co_return memory_rejection;
        const RejectionReason rate_rejection = gateway_.admission().check_body_rate(started_at, loop().now(), received);
        if (rate_rejection != RejectionReason::none && !parser.is_done()) co_return rate_rejection;
    }
    co_return RejectionReason::none;
}

// Waits until the request has its response or the client disconnects. Bytes of a pipelined request stay in the bounded
// read buffer; while there are any, a disconnect is not noticed.
net::Task<bool> Connection::wait_for_response() {
    while (request_) {
        if (read_buffer_.size() == 0) {
            const net::Error error = co_await read_buffer_.read_more();
            if (error) co_return false;
        } else {  // no read is waiting that would notice the end of the connection
            if (stream_->peer_closed()) co_return false;
            disconnect_check_timer_.set(loop().now() + disconnect_check_interval);
            co_await request_finished_.wait();
        }
    }
    disconnect_check_timer_.clear();
    co_return !closing_;
}

// ---------------------------------------------------------------- responses

void Connection::send_response(const ActiveRequest& request, unsigned status, std::string_view forwarded,
                               std::string body) {
    write_response(status, request, forwarded, std::move(body));
}

void Connection::send_rejection(const ActiveRequest& request) {
    write_response(request.state == RequestState::rejected ? 503 : 504, request, "", "");
}

void Connection::write_response(unsigned status, const ActiveRequest& request, std::string_view forwarded,
                                std::string body) {
    http::HeadWriter head(http::status_line(status));
    head.add(field::outcome, protocol::outcome_name(request.state))
        .add(field::controller, gateway_.incarnation())
        .add(field::request, static_cast<std::int64_t>(request.id));
    head.add(field::attempts, static_cast<std::int64_t>(request.attempts.size()));
    if (request.state == RequestState::rejected && request.retry_after > Time{}) {
        head.add("Retry-After", round_up_to_seconds(request.retry_after));
        head.add(field::retry_after_ms, request.retry_after / 1ms);
    }
    head.add_raw_lines(forwarded).add("Content-Length", static_cast<std::int64_t>(body.size()));
    const bool closes_connection = should_close();
    if (closes_connection) head.add("Connection", "close");
    write_queue_->send(head.finish(), std::make_shared<const std::string>(std::move(body)));
    request_ = nullptr;
    start_unread_timer();
    finish_request(closes_connection);
}

// Ends a request whose response has been written: closes the connection or waits for the next request.
void Connection::finish_request(bool closes_connection) {
    if (closes_connection)
        close_gracefully();
    else
        set_read_timeout(gateway_.admission().limits().idle_timeout, RejectionReason::none);
    request_finished_.notify();
}

void Connection::begin_stream(const ActiveRequest& request, unsigned status, std::string_view forwarded) {
    http::HeadWriter head(http::status_line(status));
    head.add(field::outcome, protocol::outcome_name(RequestState::succeeded))
        .add(field::controller, gateway_.incarnation())
        .add(field::request, static_cast<std::int64_t>(request.id));
    head.add(field::attempts, static_cast<std::int64_t>(request.attempts.size())).add_raw_lines(forwarded);
    if (chunked_)
        head.add("Transfer-Encoding", "chunked");
    else
        keep_alive_ = false;  // in HTTP/1.0 the end of the connection ends the body
    if (should_close()) head.add("Connection", "close");
    write_queue_->send(head.finish());
    start_unread_timer();
}

void Connection::write_chunk(const ActiveRequest&, std::string bytes) {
    if (bytes.empty()) return;
    if (!chunked_) return write_queue_->send(std::move(bytes));
    std::string size = fmt::format("{:x}\r\n", bytes.size());
    write_queue_->send(std::move(size), std::make_shared<const std::string>(std::move(bytes)));
    write_queue_->send("\r\n");
    start_unread_timer();
}

void Connection::end_stream(const ActiveRequest&, bool is_complete) {
    request_ = nullptr;
    if (!is_complete) {
        stream_->reset();  // a reset shows the client that the response is incomplete
        request_finished_.notify();
        return;
    }
    if (chunked_) write_queue_->send("0\r\n\r\n");
    finish_request(should_close());
}

net::Task<bool> Connection::wait_writable() {
    const auto self = shared_from_this();
    co_await write_queue_->wait_below(gateway_.config().pool.stream_buffer_bytes);
    co_return !write_queue_->error();
}

// Writes the page `name`, such as "metrics". Returns false if there is no such page.
bool Connection::write_page(std::string_view name) {
    const bool closing = gateway_.admission().closing();
    if (name == "metrics" && gateway_.metrics())
        write_page_response(200, "text/plain; version=0.0.4", gateway_.metrics()->exposition());
    else if (name == "status")
        write_page_response(200, "application/json", boost::json::serialize(server_.status()) + "\n");
    else if (name == "health")
        write_page_response(closing ? 503 : 200, "text/plain", closing ? "closing\n" : "ok\n");
    else
        return false;
    return true;
}

void Connection::write_page_response(unsigned status, std::string_view content_type, std::string body) {
    http::HeadWriter head(http::status_line(status));
    head.add("Content-Type", content_type).add("Content-Length", static_cast<std::int64_t>(body.size()));
    const bool closes_connection = should_close();
    if (closes_connection) head.add("Connection", "close");
    write_queue_->send(head.finish(), std::make_shared<const std::string>(std::move(body)));
    if (closes_connection) close_gracefully();
}

// Responds to a request that was not submitted to the gateway, and closes the connection. Only if the reason is
// retryable does the response ask the client to retry.
void Connection::reject(RejectionReason reason) {
    gateway_.admission().count(reason);
    const RejectionResponse& response = response_for(reason);
    gateway_.log().write(Log::Level::info, "request_not_admitted", {{"reason", response.word}});
    std::string body = std::string(response.text) + "\n";
    http::HeadWriter head(http::status_line(static_cast<unsigned>(response.status)));
    head.add(field::rejection_reason, response.word);
    if (response.is_retryable) {
        head.add(field::outcome, protocol::outcome_name(RequestState::rejected));
        const Time retry_after = gateway_.admission().retry_after();
        head.add("Retry-After", round_up_to_seconds(retry_after)).add(field::retry_after_ms, retry_after / 1ms);
    }
    head.add("Content-Type", "text/plain").add("Content-Length", static_cast<std::int64_t>(body.size()));
    head.add("Connection", "close");  // the unread part of this request is discarded
    write_queue_->send(head.finish(), std::make_shared<const std::string>(std::move(body)));
    close_gracefully();
}

// ---------------------------------------------------------------- timeouts and closing

// Starts a timer that disconnects a client which does not read its response, since unsent bytes take memory.
void Connection::start_unread_timer() {
    if (unread_timer_.is_set() || write_queue_->pending_bytes() == 0) return;
    sent_bytes_at_timer_start_ = write_queue_->sent_bytes();
    unread_timer_.set(loop().now() + gateway_.admission().limits().unread_timeout);
}

void Connection::on_unread_timeout() {
    if (write_queue_->pending_bytes() == 0 || write_queue_->sent_bytes() != sent_bytes_at_timer_start_)
        return start_unread_timer();
    gateway_.admission().count(RejectionReason::unread_response);
    stream_->reset();
    write_queue_->abandon();
}

// Closes the connection if the next read takes longer than `timeout`. Unless `reason` is none, the client gets a
// response that rejects its request.
void Connection::set_read_timeout(Time timeout, RejectionReason reason) {
    timeout_reason_ = reason;
    read_timer_.set(loop().now() + timeout);
}

void Connection::on_read_timeout() {
    if (timeout_reason_ == RejectionReason::none)
        stream_->close();
    else
        reject(timeout_reason_);
}

void Connection::close_gracefully() {
    if (std::exchange(closing_, true)) return;
    auto drain_and_close = [](std::shared_ptr<Connection> self) -> net::Task<> {
        co_await gateway::close_gracefully(self->loop(), self->stream_, self->write_queue_, close_linger_time);
    };
    loop().spawn(drain_and_close(shared_from_this()));
}

void Connection::close_if_idle() {
    if (!request_ && !closing_ && read_buffer_.size() == 0) close_gracefully();
}

}  // namespace plumkeel::web
