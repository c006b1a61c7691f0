// The connections to one invoker over HTTP: kept alive, capped, one errand at a time on each. Calling a hop off
// closes its connection. Once a byte of a hop was handed over it may have run.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway/edges.hpp"
#include "net/lazy_timer.hpp"

namespace plumkeel::web {

using gateway::CallResult;
using gateway::UpstreamCall;

class InvokerConnection;

class ConnectionPool : public gateway::ConnectionPool {
public:
    // `teller`: how the controller is named to invokers.
    ConnectionPool(net::EventLoop& loop, const PoolConfig& rules, net::Address address,
                   gateway::ConnectionCounts& counts, std::string teller);
    ~ConnectionPool() override;

    void cancel_unsent() override;
    void set_address(net::Address address) override;
    void close() override;
    std::size_t connection_count() const override { return connections_.size(); }
    std::size_t queued_count() const override { return queue_.size(); }
    std::size_t in_flight_count() const override;

private:
    friend class InvokerConnection;
    bool enqueue(const std::shared_ptr<UpstreamCall>& call) override;
    delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) override;
    std::string head_of(UpstreamCall& call) const;
    bool dispatch(const std::shared_ptr<UpstreamCall>& call);
    void on_connection_free(const std::shared_ptr<InvokerConnection>& connection);
    void connection_closed(const std::shared_ptr<InvokerConnection>& connection);

    const PoolConfig& config_;
    net::Address address_;
    gateway::ConnectionCounts& counts_;
    const std::string controller_name_;
    std::vector<std::shared_ptr<InvokerConnection>> connections_, idle_;
    std::deque<std::shared_ptr<UpstreamCall>> queue_;
};

}  // namespace plumkeel::web
