#include "web/connection_pool.hpp"

#include <algorithm>

#include "web/invoker_connection.hpp"

namespace plumkeel::web {

using delivery::Progress;
using delivery::StopCause;

namespace {

constexpr std::size_t extra_priority_connections = 2;  // for health checks and preloads, beyond max_connections

}  // namespace

ConnectionPool::ConnectionPool(net::EventLoop& loop, const PoolConfig& config, net::Address address,
                               gateway::ConnectionCounts& counts, std::string controller_name)
    : gateway::QueueingPool(loop, config, std::move(address), counts), controller_name_(std::move(controller_name)) {}

ConnectionPool::~ConnectionPool() {
    loop_.cancel(dispatch_timer_);
}

// Sends the call on an idle connection or a new one. Returns false if the call has to wait for a connection.
bool ConnectionPool::dispatch(const Call& call) {
    if (may_have_unread_input(*call)) {
        dispatch_queued_later();
        return false;
    }
    while (!idle_.empty() && !call->fresh_connection) {
        const auto connection = idle_.back();
        idle_.pop_back();
        if (connection->try_send(call)) return true;
    }
    const std::size_t limit = config_.max_connections + (call->has_priority() ? extra_priority_connections : 0);
    if (connections_.size() >= limit) {
        if (call->fresh_connection && !idle_.empty()) {  // makes room for a new connection
            idle_.front()->close();
            idle_.erase(idle_.begin());
        }
        return false;
    }
    connections_.push_back(std::make_shared<InvokerConnection>(*this));
    connections_.back()->start(call);
    return true;
}

// After a stall of this thread, the client's disconnect or a drain notice may be unread. Attempts wait for one
// iteration of the event loop, and longer while there is unread input of their client.
bool ConnectionPool::may_have_unread_input(const UpstreamCall& call) const {
    const bool is_first_try = !is_dispatching_later_ && !call.has_priority();
    return (is_first_try && loop_.is_lagging()) || client_has_unread_input(call);
}

void ConnectionPool::dispatch_queued_later() {
    if (dispatch_timer_.second) return;
    dispatch_timer_ = loop_.call_at(loop_.now() + client_input_retry_delay, [this] {
        dispatch_timer_ = {};
        is_dispatching_later_ = true;
        dispatch_queued();
        is_dispatching_later_ = false;
    });
}

void ConnectionPool::on_connection_free(const ConnectionPtr& connection) {
    idle_.push_back(connection);
    connection->start_idle_timer();
    dispatch_queued();
}

void ConnectionPool::connection_closed(const ConnectionPtr& connection) {
    std::erase(connections_, connection);
    std::erase(idle_, connection);
    dispatch_queued();
}

bool ConnectionPool::is_partly_sent(const UpstreamCall& call) const {
    const auto connection = std::static_pointer_cast<InvokerConnection>(connection_of(call));
    return connection && connection->has_unsent_bytes();
}

// Cancels a call. If it was assigned to a connection, that connection is closed.
Progress ConnectionPool::remove(UpstreamCall& call, StopCause) {
    Progress progress = Progress::not_written;
    if (const auto connection = std::static_pointer_cast<InvokerConnection>(connection_of(call))) {
        progress = connection->progress();
        connection->release_call();
        connection->close();
    }
    remove_queued(call);
    return progress;
}

void ConnectionPool::collect_unsent(std::vector<Call>& unsent) const {
    for (const auto& connection : connections_)
        if (const auto call = connection->unsent_attempt()) unsent.push_back(call);
}

void ConnectionPool::set_address(net::Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    close_idle();
}

void ConnectionPool::close() {
    close_idle();
}

void ConnectionPool::close_idle() {
    for (const auto& connection : std::exchange(idle_, {})) connection->close();
}

std::size_t ConnectionPool::in_flight_count() const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& connection) { return connection->has_attempt(); }));
}

}  // namespace plumkeel::web
