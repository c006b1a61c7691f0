/// A controller that serves clients and invokers over HTTP: the gateway with its listener, the clients' connections
/// and the watcher that keeps the list of invokers up to date.
#pragma once

#include <map>

#include "consul/health_watcher.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::web {

class Connection;

class Server {
public:
    /// `recorded` receives every call of the scheduler and its result, for traces.
    Server(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed,
           trace::RecordCallback recorded = {});
    ~Server();

    /// Listens and serves from now on; the error, if it can't listen.
    net::Error open();
    /// Accepts no more; calls `then` once every open request has its response and every response has been written.
    void close(std::function<void()> then);
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
    net::Task<> accept();
    net::Task<> reject(std::shared_ptr<net::Stream> stream, RejectionReason reason);
    net::Task<> discard_input(std::shared_ptr<net::Stream> stream);
    void check_drained();

    net::EventLoop& loop_;
    Log& log_;
    gateway::Gateway gateway_;
    consul::HealthWatcher watcher_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // by id, so in the order of their accept
    std::uint64_t connection_ids_{};
    int rejecting_{};  // rejected connections whose input is being discarded
    bool gateway_drained_{};
    std::function<void()> on_drained_;
};

}  // namespace plumkeel::web
