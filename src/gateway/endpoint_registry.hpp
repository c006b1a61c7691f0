/// The invokers that the gateway knows, with their connections. An invoker is kept from when it is first listed until
/// the scheduler has released it and its connections have drained.
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

/// An invoker: the scheduler's state (Invoker) and the gateway's connections to it.
struct InvokerEndpoint : Invoker {
    std::unique_ptr<ConnectionPool> pool;
    std::optional<Time> draining_since;
    /// Last listed start time, since the Unix epoch; a change of it means that the invoker was restarted.
    std::optional<Time> advertised_start;

    /// Whether new attempts may be sent to this invoker.
    bool accepts_attempts() const { return ready && is_listed; }
};

inline InvokerEndpoint& invoker_endpoint(Invoker& invoker) {
    return static_cast<InvokerEndpoint&>(invoker);
}

/// Owns each InvokerEndpoint with its pool, and the InvokerTypes. A removed endpoint is kept until its pool has
/// drained, since calls in that pool still refer to it.
class EndpointRegistry {
public:
    using Endpoints = std::map<std::string, std::unique_ptr<InvokerEndpoint>>;

    EndpointRegistry(net::EventLoop& loop, Log& log, const PoolConfig& config, PoolFactory make_pool);
    ~EndpointRegistry();
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    /// Adds or updates the listed invokers, up to PoolConfig::max_invokers in total. Returns those added or updated, in
    /// the order of `changed`.
    std::vector<Invoker*> update(const std::vector<Endpoint>& changed);
    /// Returns the invokers with these names that are still listed.
    std::vector<Invoker*> find_listed(const std::vector<std::string>& names) const;
    std::vector<Invoker*> listed_except(const std::vector<Invoker*>& excluded) const;
    /// Cancels the attempts that wait for a connection to this invoker if it is draining: sending them now would give
    /// it new work.
    void cancel_unsent_if_draining(InvokerEndpoint& endpoint);
    void cancel_unsent_of_draining();
    /// Removes an invoker that the scheduler has released. Its connections close as they become idle.
    void remove(InvokerEndpoint& endpoint);

    /// Compares the wall clock with the monotonic clock, and logs a step of the wall clock.
    void check_clocks();

    const Endpoints& endpoints() const { return endpoints_; }
    ConnectionCounts& connection_counts() { return connection_counts_; }
    const ConnectionCounts& connection_counts() const { return connection_counts_; }
    std::size_t wall_clock_steps() const { return start_clock_.step_count(); }

private:
    /// A removed endpoint, kept until its pool has drained.
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
    ConnectionCounts connection_counts_;  // declared before endpoints_, whose pools refer to it
    Endpoints endpoints_;
    std::list<ClosingEndpoint> closing_;
    StartClock start_clock_;
};

}  // namespace plumkeel::gateway
