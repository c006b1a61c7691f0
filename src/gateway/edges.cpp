#include "gateway/edges.hpp"

namespace plumkeel::gateway {

void ConnectionPool::send(std::shared_ptr<UpstreamCall> call) {
    call->deadline_timer_ = loop_.call_at(call->deadline, [this, weak = call->weak_from_this()] {
        if (const auto late = weak.lock()) stop(*late, delivery::StopCause::timed_out);
    });
    if (!enqueue(call)) finish_soon(call, AttemptOutcome::never_sent);
}

void ConnectionPool::finish(const std::shared_ptr<UpstreamCall>& call, CallResult outcome) {
    if (!call || call->state_ == UpstreamCall::State::ended) return;
    call->state_ = UpstreamCall::State::ended;
    clear_deadline(*call);
    call->on_ended(std::move(outcome));
}

void ConnectionPool::finish(const std::shared_ptr<UpstreamCall>& call, AttemptOutcome ending) {
    CallResult outcome;
    outcome.outcome = ending;
    finish(call, std::move(outcome));
}

void ConnectionPool::finish_soon(std::shared_ptr<UpstreamCall> call, AttemptOutcome ending) {
    loop_.call_at(loop_.now(), [this, call = std::move(call), ending] { finish(call, ending); });
}

delivery::StopCause ConnectionPool::cause_of(const net::Error& error) {
    namespace asio = net::asio;
    for (const net::Error& nobody : {net::Error(asio::error::connection_refused), net::Error(asio::error::timed_out),
                                     net::Error(asio::error::host_unreachable)})
        if (error == nobody) return delivery::StopCause::no_connection;
    return delivery::StopCause::connection_lost;
}

// The errand is no longer wanted, or out of time.
void ConnectionPool::stop(UpstreamCall& call, delivery::StopCause cause) {
    if (call.state_ == UpstreamCall::State::ended) return;
    const auto self = call.shared_from_this();
    finish_soon(self, delivery::outcome_of(remove(call, cause), cause));
}

}  // namespace plumkeel::gateway
