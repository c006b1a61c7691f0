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

constexpr int turned_back_at_once = 64;

Server::Server(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed, trace::RecordCallback recorded)
    : loop_(loop),
      log_(log),
      gateway_(
          loop, std::move(config), log, seed,
          [this](const net::Address& address, gateway::ConnectionCounts& counts) {
              return std::make_unique<ConnectionPool>(loop_, gateway_.config().pool, address, counts,
                                                      gateway_.incarnation());
          },
          std::move(recorded)),
      watcher_(loop, gateway_.config().endpoint_source, gateway_.incarnation(), log, seed,
               [this](const auto& changed, bool complete) { gateway_.update_endpoints(changed, complete); }) {
    gateway_.set_list_age_source([this] { return watcher_.query().confirmed_at(); });
}

Server::~Server() = default;

net::Error Server::open() {
    const auto address = net::Address::parse(gateway_.config().listen);
    auto listened = loop_.listen(*address);
    if (listened.error) return listened.error;
    listener_ = std::move(listened.listener);
    std::vector<gateway::Endpoint> fixed;
    for (const StaticInvoker& each : gateway_.config().endpoint_source.fixed)
        fixed.push_back({each.name, each.address, each.zone, each.type, true, each.capacity, each.cell, {}});
    gateway_.update_endpoints(fixed, true);
    if (!gateway_.config().endpoint_source.consul.empty()) watcher_.start();
    gateway_.start();
    loop_.spawn(accept());
    return {};
}

net::Task<> Server::accept() {
    const auto listener = listener_;
    for (;;) {
        auto accepted = co_await listener->accept();
        if (accepted.error == net::asio::error::operation_aborted) co_return;
        if (accepted.error) {
            // Nearly always for want of descriptors. The connection stays in the backlog, so accepting at
            // once again would spin.
            log_.write(Log::Level::error, "accept_failed", {{"error", accepted.error.message()}});
            co_await loop_.sleep(gateway_.admission().accept_pause());
            continue;
        }
        gateway_.admission().accepted();
        const RejectionReason objection = gateway_.admission().admit_connection();
        if (objection != RejectionReason::none) {
            gateway_.admission().count(objection);
            loop_.spawn(reject(std::move(accepted.stream), objection));
            continue;
        }
        const auto sink = std::make_shared<Connection>(*this, ++connection_ids_, std::move(accepted.stream));
        connections_[sink->number()] = sink;
        sink->start();
    }
}

// Tells a client that there is no room for its connection. What it sends is read and thrown away for a moment,
// since a close with unread bytes resets the connection and may overtake what it is told; but only for a few
// at a time, so that a flood of connections can't hold descriptors this way.
net::Task<> Server::reject(std::shared_ptr<net::Stream> stream, RejectionReason objection) {
    const std::string head = http::HeadWriter(http::status_line(503))
                                 .add(field::objection, response_for(objection).word)
                                 .add(field::outcome, "bounced")
                                 .add("Retry-After", "1")
                                 .add("Connection", "close")
                                 .add("Content-Length", "0")
                                 .finish();
    const net::asio::const_buffer whole = net::asio::buffer(head);
    stream->write_now({&whole, 1});
    stream->shutdown_send();
    if (rejecting_ < turned_back_at_once) {
        ++rejecting_;
        auto ticket = loop_.call_at(loop_.now() + 200ms, [stream] { stream->close(); });
        std::array<char, 1024> thrown_away;
        net::Error error;
        while (!error) {
            const net::TransferResult moved = co_await stream->read(net::asio::buffer(thrown_away));
            error = moved.error;
        }
        loop_.cancel(ticket);
        --rejecting_;
    }
    stream->close();
}

void Server::close(std::function<void()> then) {
    on_drained_ = std::move(then);
    gateway_.admission().close();
    if (listener_) listener_->close();
    const auto visits = connections_;
    for (const auto& [number, sink] : visits) sink->go_if_idle();
    gateway_.shut_down([this] {
        gateway_drained_ = true;
        check_drained();
    });
}

void Server::check_drained() {
    if (!on_drained_ || !gateway_drained_) return;
    if (std::any_of(connections_.begin(), connections_.end(), [](const auto& each) { return each.second->busy(); }))
        return;
    const auto then = std::exchange(on_drained_, nullptr);
    loop_.call_at(loop_.now(), then);
}

void Server::connection_closed(const std::shared_ptr<Connection>& sink) {
    if (connections_.erase(sink->number())) gateway_.admission().release_connection();
    check_drained();
}

}  // namespace plumkeel::web
