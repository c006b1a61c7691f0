#include "fastcgi/server.hpp"

#include <algorithm>

#include "fastcgi/connection.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;

constexpr std::size_t most_over = 8;  // connections beyond the bound, while those in whose place they stand take leave
constexpr auto first_word = 100ms;    // from a connection's coming up to the first bytes on it
constexpr auto half_message = 300ms;  // a client that is not slow on purpose sends a message in far less
constexpr auto place_wait = 100ms;    // between looks for a connection that can make way
constexpr int most_looks = 100;       // at what came before the door closes: who sends without end is not waited for

Server::Server(gateway::Gateway& gateway, Paths paths)
    : gateway_(gateway), paths_(std::move(paths)), connection_closed_(gateway.loop()) {}
Server::~Server() = default;

net::Error Server::open() {
    auto listened = gateway_.loop().listen(*net::Address::parse(gateway_.config().listen));
    if (listened.error) return listened.error;
    listener_ = std::move(listened.listener);
    gateway_.loop().spawn(accept());
    return {};
}

net::Task<> Server::accept() {
    const auto listener = listener_;
    Admission& admission = gateway_.admission();
    for (;;) {
        if (!listener->has_pending()) backlog_since_.reset();
        auto accepted = co_await listener->accept();
        note_backlog(gateway_.waited_unread());
        if (accepted.error == net::asio::error::operation_aborted) co_return;
        if (accepted.error) {
            // The connection stays in the backlog, so accepting at once again would spin: the next try comes when a
            // connection has left, or after a growing pause. Only where this process has used its descriptors up does
            // it help that an idle client goes (accept(2): EMFILE).
            gateway_.log().write(Log::Level::error, "accept_broke", {{"why", accepted.error.message()}});
            const auto chosen = accepted.error == net::asio::error::no_descriptors ? least_needed() : nullptr;
            if (chosen) chosen->leave_at_once();
            co_await wait_connection_closed(admission.accept_pause());
            continue;
        }
        admission.accepted();
        if (const RejectionReason objection = admission.admit_connection(); objection != RejectionReason::none) {
            admission.count(objection);
            co_await make_room();
            admission.admit_replacement();
        }
        const auto sink =
            std::make_shared<Connection>(*this, ++connection_ids_, std::move(accepted.stream), waited_unaccepted());
        connections_[sink->number()] = sink;
        sink->start();
    }
}

// Connections may have stood in the backlog for so long, and longer: while this thread stood still or nothing was
// accepted.
void Server::note_backlog(net::Time waited) {
    if (waited > net::Time{} && !backlog_since_) backlog_since_ = gateway_.loop().now() - waited;
}

net::Time Server::waited_unaccepted() const {
    return backlog_since_ ? gateway_.loop().now() - *backlog_since_ : net::Time{};
}

net::Task<> Server::wait_connection_closed(net::Time at_most) {
    note_backlog(net::Time(1));
    auto ticket = gateway_.loop().call_at(gateway_.loop().now() + at_most, [this] { connection_closed_.notify(); });
    co_await connection_closed_.wait();
    gateway_.loop().cancel(ticket);
}

// For a connection that has been accepted, and on which a request may have come: it is never closed unheard. A place is
// free only once another connection has gone; this one may stand beside it for that long. More than a few such would
// together cost the board its descriptor, so their farewell is cut short. Where all are busy it waits for the first
// that is not; no further one is accepted meanwhile.
net::Task<> Server::make_room() {
    const Admission& admission = gateway_.admission();
    const std::size_t most = admission.limits().max_connections + most_over;
    ++waiting_connections_;
    while (admission.connections() >= admission.limits().max_connections) {
        if (const auto chosen = least_needed()) {
            if (admission.connections() < most)
                chosen->leave();
            else
                chosen->leave_at_once();
            break;
        }
        if (admission.connections() < most) break;
        co_await wait_connection_closed(place_wait);
    }
    --waiting_connections_;
}

// The one to go when places are short; null where none may. One whose client has said something that is not read yet
// is not idle.
std::shared_ptr<Connection> Server::least_needed() const {
    std::shared_ptr<Connection> chosen, stuck;
    for (const auto& [number, sink] : connections_) {
        if (!stuck && sink->unfinished_for() > half_message && !sink->has_unread_input()) stuck = sink;
        if (!sink->idle() || sink->has_unread_input()) continue;
        if (!sink->spoke()) {
            // What it came to say may be on its way.
            if (gateway_.loop().now() - sink->last() < first_word) continue;
            chosen = sink;
            break;
        }
        if (!chosen || sink->last() < chosen->last()) chosen = sink;
    }
    return chosen ? chosen : stuck;
}

void Server::close(std::function<void()> then) {
    on_drained_ = std::move(then);
    close_idle(most_looks);
}

// What came before the door closes is owed an answer, also where this process has not come to read it: connections
// in the backlog, and jobs in the buffers of sockets.
void Server::close_idle(int looks) {
    const bool owed = waiting_connections_ > 0 || (listener_ && listener_->has_pending()) ||
                      std::any_of(connections_.begin(), connections_.end(),
                                  [](const auto& each) { return each.second->has_unread_input(); });
    if (owed && looks > 0) {
        gateway_.loop().call_at(gateway_.loop().now() + 1ms, [this, looks] { close_idle(looks - 1); });
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
    for (const auto& [number, sink] : std::map(connections_))
        if (sink->idle() && !sink->has_unread_input()) sink->leave();
    // Also those that only linger: an end of the process resets what its client has not read yet.
    if (!connections_.empty()) {
        gateway_.loop().call_at(gateway_.loop().now() + 20ms, [this] { check_drained(); });
        return;
    }
    gateway_.loop().call_at(gateway_.loop().now(), std::exchange(on_drained_, nullptr));
}

void Server::connection_closed(const std::shared_ptr<Connection>& sink) {
    if (connections_.erase(sink->number())) gateway_.admission().release_connection();
    connection_closed_.notify();
}

}  // namespace plumkeel::fastcgi
