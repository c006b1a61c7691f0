#include "fastcgi/server.hpp"

#include <algorithm>

#include "fastcgi/connection.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;

namespace {

// Connections above the limit, while those that they replace are closing.
constexpr std::size_t max_replacements = 8;
// From the accept of a connection to the first bytes on it: until then it is not closed for want of room.
constexpr auto first_request_grace = 100ms;
// A client that is not slow on purpose sends a whole request in far less.
constexpr auto incomplete_request_grace = 300ms;
constexpr auto room_check_interval = 100ms;  // between looks for a connection that can be closed
constexpr auto unread_check_interval = 1ms;  // while closing
constexpr int max_unread_checks = 100;       // a client that sends without end is not waited for
constexpr auto drain_check_interval = 20ms;

}  // namespace

Server::Server(gateway::Gateway& gateway, Paths paths)
    : gateway_(gateway), paths_(std::move(paths)), connection_closed_(gateway.loop()) {}
Server::~Server() = default;

net::Error Server::open() {
    auto result = gateway_.loop().listen(*net::Address::parse(gateway_.config().listen));
    if (result.error) return result.error;
    listener_ = std::move(result.listener);
    gateway_.loop().spawn(accept());
    return {};
}

net::Task<> Server::accept() {
    const auto listener = listener_;
    Admission& admission = gateway_.admission();
    for (;;) {
        if (!listener->has_pending()) backlog_since_.reset();
        auto accepted = co_await listener->accept();
        note_backlog(gateway_.max_unread_time());
        if (accepted.error == net::asio::error::operation_aborted) co_return;
        if (accepted.error) {
            co_await handle_accept_error(accepted.error);
            continue;
        }
        admission.accepted();
        if (const RejectionReason reason = admission.admit_connection(); reason != RejectionReason::none) {
            admission.count(reason);
            co_await make_room();
            admission.admit_replacement();
        }
        const auto connection =
            std::make_shared<Connection>(*this, ++connection_ids_, std::move(accepted.stream), accept_delay());
        connections_[connection->id()] = connection;
        connection->start();
    }
}

// The connection stays in the backlog, so accepting again at once would spin: the next try comes when a connection has
// closed, or after a growing pause. Closing an idle connection helps only where this process has used up its
// descriptors (accept(2): EMFILE).
net::Task<> Server::handle_accept_error(net::Error error) {
    gateway_.log().write(Log::Level::error, "accept_failed", {{"error", error.message()}});
    const auto chosen = error == net::asio::error::no_descriptors ? least_needed() : nullptr;
    if (chosen) chosen->close_now();
    co_await wait_connection_closed(gateway_.admission().accept_pause());
}

// Connections may have been in the backlog for this long, and longer: while this thread was stalled or nothing was
// accepted.
void Server::note_backlog(net::Time delay) {
    if (delay > net::Time{} && !backlog_since_) backlog_since_ = gateway_.loop().now() - delay;
}

net::Time Server::accept_delay() const {
    return backlog_since_ ? gateway_.loop().now() - *backlog_since_ : net::Time{};
}

net::Task<> Server::wait_connection_closed(net::Time at_most) {
    note_backlog(net::Time(1));
    auto timer = gateway_.loop().call_at(gateway_.loop().now() + at_most, [this] { connection_closed_.notify(); });
    co_await connection_closed_.wait();
    gateway_.loop().cancel(timer);
}

// For a connection that has been accepted, and on which a request may have arrived: it is never closed without a
// response. Its place becomes free only once another connection has closed; until then it may exist beside that one.
// More than a few such would use up the descriptors kept for discovery, so then the other one is closed at once. Where
// all are busy it waits for the first that is not; no further one is accepted meanwhile.
net::Task<> Server::make_room() {
    const Admission& admission = gateway_.admission();
    const std::size_t limit = admission.limits().max_connections + max_replacements;
    ++waiting_connections_;
    while (admission.connections() >= admission.limits().max_connections) {
        if (const auto chosen = least_needed()) {
            if (admission.connections() < limit)
                chosen->close_gracefully();
            else
                chosen->close_now();
            break;
        }
        if (admission.connections() < limit) break;
        co_await wait_connection_closed(room_check_interval);
    }
    --waiting_connections_;
}

// The connection to close when there are too many; null where none may be closed. One with unread input is not idle.
std::shared_ptr<Connection> Server::least_needed() const {
    std::shared_ptr<Connection> idle, stuck;
    for (const auto& [id, connection] : connections_) {
        if (!stuck && connection->incomplete_for() > incomplete_request_grace && !connection->has_unread_input())
            stuck = connection;
        if (!connection->is_idle() || connection->has_unread_input()) continue;
        if (!connection->has_received_request()) {
            // Its first request may be on its way.
            if (gateway_.loop().now() - connection->last_activity() < first_request_grace) continue;
            idle = connection;
            break;
        }
        if (!idle || connection->last_activity() < idle->last_activity()) idle = connection;
    }
    return idle ? idle : stuck;
}

void Server::close(std::function<void()> then) {
    on_drained_ = std::move(then);
    close_when_read(max_unread_checks);
}

bool Server::has_unread_input() const {
    return waiting_connections_ > 0 || (listener_ && listener_->has_pending()) ||
           std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& each) { return each.second->has_unread_input(); });
}

// What arrived before the close is answered, also where this process has not read it yet: connections in the backlog,
// and requests in the buffers of sockets.
void Server::close_when_read(int checks_left) {
    if (has_unread_input() && checks_left > 0) {
        gateway_.loop().call_at(gateway_.loop().now() + unread_check_interval,
                                [this, checks_left] { close_when_read(checks_left - 1); });
        return;
    }
    if (listener_) listener_->close();
    gateway_.shut_down([this] {
        gateway_drained_ = true;
        check_drained();
    });
}

void Server::check_drained() {
    if (!on_drained_ || !gateway_drained_) return;
    for (const auto& [id, connection] : std::map(connections_))
        if (connection->is_idle() && !connection->has_unread_input()) connection->close_gracefully();
    // Those that linger are waited for as well: the end of the process resets what their clients have not read yet.
    if (!connections_.empty()) {
        gateway_.loop().call_at(gateway_.loop().now() + drain_check_interval, [this] { check_drained(); });
        return;
    }
    gateway_.loop().call_at(gateway_.loop().now(), std::exchange(on_drained_, nullptr));
}

void Server::connection_closed(const std::shared_ptr<Connection>& connection) {
    if (connections_.erase(connection->id())) gateway_.admission().release_connection();
    connection_closed_.notify();
}

}  // namespace plumkeel::fastcgi
