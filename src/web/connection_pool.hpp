/// The pool of persistent HTTP connections to one invoker. The number of connections is limited, and each carries one
/// call at a time. Cancelling an attempt closes its connection. Once a byte of an attempt was written, it may have run.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gateway/queueing_pool.hpp"

namespace plumkeel::web {

using gateway::CallResult;
using gateway::UpstreamCall;

class InvokerConnection;

class ConnectionPool : public gateway::QueueingPool {
public:
    /// `controller_name` is sent to invokers in a header field.
    ConnectionPool(net::EventLoop& loop, const PoolConfig& config, net::Address address,
                   gateway::ConnectionCounts& counts, std::string controller_name);
    ~ConnectionPool() override;

    void set_address(net::Address address) override;
    void close() override;
    std::size_t connection_count() const override { return connections_.size(); }
    std::size_t in_flight_count() const override;

private:
    friend class InvokerConnection;
    using ConnectionPtr = std::shared_ptr<InvokerConnection>;

    bool dispatch(const Call& call) override;
    void collect_unsent(std::vector<Call>& unsent) const override;
    bool is_partly_sent(const UpstreamCall& call) const override;
    delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) override;
    void on_connection_free(const ConnectionPtr& connection);
    void connection_closed(const ConnectionPtr& connection);
    void close_idle();
    bool may_have_unread_input(const UpstreamCall& call) const;
    void dispatch_queued_later();

    const std::string controller_name_;
    std::vector<ConnectionPtr> connections_;
    std::vector<ConnectionPtr> idle_;  // subset of connections_, most recently used last
    net::EventLoop::TimerKey dispatch_timer_{};
    bool is_dispatching_later_{};  // whether the queued calls have waited for unread input
};

}  // namespace plumkeel::web
