/// Limits the number of connections to all invokers together.
#pragma once

#include <deque>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::invoker_protocol {

class InvokerConnection;
class ConnectionPool;

/// Counts the connections of all pools, which PoolConfig::max_total_connections bounds. At the limit, a pool without a
/// connection may close the connection that has been idle longest and open its own. If none is idle, pools wait here in
/// order until one is.
class ConnectionBudget {
public:
    explicit ConnectionBudget(net::EventLoop& loop) : loop_(loop) {}
    ~ConnectionBudget() { loop_.cancel(waiting_pools_timer_); }
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    std::size_t open_count() const { return open_count_; }
    /// Closes the connection that has been idle longest; returns false if none is idle.
    bool close_longest_idle();

private:
    friend class InvokerConnection;
    friend class ConnectionPool;
    void on_opened() { ++open_count_; }
    void on_closed();
    void on_idle(InvokerConnection& connection);
    void on_busy(InvokerConnection& connection) { std::erase(idle_connections_, &connection); }
    void add_waiting_pool(ConnectionPool& pool);
    void remove_waiting_pool(ConnectionPool& pool) { std::erase(waiting_pools_, &pool); }
    void schedule_waiting_pools();

    net::EventLoop& loop_;
    std::size_t open_count_{};
    std::vector<InvokerConnection*> idle_connections_;  // longest idle first
    std::deque<ConnectionPool*> waiting_pools_;
    net::EventLoop::TimerKey waiting_pools_timer_{};
};

}  // namespace plumkeel::invoker_protocol
