#include "fastcgi/server.hpp"

#include <algorithm>

#include "fastcgi/connection.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;

namespace {

// Connections allowed above the limit while the connections that they replace are closing.
constexpr std::size_t max_replacement_connections = 8;
// A new connection is not closed in favour of another before this time, as its first request may be on its way.
constexpr auto first_request_grace = 100ms;
// A connection whose request stays incomplete for longer may be closed in favour of another.
constexpr auto incomplete_request_grace = 300ms;
constexpr auto replacement_check_interval = 100ms;  // interval between searches for a connection to close
constexpr auto unread_input_check_interval = 1ms;   // while closing, between checks for unread input
constexpr int max_unread_input_checks = 100;        // bounds the wait for a client that keeps sending
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
            co_await make_room_for_connection();
            admission.admit_replacement();
        }
        const auto connection =
            std::make_shared<Connection>(*this, ++last_connection_id_, std::move(accepted.stream), accept_delay());
        connections_[connection->id()] = connection;
        connection->start();
    }
}

// The connection stays in the backlog, so accepting again at once would spin: accept() is retried when a connection has
// closed, or after a growing pause. If the process has no descriptors left (accept(2): EMFILE), it closes the
// connection that connection_to_close() returns, if any.
net::Task<> Server::handle_accept_error(net::Error error) {
    gateway_.log().write(Log::Level::error, "accept_failed", {{"error", error.message()}});
    const auto chosen = error == net::asio::error::no_descriptors ? connection_to_close() : nullptr;
    if (chosen) chosen->close_now();
    co_await wait_connection_closed(gateway_.admission().accept_pause());
}

// Records that connections accepted from now on may have waited in the backlog for at least this long.
void Server::note_backlog(net::Time delay) {
    if (delay > net::Time{} && !backlog_since_) backlog_since_ = gateway_.loop().now() - delay;
}

net::Time Server::accept_delay() const {
    return backlog_since_ ? gateway_.loop().now() - *backlog_since_ : net::Time{};
}

net::Task<> Server::wait_connection_closed(net::Time max_wait) {
    note_backlog(net::Time(1));
    auto timer = gateway_.loop().call_at(gateway_.loop().now() + max_wait, [this] { connection_closed_.notify(); });
    co_await connection_closed_.wait();
    gateway_.loop().cancel(timer);
}

// Called at the connection limit: closes another connection in favour of the one just accepted, which may carry a
// request already. The other one closes gracefully while at most max_replacement_connections exceed the limit, and at
// once beyond that, to keep descriptors for discovery. If all are busy, waits for one that is not.
net::Task<> Server::make_room_for_connection() {
    const Admission& admission = gateway_.admission();
    const std::size_t limit = admission.limits().max_connections + max_replacement_connections;
    ++waiting_connections_;
    while (admission.connections() >= admission.limits().max_connections) {
        if (const auto chosen = connection_to_close()) {
            if (admission.connections() < limit)
                chosen->close_gracefully();
            else
                chosen->close_now();
            break;
        }
        if (admission.connections() < limit) break;
        co_await wait_connection_closed(replacement_check_interval);
    }
    --waiting_connections_;
}

// Chooses the connection to close when there are too many; null if none may be closed. A connection with unread input
// is never chosen.
std::shared_ptr<Connection> Server::connection_to_close() const {
    std::shared_ptr<Connection> idle, stalled;
    for (const auto& [id, connection] : connections_) {
        if (connection->is_held()) return connection;
        if (!stalled && connection->incomplete_duration() > incomplete_request_grace && !connection->has_unread_input())
            stalled = connection;
        if (!connection->is_idle() || connection->has_unread_input()) continue;
        if (!connection->has_received_request()) {
            // The first request on the connection may be on its way.
            if (gateway_.loop().now() - connection->last_activity() < first_request_grace) continue;
            idle = connection;
            break;
        }
        if (!idle || connection->last_activity() < idle->last_activity()) idle = connection;
    }
    return idle ? idle : stalled;
}

void Server::close(std::function<void()> on_closed) {
    on_drained_ = std::move(on_closed);
    close_when_read(max_unread_input_checks);
}

bool Server::has_unread_input() const {
    return waiting_connections_ > 0 || (listener_ && listener_->has_pending()) ||
           std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second->has_unread_input(); });
}

// Stops listening once connections in the backlog and requests in socket buffers have been read, so that requests that
// arrived before the shutdown get a response.
void Server::close_when_read(int checks_left) {
    if (has_unread_input() && checks_left > 0) {
        gateway_.loop().call_at(gateway_.loop().now() + unread_input_check_interval,
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
    // Waits for lingering connections too: exiting would reset them before their clients have read the responses.
    if (!connections_.empty()) {
        gateway_.loop().call_at(gateway_.loop().now() + drain_check_interval, [this] { check_drained(); });
        return;
    }
    gateway_.loop().call_at(gateway_.loop().now(), std::exchange(on_drained_, nullptr));
}

void Server::on_connection_closed(const std::shared_ptr<Connection>& connection) {
    if (connections_.erase(connection->id())) gateway_.admission().release_connection();
    connection_closed_.notify();
}

}  // namespace plumkeel::fastcgi
