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
// While more response bytes than this wait to be written, further requests are rejected.
constexpr std::size_t max_pending_response_bytes = 64 * 1024;
// The connection is reset when the client has left this many bytes of rejections and control records unread.
constexpr std::size_t max_rejection_bytes = 64 * 1024;
// The connection is closed when this many bytes of rejected requests have arrived since the last accepted request.
constexpr std::size_t max_discarded_bytes = 256 * 1024;
constexpr std::size_t typical_rejection_bytes = 192;
// Records of one connection that are handled in one iteration of the event loop: eight requests or so.
constexpr std::uint64_t max_records_per_iteration = 32;
// Between two reads of a connection that sent malformed input or too many glitches: limits its CPU time.
constexpr Time faulty_read_pause = 1ms;
// How long a connection that exceeded the limit on glitches stays open unread: limits the rate at which a client that
// floods one connection after another can do so.
constexpr Time flood_hold_time = 250ms;
constexpr Time flood_hold_check_interval = 50ms;

// Whether the request was rejected for what the client sent, not for what the controller lacks.
bool is_client_fault(RejectionReason reason) {
    return reason != RejectionReason::none && reason != RejectionReason::no_memory &&
           reason != RejectionReason::closing && reason != RejectionReason::too_many_requests;
}

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
      write_stall_detector_(timeout_check_interval) {
    if (accept_delay > Time{}) unread_since_ = loop().now() - accept_delay;
}

net::EventLoop& Connection::loop() const {
    return gateway_.loop();
}

void Connection::start() {
    last_activity_ = last_record_completed_at_ = loop().now();
    write_stall_detector_.start(last_activity_);
    timeout_timer_.set(last_activity_ + timeout_check_interval);
    loop().spawn(run(shared_from_this()));
}

// ---------------------------------------------------------------- reading

net::Task<> Connection::run(std::shared_ptr<Connection> self) {
    std::vector<char> buffer(read_buffer_bytes);
    // Keeps reading while requests are open, so that an abort or a disconnect of the client is noticed at once.
    while (!closing_) {
        if (glitches_.is_exceeded() && open_requests_.empty()) {
            co_await hold_and_close();
            break;
        }
        const net::TransferResult result = co_await stream_->read(net::asio::buffer(buffer));
        if (result.error || closing_) break;
        last_activity_ = loop().now();
        read_at_ = last_activity_;
        note_unread_time(result.lag);
        std::string_view input(buffer.data(), result.bytes);
        parse(input);
        if (!input.empty()) co_await parse_in_passes(input);
        if (unread_since_ && !stream_->has_unread()) unread_since_.reset();
        if (!enforce_rejection_limit()) break;
        if (malformed_ || glitches_.is_exceeded()) co_await loop().sleep(faulty_read_pause);
    }
    while (!open_requests_.empty()) cancel(open_requests_.begin()->first);
    while (closing_ && !closed_) co_await closed_notification_.wait();
    closing_ = true;
    timeout_timer_.clear();
    gateway_.admission().release(std::exchange(reserved_bytes_, 0));
    write_queue_->abandon();
    stream_->close();
    server_.on_connection_closed(self);
}

// Bounds the memory for rejections that a client does not read; the limit on open requests bounds other responses.
// Returns false if it reset the connection.
bool Connection::enforce_rejection_limit() {
    if (write_queue_->pending_bytes() <= max_pending_response_bytes) unread_rejection_bytes_ = 0;
    if (unread_rejection_bytes_ <= max_rejection_bytes) return true;
    gateway_.admission().count(RejectionReason::unread_response);
    reset_connection();
    return false;
}

void Connection::note_unread_time(Time lag) {
    const Time unread = gateway_.max_unread_time(lag);
    if (unread > Time{} && !unread_since_) unread_since_ = loop().now() - unread;
}

// Returns the longest time that the request just parsed may have waited in the socket's buffer. If its bytes are the
// last ones received, the kernel reports their age.
Time Connection::unread_time() {
    const Time max_unread_time = unread_since_ ? loop().now() - *unread_since_ : Time{};
    if (max_unread_time <= Time{} || parser_.unparsed_bytes() > 0 || stream_->has_unread()) return max_unread_time;
    return std::min(max_unread_time, stream_->time_since_last_receive().value_or(max_unread_time));
}

// Parses the rest of what was read, a part in each iteration of the event loop, so that other connections and timers
// don't wait for a client that sends much. If the connection closes meanwhile, the requests in it are answered at once.
net::Task<> Connection::parse_in_passes(std::string_view input) {
    has_unparsed_input_ = true;
    while (!input.empty()) {
        if (!closing_) co_await loop().yield();
        parse(input);
    }
    has_unparsed_input_ = false;
}

// Parses records from the front of `input` and removes them, up to max_records_per_iteration. The replies are written
// together.
void Connection::parse(std::string_view& input) {
    if (malformed_) {
        input = {};
        return;
    }
    const net::WriteQueue::Batch batch(*write_queue_);
    const std::uint64_t records_before = parser_.record_count();
    malformed_ = !parser_.feed(input, *this, max_records_per_iteration);
    if (malformed_) input = {};
    if (parser_.record_count() != records_before || !parser_.in_record()) last_record_completed_at_ = last_activity_;
    if (malformed_) gateway_.admission().count(RejectionReason::malformed);
    if (!update_reservation()) reject_incomplete_requests();
    if (malformed_ || parser_.discarded_bytes() - discarded_bytes_at_submit_ > max_discarded_bytes)
        close_when_drained();
}

void Connection::record_glitch() {
    const bool was_exceeded = glitches_.is_exceeded();
    glitches_.record(loop().now());
    if (was_exceeded || !glitches_.is_exceeded()) return;
    gateway_.admission().count(RejectionReason::malformed);
    gateway_.log().write(Log::Level::info, "client_flooding",
                         {{"connection", id_}, {"open_requests", open_requests_.size()}});
}

// Leaves the connection open and unread for a while, then closes it; at once if the controller shuts down. A client
// that has not read its replies by then is not waited for.
net::Task<> Connection::hold_and_close() {
    is_held_ = true;
    const Time hold_until = loop().now() + flood_hold_time;
    while (!closing_ && loop().now() < hold_until && !gateway_.admission().closing())
        co_await loop().sleep(flood_hold_check_interval);
    if (write_queue_->pending_bytes() > 0) reset_connection();
    close_gracefully();
}

// Reserves memory with admission for the bytes buffered of incomplete requests; returns false if its limit is reached.
bool Connection::update_reservation() {
    const std::size_t held_bytes = parser_.held_bytes();
    RejectionReason shortage = RejectionReason::none;
    if (held_bytes > reserved_bytes_)
        shortage = gateway_.admission().reserve(held_bytes - reserved_bytes_);
    else
        gateway_.admission().release(reserved_bytes_ - held_bytes);
    if (shortage == RejectionReason::none) reserved_bytes_ = held_bytes;
    return shortage == RejectionReason::none;
}

// Rejects the incomplete requests of this connection for lack of memory. Open requests are unaffected.
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
    if (!fields) return reject_invalid(request_id, RejectionReason::malformed, message.keep_connection);
    const Paths& paths = server_.paths();
    if (!fields->path.starts_with(paths.requests)) {
        if (fields->path != paths.health)
            return reject_invalid(request_id, RejectionReason::no_such_path, message.keep_connection);
        open_requests_[request_id] = {nullptr, message.keep_connection};
        return write_response(request_id, encode_health(request_id, gateway_.admission().closing()));
    }
    IncomingRequest request;
    RejectionReason reason = parse_request(*fields, fields->path.substr(paths.requests.size()), message.body.size(),
                                           gateway_.config(), gateway_.admission().limits(), request);
    if (reason == RejectionReason::none) reason = admit(message, request);
    if (is_client_fault(reason)) return reject_invalid(request_id, reason, message.keep_connection);
    if (reason != RejectionReason::none) return reject(request_id, reason, message.keep_connection);
    submit(std::move(message), std::move(request));
}

// Reserves memory for the request's body and counts the request as open, or returns the reason for its rejection.
RejectionReason Connection::admit(const RequestMessage& message, const IncomingRequest& request) {
    if (draining_ || glitches_.is_exceeded()) return RejectionReason::too_many_requests;
    // Further requests of a client that does not read its responses are rejected.
    if (open_requests_.size() >= ParserLimits{}.max_requests ||
        write_queue_->pending_bytes() > max_pending_response_bytes)
        return RejectionReason::too_many_requests;
    if (server_.open_request_ids().count(request.name)) return RejectionReason::bad_field;
    Admission& admission = gateway_.admission();
    if (const RejectionReason shortage = admission.reserve(message.body.size()); shortage != RejectionReason::none)
        return shortage;
    const RejectionReason reason = admission.admit_request();
    if (reason != RejectionReason::none) admission.release(message.body.size());
    return reason;
}

void Connection::submit(RequestMessage message, IncomingRequest request) {
    const std::uint16_t request_id = message.request_id;
    discarded_bytes_at_submit_ = parser_.discarded_bytes();
    request.unread_time = unread_time();
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
    record_glitch();
    if (error == RequestError::duplicate_id) cancel(request_id);
    if (glitches_.is_exceeded()) return;
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
    record_glitch();
    if (!open_requests_.count(request_id)) return;  // the response has been written already
    cancel(request_id);
    write_control(encode_end_request(request_id, 0, ProtocolStatus::request_complete, false));
    if (draining_ && open_requests_.empty()) close_gracefully();
}

// Cancels a request whose client aborted it or disconnected; no response is written.
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
    record_glitch();
    if (glitches_.is_exceeded()) return;
    write_control(encode_values(names, gateway_.admission().limits().max_connections, ParserLimits{}.max_requests));
}

void Connection::on_unknown_type(std::uint8_t type) {
    record_glitch();
    if (!glitches_.is_exceeded()) write_control(encode_unknown_type(type));
}

// ---------------------------------------------------------------- responses

void Connection::send_response(const ActiveRequest& request, unsigned, std::string_view, std::string body) {
    glitches_.request_answered();
    server_.open_request_ids().erase(request.name);
    const std::uint16_t request_id = request_id_of(request);
    write_response(request_id, encode_success(request_id, body));
}

void Connection::send_rejection(const ActiveRequest& request) {
    glitches_.request_answered();
    server_.open_request_ids().erase(request.name);
    const std::uint16_t request_id = request_id_of(request);
    write_response(request_id, encode_rejection(request_id, request));
}

void Connection::reject_invalid(std::uint16_t request_id, RejectionReason reason, bool keep_connection) {
    record_glitch();
    reject(request_id, reason, keep_connection);
}

// Writes the rejection of a request that has not been submitted to the gateway.
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

void Connection::end_stream(const ActiveRequest& request, bool complete) {
    const std::uint16_t request_id = request_id_of(request);
    server_.open_request_ids().erase(request.name);
    if (complete)
        write_queue_->send(encode_end_request(request_id, 0, ProtocolStatus::request_complete, true));
    else
        stream_->reset();  // otherwise the client would take the truncated response for a complete one
    request_finished(request_id);
}

net::Task<bool> Connection::wait_writable() {
    const auto self = shared_from_this();
    co_await write_queue_->wait_below(gateway_.config().pool.stream_buffer_bytes);
    co_return !write_queue_->error();
}

}  // namespace plumkeel::fastcgi
