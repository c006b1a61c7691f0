// A controller that clients and invokers meet over HTTP: the gateway with its listener, its clients' connections
// and the list that it follows.
#pragma once

#include <map>

#include "consul/health_watcher.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::web {

class Connection;

class Server {
public:
    // `recorded` is told every call into the module and its answer, for traces.
    Server(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed,
           trace::RecordCallback recorded = {});
    ~Server();

    // Takes jobs from now on; the error of the listen, if it did not come about.
    net::Error open();
    // Takes no more; calls `then` once every open job has its answer and every answer has left.
    void close(std::function<void()> then);
    net::Address address() const { return listener_->address(); }
    boost::json::object status() const { return gateway_.status(); }
    metrics::GatewayMetrics* metrics() { return gateway_.metrics(); }
    void set_extra_levels(std::function<void(metrics::Levels&)> also) { gateway_.set_extra_levels(std::move(also)); }

    net::EventLoop& loop() { return loop_; }
    gateway::Gateway& gateway() { return gateway_; }
    void connection_closed(const std::shared_ptr<Connection>& sink);

private:
    net::Task<> accept();
    net::Task<> reject(std::shared_ptr<net::Stream> stream, RejectionReason objection);
    void check_drained();

    net::EventLoop& loop_;
    Log& log_;
    gateway::Gateway gateway_;
    consul::HealthWatcher watcher_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // in the order in which they came
    std::uint64_t connection_ids_{};
    int rejecting_{};
    bool gateway_drained_{};
    std::function<void()> on_drained_;
};

}  // namespace plumkeel::web
