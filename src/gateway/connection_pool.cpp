#include "gateway/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "gateway/request_table.hpp"

namespace plumkeel::gateway {

void ConnectionPool::send(std::shared_ptr<UpstreamCall> call) {
    set_deadline_timer(*call, std::min(call->deadline, call->send_deadline()));
    if (!enqueue(call)) finish_soon(std::move(call), AttemptOutcome::never_sent);
}

void ConnectionPool::set_deadline_timer(UpstreamCall& call, net::Time when) {
    call.deadline_timer_ = loop_.call_at(when, [this, weak = call.weak_from_this()] {
        if (const auto expired = weak.lock()) on_deadline(*expired);
    });
}

// Ends the call at its deadline, or earlier if it is unsent and must not be sent any more.
void ConnectionPool::on_deadline(UpstreamCall& call) {
    if (loop_.now() >= call.deadline) return stop(call, delivery::StopCause::timed_out);
    if (is_send_overdue(call)) return stop(call, delivery::StopCause::cancelled_unsent);
    set_deadline_timer(call, call.deadline);
}

void ConnectionPool::finish(const std::shared_ptr<UpstreamCall>& call, CallResult result) {
    if (!call || call->state_ == UpstreamCall::State::ended) return;
    call->state_ = UpstreamCall::State::ended;
    clear_deadline(*call);
    call->on_ended(std::move(result));
}

void ConnectionPool::finish(const std::shared_ptr<UpstreamCall>& call, AttemptOutcome outcome) {
    CallResult result;
    result.outcome = outcome;
    finish(call, std::move(result));
}

void ConnectionPool::finish_soon(std::shared_ptr<UpstreamCall> call, AttemptOutcome outcome) {
    loop_.call_at(loop_.now(), [this, call = std::move(call), outcome] { finish(call, outcome); });
}

delivery::StopCause ConnectionPool::connect_failure_cause(const net::Error& error) {
    namespace asio = net::asio;
    for (const net::Error& unavailable :
         {net::Error(asio::error::connection_refused), net::Error(asio::error::timed_out),
          net::Error(asio::error::host_unreachable)})
        if (error == unavailable) return delivery::StopCause::no_connection;
    return delivery::StopCause::connection_lost;
}

bool ConnectionPool::client_has_unread_input(const UpstreamCall& call) const {
    if (call.has_priority() || !loop_.was_lagging()) return false;
    return call.request->sink && call.request->sink->has_unread_input();
}

void ConnectionPool::stop(UpstreamCall& call, delivery::StopCause cause) {
    if (call.state_ == UpstreamCall::State::ended) return;
    const auto shared_call = call.shared_from_this();
    finish_soon(shared_call, delivery::outcome_of(remove(call, cause), cause));
}

}  // namespace plumkeel::gateway
