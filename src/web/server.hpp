/// A controller that talks HTTP to clients and invokers: it owns the gateway, the listener, the client connections and
/// the watcher that keeps the list of invokers up to date.
#pragma once

#include <map>

#include "consul/health_watcher.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::web {

class Connection;

class Server {
public:
    /// `on_record` receives each call of the scheduler with its result, for trace files.
    Server(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed,
           trace::RecordCallback on_record = {});
    ~Server();

    /// Starts listening and serving. Returns an error if the address can't be listened on.
    net::Error open();
    /// Stops accepting connections. Calls `on_closed` once all open requests have responses and those have been sent.
    void close(std::function<void()> on_closed);
    net::Address address() const { return listener_->address(); }
    boost::json::object status() const { return gateway_.status(); }
    metrics::GatewayMetrics* metrics() { return gateway_.metrics(); }
    void set_snapshot_extension(std::function<void(metrics::MetricSnapshot&)> extend_snapshot) {
        gateway_.set_snapshot_extension(std::move(extend_snapshot));
    }

    net::EventLoop& loop() { return loop_; }
    gateway::Gateway& gateway() { return gateway_; }
    void connection_closed(const std::shared_ptr<Connection>& connection);

private:
    net::Task<> accept_connections();
    net::Task<> reject_connection(std::shared_ptr<net::Stream> stream, RejectionReason reason);
    net::Task<> discard_input(std::shared_ptr<net::Stream> stream);
    void check_drained();

    net::EventLoop& loop_;
    Log& log_;
    gateway::Gateway gateway_;
    consul::HealthWatcher watcher_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // by connection id
    std::uint64_t last_connection_id_{};
    int rejecting_connections_{};  // number of rejected connections whose input is being discarded
    bool gateway_drained_{};
    std::function<void()> on_closed_;
};

}  // namespace plumkeel::web
