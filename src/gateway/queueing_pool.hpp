/// What the connection pools of both protocols have in common: a bounded queue of calls that wait for a connection.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway/edges.hpp"

namespace plumkeel::gateway {

class QueueingPool : public ConnectionPool {
public:
    void cancel_unsent() override;
    std::size_t queued_count() const override { return queue_.size(); }

protected:
    using Call = std::shared_ptr<UpstreamCall>;

    /// `address`: of the invoker.
    QueueingPool(net::EventLoop& loop, const PoolConfig& config, net::Address address, ConnectionCounts& counts);

    /// Puts the call on a connection; false where it has to wait for one.
    virtual bool dispatch(const Call& call) = 0;
    /// Appends the attempts that are on a connection, and of which no byte has been sent.
    virtual void collect_unsent(std::vector<Call>& unsent) const = 0;
    /// Calls are waiting, and none of this pool's connections can take the first.
    virtual void on_waiting() {}

    bool enqueue(const Call& call) override;
    /// Dispatches waiting calls, oldest first, as far as connections allow.
    void dispatch_queued();
    void remove_queued(UpstreamCall& call) { std::erase(queue_, call.shared_from_this()); }

    const PoolConfig& config_;
    net::Address address_;
    ConnectionCounts& counts_;

private:
    std::deque<Call> queue_;
};

}  // namespace plumkeel::gateway
