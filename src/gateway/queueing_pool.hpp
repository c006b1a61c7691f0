/// Base class of the connection pools of both protocols: a bounded queue of calls that wait for a connection.
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
    /// How long a call waits for its client's pending input to be read.
    static constexpr net::Time client_input_retry_delay = std::chrono::milliseconds(1);

    using Call = std::shared_ptr<UpstreamCall>;

    /// `address` is the invoker's; `counts` are shared by all pools of the gateway.
    QueueingPool(net::EventLoop& loop, const PoolConfig& config, net::Address address, ConnectionCounts& counts);

    /// Assigns the call to a connection. Returns false if the call has to wait for one.
    virtual bool dispatch(const Call& call) = 0;
    /// Appends the attempts that are assigned to a connection but of which no byte has been sent.
    virtual void collect_unsent(std::vector<Call>& unsent) const = 0;
    /// Called when no connection of this pool can take the first of the waiting calls.
    virtual void on_waiting() {}

    bool enqueue(const Call& call) override;
    /// Dispatches waiting calls, oldest first, until one has to wait for a connection.
    void dispatch_queued();
    void remove_queued(UpstreamCall& call) { std::erase(queue_, call.shared_from_this()); }

    const PoolConfig& config_;
    net::Address address_;
    ConnectionCounts& counts_;

private:
    std::deque<Call> queue_;
};

}  // namespace plumkeel::gateway
