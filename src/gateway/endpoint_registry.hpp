/// The invokers that the gateway knows, with their connections: from the first list that names one until the scheduler
/// releases it and its connections have drained.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway/connection_pool.hpp"
#include "gateway/endpoint.hpp"
#include "gateway/start_clock.hpp"
#include "log/log.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::gateway {

/// An invoker as the gateway holds it: the scheduler's part, and the connections to it.
struct InvokerEndpoint : Invoker {
    std::unique_ptr<ConnectionPool> pool;
    std::optional<Time> draining_since;
    /// Since the Unix epoch, as the list gave it last: by its change a restart is recognised.
    std::optional<Time> advertised_start;

    /// Whether it may be sent new attempts.
    bool accepts_attempts() const { return ready && is_listed; }
};

inline InvokerEndpoint& invoker_endpoint(Invoker& invoker) {
    return static_cast<InvokerEndpoint&>(invoker);
}

/// Owns each InvokerEndpoint with its pool, and the InvokerTypes. An endpoint that is removed stays here until its pool
/// has drained, since calls that wait for their turn there still refer to it.
class EndpointRegistry {
public:
    using Endpoints = std::map<std::string, std::unique_ptr<InvokerEndpoint>>;

    EndpointRegistry(net::EventLoop& loop, Log& log, const PoolConfig& config, PoolFactory make_pool);
    ~EndpointRegistry();
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    /// Adds or updates what the list names, as far as PoolConfig::max_invokers allows. Returns these invokers in the
    /// list's order.
    std::vector<Invoker*> update(const std::vector<Endpoint>& changed);
    /// Those of these names that are known and listed.
    std::vector<Invoker*> find_listed(const std::vector<std::string>& names) const;
    std::vector<Invoker*> listed_except(const std::vector<Invoker*>& excluded) const;
    /// Cancels what waits for a connection to an invoker that takes no new attempts: the scheduler sends nothing new
    /// there, and what was not sent yet is new as well.
    void cancel_unsent_if_draining(InvokerEndpoint& endpoint);
    void cancel_unsent_of_draining();
    /// The scheduler has released the invoker. Its connections close as they become idle.
    void remove(InvokerEndpoint& endpoint);

    /// Compares wall clock and monotonic clock, and logs a step of the former.
    void check_clocks();

    const Endpoints& endpoints() const { return endpoints_; }
    ConnectionCounts& connection_counts() { return connection_counts_; }
    const ConnectionCounts& connection_counts() const { return connection_counts_; }
    std::size_t wall_clock_steps() const { return start_clock_.step_count(); }

private:
    /// Removed, and not drained yet when it was last looked at.
    struct ClosingEndpoint {
        std::unique_ptr<InvokerEndpoint> endpoint;
        net::EventLoop::TimerKey timer;
    };

    void update_endpoint(InvokerEndpoint& endpoint, const Endpoint& listed);
    void update_start(InvokerEndpoint& endpoint, const Endpoint& listed);
    void close_when_drained(std::list<ClosingEndpoint>::iterator closing);

    net::EventLoop& loop_;
    Log& log_;
    const PoolConfig& config_;
    const PoolFactory make_pool_;
    std::map<std::string, InvokerType> invoker_types_;
    ConnectionCounts connection_counts_;  // before the pools that refer to it
    Endpoints endpoints_;
    std::list<ClosingEndpoint> closing_;
    StartClock start_clock_;
};

}  // namespace plumkeel::gateway
