#include "invoker_protocol/connection_pool.hpp"

#include "gateway/gateway.hpp"
#include "invoker_protocol/invoker_connection.hpp"

namespace plumkeel::invoker_protocol {

using delivery::Progress;
using delivery::StopCause;

namespace {

// Whether a second run of the request could have a second effect.
bool may_run_only_once(const UpstreamCall& call) {
    return call.request->request_class->idempotency != Idempotency::idempotent;
}

}  // namespace

ConnectionPool::ConnectionPool(net::EventLoop& loop, const PoolConfig& config, const ResponseOptions& options,
                               net::Address address, gateway::ConnectionCounts& counts, ConnectionBudget& budget)
    : gateway::QueueingPool(loop, config, std::move(address), counts), options_(options), budget_(budget) {}

ConnectionPool::~ConnectionPool() {
    budget_.remove_waiting_pool(*this);
}

// Returns the id that a call has in the invoker protocol: attempts use the request id, probes an id with prefix "p".
std::string ConnectionPool::wire_id(const UpstreamCall& call) {
    return call.has_priority() ? "p" + std::to_string(++last_probe_id_) : call.request->name;
}

// Chooses the connection for a call, or opens one: an attempt gets an idle connection, else a new one, else the one
// with the fewest calls.
std::shared_ptr<InvokerConnection> ConnectionPool::choose_connection(const UpstreamCall& call) {
    Choice choice;
    for (const auto& connection : connections_) {
        if (!connection->is_accepting()) continue;
        if (connection->is_closed_by_peer()) {
            connection->close();
            continue;
        }
        ++choice.accepting;
        if (call.has_priority())
            consider_for_probe(connection, choice);
        else
            consider_for_attempt(connection, call, choice);
    }
    // A late response to an earlier attempt of the same request would be taken for a response to this attempt, so it
    // needs another connection. At the limit, the connection with the earlier attempt is drained to allow a new one.
    if (choice.carried_before && !choice.best && choice.accepting >= config_.max_connections) {
        choice.carried_before->drain();
        --choice.accepting;
    }
    const bool wants_new_connection = !choice.best || (!call.has_priority() && choice.best->call_count() > 0);
    if (wants_new_connection && may_open(choice.accepting)) {
        choice.best = connections_.emplace_back(std::make_shared<InvokerConnection>(*this));
        choice.best->start();
    }
    return choice.best;
}

// Prefers the connection with calls in flight that has been silent longest, since it is the likeliest to be broken.
void ConnectionPool::consider_for_probe(const ConnectionPtr& connection, Choice& choice) {
    const auto& best = choice.best;
    if (!best ||
        (connection->call_count() > 0 && (best->call_count() == 0 || connection->last_read() < best->last_read())))
        choice.best = connection;
}

void ConnectionPool::consider_for_attempt(const ConnectionPtr& connection, const UpstreamCall& call,
                                          Choice& choice) const {
    const std::string& id = call.request->name;
    if (connection->call_count() >= config_.max_attempts_per_connection || connection->carries(id)) return;
    if (may_run_only_once(call) && connection->has_carried(id)) {
        choice.carried_before = connection;
        return;
    }
    if (!choice.best || connection->call_count() < choice.best->call_count()) choice.best = connection;
}

// `accepting`: number of connections to this invoker that accept calls. Draining connections do not count towards the
// limit for the invoker.
bool ConnectionPool::may_open(std::size_t accepting) {
    if (accepting >= config_.max_connections) return false;
    const bool within_budget = budget_.open_count() < config_.max_total_connections;
    return within_budget || (accepting == 0 && budget_.close_longest_idle());
}

bool ConnectionPool::dispatch(const Call& call) {
    const auto connection = choose_connection(*call);
    if (!connection) return false;
    connection->send(call, wire_id(*call));
    return true;
}

void ConnectionPool::connection_closed(const ConnectionPtr& connection) {
    std::erase(connections_, connection);
    on_connection_free();
}

Progress ConnectionPool::remove(UpstreamCall& call, StopCause cause) {
    if (const auto connection = std::static_pointer_cast<InvokerConnection>(connection_of(call)))
        return connection->remove(call, cause);
    remove_queued(call);
    return Progress::not_written;
}

void ConnectionPool::collect_unsent(std::vector<Call>& unsent) const {
    for (const auto& connection : connections_) connection->collect_unsent(unsent);
}

void ConnectionPool::set_address(net::Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    // Another invoker may have the old address now: calls that have not been written are moved to the new address.
    std::vector<Call> unsent;
    for (const auto& connection : connections_) connection->take_unsent(unsent);
    close();
    for (const auto& call : unsent)
        if (!enqueue(call)) finish_soon(call, AttemptOutcome::never_sent);
}

void ConnectionPool::close() {
    for (const auto& connection : std::vector(connections_)) connection->drain();
}

std::size_t ConnectionPool::in_flight_count() const {
    std::size_t count = 0;
    for (const auto& connection : connections_) count += connection->attempt_count();
    return count;
}

}  // namespace plumkeel::invoker_protocol
