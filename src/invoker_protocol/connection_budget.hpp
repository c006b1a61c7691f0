/// The limit on connections to all invokers together.
#pragma once

#include <deque>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::invoker_protocol {

class InvokerConnection;
class ConnectionPool;

/// Counts the connections of all pools, which PoolConfig::max_total_connections bounds. When the limit is reached, a
/// pool without a connection takes the place of the one that has been idle longest. Where none is idle, pools wait
/// here in turn for the first that is.
class ConnectionBudget {
public:
    explicit ConnectionBudget(net::EventLoop& loop) : loop_(loop) {}
    ~ConnectionBudget() { loop_.cancel(serving_timer_); }
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    std::size_t open() const { return open_; }
    /// Closes the connection that has been idle longest. False: none is idle.
    bool evict();

private:
    friend class InvokerConnection;
    friend class ConnectionPool;
    void on_opened() { ++open_; }
    void on_closed();
    void on_idle(InvokerConnection& connection);
    void on_busy(InvokerConnection& connection) { std::erase(idle_, &connection); }
    void wait(ConnectionPool& pool);
    void remove(ConnectionPool& pool) { std::erase(waiting_, &pool); }
    void schedule_waiting();

    net::EventLoop& loop_;
    std::size_t open_{};
    std::vector<InvokerConnection*> idle_;  // the one that has been idle longest first
    std::deque<ConnectionPool*> waiting_;
    net::EventLoop::TimerKey serving_timer_{};
};

}  // namespace plumkeel::invoker_protocol
