// Timeouts and closing of a FastCGI Connection.
#include <algorithm>

#include "fastcgi/connection.hpp"
#include "fastcgi/server.hpp"
#include "gateway/graceful_close.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;
using gateway::Invariant;

namespace {

constexpr Time linger_time = 200ms;  // time for the client to read the last response before the socket is closed

}  // namespace

Time Connection::incomplete_duration() const {
    if (closing_ || !open_requests_.empty() || incomplete_requests_.empty() || write_queue_->pending_bytes() > 0)
        return {};
    Time oldest = loop().now();
    for (const auto& [request_id, since] : incomplete_requests_) oldest = std::min(oldest, since);
    return loop().now() - oldest;
}

void Connection::check_timeouts() {
    const AdmissionLimits& limits = gateway_.admission().limits();
    const Time now = loop().now();
    if (!check_unread_responses(now)) return;
    timeout_timer_.set(now + timeout_check_interval);
    // Input that is not read yet may complete a request or record: only the next check may time it out.
    if (closing_ || has_unparsed_input_ || stream_->has_unread()) return;
    reject_slow_requests(now);
    // An incomplete record blocks only later records, so the connection stays open until open requests have responses.
    const bool has_stalled_record =
        parser_.in_record() && open_requests_.empty() && now - last_record_completed_at_ >= limits.head_timeout;
    const bool is_silent = !received_request_ && open_requests_.empty() && now - last_activity_ >= limits.head_timeout;
    const bool is_idle_too_long =
        open_requests_.empty() && !parser_.in_request() && now - last_activity_ >= limits.idle_timeout;
    // Its client has stopped sending, so run() does not get to hold_and_close().
    const bool is_rejected = glitches_.is_exceeded() && open_requests_.empty() && !is_held_;
    if (has_stalled_record || is_silent) gateway_.admission().count(RejectionReason::head_too_slow);
    if (has_stalled_record || is_silent || is_idle_too_long || is_rejected) close_gracefully();
}

// Resets the connection and returns false if the client has read nothing of the pending responses for too long.
bool Connection::check_unread_responses(Time now) {
    if (write_stall_detector_.check(now, *write_queue_) < gateway_.admission().limits().unread_timeout) return true;
    gateway_.admission().count(RejectionReason::unread_response);
    gateway_.log().write(Log::Level::info, "client_not_reading",
                         {{"connection", id_},
                          {"open_requests", open_requests_.size()},
                          {"pending_bytes", write_queue_->pending_bytes()}});
    reset_connection();
    return false;
}

void Connection::reset_connection() {
    write_queue_->abandon();
    stream_->reset();
}

void Connection::reject_slow_requests(Time now) {
    for (const std::uint16_t request_id : parser_.incomplete_requests()) {
        if (now - incomplete_requests_[request_id] < gateway_.admission().limits().head_timeout) continue;
        parser_.discard(request_id);
        incomplete_requests_.erase(request_id);
        reject(request_id, RejectionReason::head_too_slow, true);
    }
}

// ---------------------------------------------------------------- closing

// Accepts no more requests and closes after the last open request has its response. Reading goes on until then, so that
// a disconnect of the client is noticed.
void Connection::close_when_drained() {
    draining_ = true;
    if (open_requests_.empty()) close_gracefully();
}

// Stops reading, writes what is pending, shuts down sending and closes the socket after linger_time. Closing the socket
// at once with unread input would send a reset, which could make the client lose the last response.
void Connection::close_gracefully() {
    if (std::exchange(closing_, true)) return;
    on_closing();
    // Without reading, an abort could not be noticed: open requests are cancelled.
    while (!open_requests_.empty()) cancel(open_requests_.begin()->first);
    loop().spawn(drain_and_close(shared_from_this()));
}

net::Task<> Connection::drain_and_close(std::shared_ptr<Connection>) {
    // A client that was held has had its time. Its next connection must not find this one still open, or many such
    // clients would reach the connection limit, at which idle connections of others are closed.
    co_await gateway::close_gracefully(loop(), stream_, write_queue_, is_held_ ? Time{} : linger_time);
    closed_ = true;
    closed_notification_.notify();
}

void Connection::close_now() {
    if (std::exchange(closing_, true)) return;
    on_closing();
    closed_ = true;
    stream_->close();
}

void Connection::on_closing() {
    gateway_.invariants().check(open_requests_.empty(), Invariant::connection_closed_with_requests, [&] {
        return gateway::Invariants::Fields{
            {"connection", id_}, {"open_requests", open_requests_.size()}, {"draining", draining_}};
    });
    if (!gateway_.log().is_enabled(Log::Level::debug)) return;
    gateway_.log().write(Log::Level::debug, "client_connection_closed",
                         {{"connection", id_},
                          {"open_requests", open_requests_.size()},
                          {"received_request", received_request_},
                          {"malformed", malformed_},
                          {"draining", draining_},
                          {"idle_ms", (loop().now() - last_activity_) / 1ms}});
}

}  // namespace plumkeel::fastcgi
