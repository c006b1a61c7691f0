#include "fastcgi/connection.hpp"

#include <algorithm>

#include "fastcgi/request_fields.hpp"
#include "fastcgi/response_encoder.hpp"
#include "fastcgi/server.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;
using gateway::ActiveRequest;
using gateway::IncomingRequest;

namespace {

constexpr std::size_t read_buffer_bytes = 8 * 1024;
// Of responses: while more is pending no further requests are accepted.
constexpr std::size_t max_pending_bytes = 64 * 1024;
// Of rejections and control records written while that much is pending: beyond it the connection is reset.
constexpr std::size_t max_rejection_bytes = 64 * 1024;
// Content of rejected requests since one was accepted: beyond it the connection is closed.
constexpr std::size_t max_discarded_bytes = 256 * 1024;
constexpr std::size_t typical_rejection_bytes = 192;
constexpr Time malformed_read_pause = 1ms;  // between reads of malformed input: a flood of it costs no more

std::uint16_t request_id_of(const ActiveRequest& request) {
    return static_cast<std::uint16_t>(request.sink_request_id);
}

}  // namespace

Connection::Connection(Server& server, std::uint64_t id, std::shared_ptr<net::Stream> stream, Time accept_delay)
    : server_(server),
      gateway_(server.gateway()),
      id_(id),
      stream_(std::move(stream)),
      write_queue_(std::make_shared<net::WriteQueue>(gateway_.loop(), stream_)),
      parser_({.body_bytes = gateway_.admission().limits().max_body_bytes}),
      timeout_timer_(gateway_.loop(), [this] { check_timeouts(); }),
      closed_notification_(gateway_.loop()),
      write_stall_(timeout_check_interval) {
    if (accept_delay > Time{}) backlog_since_ = loop().now() - accept_delay;
}

net::EventLoop& Connection::loop() const {
    return gateway_.loop();
}

void Connection::start() {
    last_activity_ = record_progress_at_ = loop().now();
    write_stall_.start(last_activity_);
    timeout_timer_.set(last_activity_ + timeout_check_interval);
    loop().spawn(run(shared_from_this()));
}

// ---------------------------------------------------------------- reading

net::Task<> Connection::run(std::shared_ptr<Connection> self) {
    std::vector<char> buffer(read_buffer_bytes);
    // Reads whatever is pending: a client that aborts a request or disconnects must be noticed at once.
    while (!closing_) {
        const net::TransferResult result = co_await stream_->read(net::asio::buffer(buffer));
        if (result.error || closing_) break;
        last_activity_ = loop().now();
        read_at_ = last_activity_;
        note_backlog(result.lag);
        parse({buffer.data(), result.bytes});
        if (backlog_since_ && !stream_->has_unread()) backlog_since_.reset();
        if (!enforce_rejection_limit()) break;
        if (malformed_) co_await loop().sleep(malformed_read_pause);
    }
    while (!open_requests_.empty()) cancel(open_requests_.begin()->first);
    while (closing_ && !closed_) co_await closed_notification_.wait();
    closing_ = true;
    timeout_timer_.clear();
    gateway_.admission().release(std::exchange(reserved_bytes_, 0));
    write_queue_->abandon();
    stream_->close();
    server_.connection_closed(self);
}

// Responses to open requests are bounded by how many may be open; rejections to a client that reads none are not.
// False: the connection was reset.
bool Connection::enforce_rejection_limit() {
    if (write_queue_->pending_bytes() <= max_pending_bytes) unread_rejection_bytes_ = 0;
    if (unread_rejection_bytes_ <= max_rejection_bytes) return true;
    gateway_.admission().count(RejectionReason::unread_response);
    reset_unread();
    return false;
}

void Connection::note_backlog(Time lag) {
    const Time unread = gateway_.max_unread_time(lag);
    if (unread > Time{} && !backlog_since_) backlog_since_ = loop().now() - unread;
}

// How long the request that is complete now may have been in its socket. If its bytes are the newest, the kernel knows.
Time Connection::time_unread() {
    const Time longest = backlog_since_ ? loop().now() - *backlog_since_ : Time{};
    if (longest <= Time{} || parser_.bytes_ahead() > 0 || stream_->has_unread()) return longest;
    return std::min(longest, stream_->since_newest_bytes().value_or(longest));
}

void Connection::parse(std::string_view bytes) {
    if (malformed_) return;
    const std::uint64_t records_before = parser_.record_count();
    malformed_ = !parser_.feed(bytes, *this);
    if (parser_.record_count() != records_before || !parser_.in_record()) record_progress_at_ = last_activity_;
    if (malformed_) gateway_.admission().count(RejectionReason::malformed);
    if (!update_reservation()) reject_incomplete_requests();
    if (malformed_ || parser_.discarded_bytes() - discarded_bytes_at_submit_ > max_discarded_bytes)
        close_when_drained();
}

// Admission counts the bytes of incomplete requests too: many of them must not exceed its limit together.
bool Connection::update_reservation() {
    const std::size_t held = parser_.held_bytes();
    RejectionReason full = RejectionReason::none;
    if (held > reserved_bytes_)
        full = gateway_.admission().reserve(held - reserved_bytes_);
    else
        gateway_.admission().release(reserved_bytes_ - held);
    if (full == RejectionReason::none) reserved_bytes_ = held;
    return full == RejectionReason::none;
}

// Other clients may have used the memory up: only incomplete requests are rejected for it, never an open one.
void Connection::reject_incomplete_requests() {
    for (const std::uint16_t request_id : parser_.incomplete_requests()) {
        parser_.discard(request_id);
        incomplete_requests_.erase(request_id);
        reject(request_id, RejectionReason::no_memory, true);
    }
    gateway_.admission().release(std::exchange(reserved_bytes_, parser_.held_bytes()));
}

// ---------------------------------------------------------------- requests

void Connection::on_request_begun(std::uint16_t request_id) {
    incomplete_requests_[request_id] = loop().now();
}

void Connection::on_request(RequestMessage message) {
    const std::uint16_t request_id = message.request_id;
    incomplete_requests_.erase(request_id);
    received_request_ = true;
    const auto fields = parse_fields(message.params);
    if (!fields) return reject(request_id, RejectionReason::malformed, message.keep_connection);
    const Paths& paths = server_.paths();
    if (!fields->path.starts_with(paths.requests)) {
        if (fields->path != paths.health)
            return reject(request_id, RejectionReason::no_such_path, message.keep_connection);
        open_requests_[request_id] = {nullptr, message.keep_connection};
        return write_response(request_id, encode_health(request_id, gateway_.admission().closing()));
    }
    IncomingRequest request;
    RejectionReason reason = parse_request(*fields, fields->path.substr(paths.requests.size()), message.body.size(),
                                           gateway_.config(), gateway_.admission().limits(), request);
    if (reason == RejectionReason::none) reason = admit(message, request);
    if (reason != RejectionReason::none) return reject(request_id, reason, message.keep_connection);
    submit(std::move(message), std::move(request));
}

// Reserves memory for its body and counts it as open, unless it returns a reason.
RejectionReason Connection::admit(const RequestMessage& message, const IncomingRequest& request) {
    if (draining_) return RejectionReason::too_many_requests;
    // A client that does not read its responses gets no further requests in.
    if (open_requests_.size() >= ParserLimits{}.max_requests || write_queue_->pending_bytes() > max_pending_bytes)
        return RejectionReason::too_many_requests;
    if (server_.open_request_ids().count(request.name)) return RejectionReason::bad_field;
    Admission& admission = gateway_.admission();
    if (const RejectionReason full = admission.reserve(message.body.size()); full != RejectionReason::none) return full;
    const RejectionReason reason = admission.admit_request();
    if (reason != RejectionReason::none) admission.release(message.body.size());
    return reason;
}

void Connection::submit(RequestMessage message, IncomingRequest request) {
    const std::uint16_t request_id = message.request_id;
    discarded_bytes_at_submit_ = parser_.discarded_bytes();
    request.unread_time = time_unread();
    request.read_at = read_at_;
    request.held_bytes = message.body.size();
    request.body = std::move(message.body);
    request.sink_request_id = request_id;
    server_.open_request_ids().insert(request.name);
    open_requests_[request_id] = {nullptr, message.keep_connection};
    ActiveRequest* active = gateway_.submit(std::move(request), shared_from_this());
    if (active) open_requests_[request_id].request = active;
}

void Connection::on_request_error(std::uint16_t request_id, RequestError error, bool keep_connection) {
    incomplete_requests_.erase(request_id);
    if (error == RequestError::duplicate_id) cancel(request_id);
    switch (error) {
        case RequestError::unsupported_role:
            gateway_.admission().count(RejectionReason::malformed);
            return write_control(encode_end_request(request_id, 0, ProtocolStatus::unknown_role, false));
        case RequestError::too_many_requests:
            return reject(request_id, RejectionReason::too_many_requests, keep_connection);
        case RequestError::body_too_big:
            return reject(request_id, RejectionReason::body_too_big, keep_connection);
        case RequestError::none:
        case RequestError::bad_parameters:
        case RequestError::duplicate_id:
            return reject(request_id, RejectionReason::malformed, keep_connection);
    }
}

void Connection::on_abort(std::uint16_t request_id) {
    incomplete_requests_.erase(request_id);
    if (!open_requests_.count(request_id)) return;  // its response has been written already
    cancel(request_id);
    write_control(encode_end_request(request_id, 0, ProtocolStatus::request_complete, false));
    if (draining_ && open_requests_.empty()) close_gracefully();
}

// Its client does not want the response any more.
void Connection::cancel(std::uint16_t request_id) {
    const auto found = open_requests_.find(request_id);
    if (found == open_requests_.end()) return;
    ActiveRequest* request = found->second.request;
    open_requests_.erase(found);
    if (!request) return;
    server_.open_request_ids().erase(request->name);
    gateway_.client_disconnected(*request);
}

void Connection::on_get_values(std::string_view names) {
    write_control(encode_values(names, gateway_.admission().limits().max_connections, ParserLimits{}.max_requests));
}

void Connection::on_unknown_type(std::uint8_t type) {
    write_control(encode_unknown_type(type));
}

// ---------------------------------------------------------------- responses

void Connection::send_response(const ActiveRequest& request, unsigned, std::string_view, std::string body) {
    server_.open_request_ids().erase(request.name);
    const std::uint16_t request_id = request_id_of(request);
    write_response(request_id, encode_success(request_id, body));
}

void Connection::send_rejection(const ActiveRequest& request) {
    server_.open_request_ids().erase(request.name);
    const std::uint16_t request_id = request_id_of(request);
    write_response(request_id, encode_rejection(request_id, request));
}

// For a request that was never submitted.
void Connection::reject(std::uint16_t request_id, RejectionReason reason, bool keep_connection) {
    Admission& admission = gateway_.admission();
    admission.count(reason);
    open_requests_[request_id] = {nullptr, keep_connection};
    unread_rejection_bytes_ += typical_rejection_bytes;
    write_response(request_id, encode_admission_rejection(request_id, reason, admission.retry_after()));
}

void Connection::write_response(std::uint16_t request_id, std::string records) {
    write_queue_->send(std::move(records));
    request_finished(request_id);
}

void Connection::write_control(std::string record) {
    unread_rejection_bytes_ += record.size();
    write_queue_->send(std::move(record));
}

void Connection::request_finished(std::uint16_t request_id) {
    const auto found = open_requests_.find(request_id);
    if (found == open_requests_.end()) return;
    const bool keep_connection = found->second.keep_connection;
    open_requests_.erase(found);
    last_activity_ = loop().now();
    client_asked_to_close_ = client_asked_to_close_ || !keep_connection;
    if ((client_asked_to_close_ || draining_) && open_requests_.empty()) close_gracefully();
}

void Connection::begin_stream(const ActiveRequest& request, unsigned status, std::string_view) {
    write_queue_->send(encode_stream_begin(request_id_of(request), status));
}

void Connection::write_chunk(const ActiveRequest& request, std::string bytes) {
    write_queue_->send(encode_stdout(request_id_of(request), bytes));
}

void Connection::end_stream(const ActiveRequest& request, bool whole) {
    const std::uint16_t request_id = request_id_of(request);
    server_.open_request_ids().erase(request.name);
    if (whole)
        write_queue_->send(encode_end_request(request_id, 0, ProtocolStatus::request_complete, true));
    else
        stream_->reset();  // the client must not take an incomplete response for a complete one
    request_finished(request_id);
}

net::Task<bool> Connection::wait_writable() {
    const auto self = shared_from_this();
    co_await write_queue_->wait_below(gateway_.config().pool.stream_buffer_bytes);
    co_return !write_queue_->error();
}

}  // namespace plumkeel::fastcgi
