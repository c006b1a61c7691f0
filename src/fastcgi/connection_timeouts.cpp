// The part of Connection that ends it: timeouts and closing.
#include <algorithm>

#include "fastcgi/connection.hpp"
#include "fastcgi/server.hpp"
#include "gateway/graceful_close.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;
using gateway::Invariant;

namespace {

constexpr Time linger_time = 200ms;  // between the last byte written and the close

}  // namespace

Time Connection::incomplete_for() const {
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
    // Bytes that have arrived and are not read yet may be those that seem missing: the next check is soon enough.
    if (closing_ || stream_->has_unread()) return;
    reject_slow_requests(now);
    // A record that does not become complete blocks only what would follow it: open requests get their responses first.
    const bool is_stuck =
        parser_.in_record() && open_requests_.empty() && now - record_progress_at_ >= limits.head_timeout;
    const bool is_silent = !received_request_ && open_requests_.empty() && now - last_activity_ >= limits.head_timeout;
    const bool is_unused =
        open_requests_.empty() && !parser_.in_request() && now - last_activity_ >= limits.idle_timeout;
    if (is_stuck || is_silent) gateway_.admission().count(RejectionReason::head_too_slow);
    if (is_stuck || is_silent || is_unused) close_gracefully();
}

// False: the client has read nothing of what is pending for too long, and the connection was reset.
bool Connection::check_unread_responses(Time now) {
    if (write_stall_.check(now, *write_queue_) < gateway_.admission().limits().unread_timeout) return true;
    gateway_.admission().count(RejectionReason::unread_response);
    gateway_.log().write(Log::Level::info, "client_not_reading",
                         {{"connection", id_},
                          {"open_requests", open_requests_.size()},
                          {"pending_bytes", write_queue_->pending_bytes()}});
    reset_unread();
    return false;
}

void Connection::reset_unread() {
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

// The connection can't be used further, but its open requests still get their responses: it closes after the last of
// them. Reading goes on until then, so that a disconnect of the client is noticed.
void Connection::close_when_drained() {
    draining_ = true;
    if (open_requests_.empty()) close_gracefully();
}

// Input is left unread from here on: its sender stops, reads what was written, and meets the close. A close at once
// would send a reset for the unread bytes, which may overtake the last response.
void Connection::close_gracefully() {
    if (std::exchange(closing_, true)) return;
    on_closing();
    // From here on nothing is read, so an abort could not be noticed: no request stays open.
    while (!open_requests_.empty()) cancel(open_requests_.begin()->first);
    loop().spawn(drain_and_close(shared_from_this()));
}

net::Task<> Connection::drain_and_close(std::shared_ptr<Connection>) {
    co_await gateway::close_gracefully(loop(), stream_, write_queue_, linger_time);
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
