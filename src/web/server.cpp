#include "web/server.hpp"

#include <algorithm>
#include <array>

#include "http/http.hpp"
#include "web/connection.hpp"
#include "web/connection_pool.hpp"
#include "web/protocol.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
namespace field = protocol::field;

namespace {

constexpr int max_rejecting_connections = 64;  // rejected connections kept open until their input ends
constexpr Time reject_linger_time = 200ms;
constexpr std::size_t discard_buffer_bytes = 1024;

std::string rejection_head(RejectionReason reason) {
    return http::HeadWriter(http::status_line(503))
        .add(field::rejection_reason, response_for(reason).word)
        .add(field::outcome, protocol::outcome_name(RequestState::rejected))
        .add("Retry-After", "1")
        .add("Connection", "close")
        .add("Content-Length", "0")
        .finish();
}

}  // namespace

Server::Server(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed,
               trace::RecordCallback on_record)
    : loop_(loop),
      log_(log),
      gateway_(
          loop, std::move(config), log, seed,
          [this](const net::Address& address, gateway::ConnectionCounts& counts) {
              return std::make_unique<ConnectionPool>(loop_, gateway_.config().pool, address, counts,
                                                      gateway_.incarnation());
          },
          std::move(on_record)),
      watcher_(loop, gateway_.config().endpoint_source, gateway_.incarnation(), log, seed,
               [this](const auto& changed, bool complete) { gateway_.update_endpoints(changed, complete); }) {
    gateway_.set_list_age_source([this] { return watcher_.query().confirmed_at(); });
}

Server::~Server() = default;

net::Error Server::open() {
    const auto address = net::Address::parse(gateway_.config().listen);
    auto result = loop_.listen(*address);
    if (result.error) return result.error;
    listener_ = std::move(result.listener);
    std::vector<gateway::Endpoint> static_endpoints;
    for (const StaticInvoker& invoker : gateway_.config().endpoint_source.fixed)
        static_endpoints.push_back(
            {invoker.name, invoker.address, invoker.zone, invoker.type, true, invoker.capacity, invoker.cell, {}});
    gateway_.update_endpoints(static_endpoints, true);
    if (!gateway_.config().endpoint_source.consul.empty()) watcher_.start();
    gateway_.start();
    loop_.spawn(accept_connections());
    return {};
}

net::Task<> Server::accept_connections() {
    const auto listener = listener_;
    for (;;) {
        auto accepted = co_await listener->accept();
        if (accepted.error == net::asio::error::operation_aborted) co_return;
        if (accepted.error) {
            // The usual cause is a lack of file descriptors. The connection stays in the listen backlog, so accepting
            // again without a pause would be a busy loop.
            log_.write(Log::Level::error, "accept_failed", {{"error", accepted.error.message()}});
            co_await loop_.sleep(gateway_.admission().accept_pause());
            continue;
        }
        gateway_.admission().accepted();
        const RejectionReason reason = gateway_.admission().admit_connection();
        if (reason != RejectionReason::none) {
            gateway_.admission().count(reason);
            loop_.spawn(reject_connection(std::move(accepted.stream), reason));
            continue;
        }
        const auto connection = std::make_shared<Connection>(*this, ++last_connection_id_, std::move(accepted.stream));
        connections_[connection->id()] = connection;
        connection->start();
    }
}

// Tells a client that its connection is not admitted, and closes it. Its input is read and discarded first, since
// closing a socket with unread bytes sends a reset that may destroy the response. Only a limited number of connections
// is kept open for this, so that a flood of connections can't use up the file descriptors.
net::Task<> Server::reject_connection(std::shared_ptr<net::Stream> stream, RejectionReason reason) {
    const std::string head = rejection_head(reason);
    const net::asio::const_buffer buffer = net::asio::buffer(head);
    stream->write_now({&buffer, 1});
    stream->shutdown_send();
    if (rejecting_connections_ < max_rejecting_connections) {
        ++rejecting_connections_;
        co_await discard_input(stream);
        --rejecting_connections_;
    }
    stream->close();
}

net::Task<> Server::discard_input(std::shared_ptr<net::Stream> stream) {
    auto timer = loop_.call_at(loop_.now() + reject_linger_time, [stream] { stream->close(); });
    std::array<char, discard_buffer_bytes> discarded;
    net::Error error;
    while (!error) {
        const net::TransferResult result = co_await stream->read(net::asio::buffer(discarded));
        error = result.error;
    }
    loop_.cancel(timer);
}

void Server::close(std::function<void()> on_closed) {
    on_closed_ = std::move(on_closed);
    gateway_.admission().close();
    if (listener_) listener_->close();
    const auto connections = connections_;
    for (const auto& [id, connection] : connections) connection->close_if_idle();
    gateway_.shut_down([this] {
        gateway_drained_ = true;
        check_drained();
    });
}

void Server::check_drained() {
    if (!on_closed_ || !gateway_drained_) return;
    if (std::any_of(connections_.begin(), connections_.end(), [](const auto& item) { return item.second->is_busy(); }))
        return;
    const auto on_closed = std::exchange(on_closed_, nullptr);
    loop_.call_at(loop_.now(), on_closed);
}

void Server::connection_closed(const std::shared_ptr<Connection>& connection) {
    if (connections_.erase(connection->id())) gateway_.admission().release_connection();
    check_drained();
}

}  // namespace plumkeel::web
