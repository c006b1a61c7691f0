// The connections to one invoker of the platform: many errands on each, answers in any order. A hop is called off
// by word, and its connection stays. An invoker runs a hop only once it has come whole, so one that was not
// written whole when its connection ended never ran.
//
// What can't be read ends its connection at once, with all that is out on it, each by what it proves. So does a
// probe that finds nothing heard on its connection for the whole of its time.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway/edges.hpp"

namespace plumkeel::invoker_protocol {

using gateway::UpstreamCall;

struct ResponseOptions {  // what invokers tell, by the settings
    std::vector<std::string> report_fields;
    bool reports_concurrency{};
};

class InvokerConnection;
class ConnectionPool;

// The connections to all invokers together, which rules.most_all bounds. When they are used up, an invoker without
// one takes the place of the connection that has idled longest: nothing is owed on it. Where none idles, invokers
// wait here in turn for the first that does.
class ConnectionBudget {
public:
    explicit ConnectionBudget(net::EventLoop& loop) : loop_(loop) {}
    ~ConnectionBudget() { loop_.cancel(serving_timer_); }
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    std::size_t open() const { return open_; }
    bool evict();  // false: all are in use

private:
    friend class InvokerConnection;
    friend class ConnectionPool;
    void on_idle(InvokerConnection& connection);
    void on_busy(InvokerConnection& connection);
    void wait(ConnectionPool& pool);
    void remove(ConnectionPool& pool) { std::erase(waiting_, &pool); }
    void schedule_waiting();

    net::EventLoop& loop_;
    std::size_t open_{};
    std::vector<InvokerConnection*> idle_;  // the one that has idled longest first
    std::deque<ConnectionPool*> waiting_;
    net::EventLoop::TimerKey serving_timer_{};
};

class ConnectionPool : public gateway::ConnectionPool {
public:
    ConnectionPool(net::EventLoop& loop, const PoolConfig& rules, const ResponseOptions& sight, net::Address address,
                   gateway::ConnectionCounts& counts, ConnectionBudget& budget);
    ~ConnectionPool() override;

    void cancel_unsent() override;
    void set_address(net::Address address) override;
    void close() override;
    std::size_t connection_count() const override { return connections_.size(); }
    std::size_t queued_count() const override { return queue_.size(); }
    std::size_t in_flight_count() const override;

private:
    friend class InvokerConnection;
    friend class ConnectionBudget;
    bool enqueue(const std::shared_ptr<UpstreamCall>& call) override;
    delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) override;
    bool dispatch(const std::shared_ptr<UpstreamCall>& call);
    std::shared_ptr<InvokerConnection> choose(const UpstreamCall& call);
    std::string id_of(const UpstreamCall& call);
    void on_connection_free();
    void connection_closed(const std::shared_ptr<InvokerConnection>& connection);

    const PoolConfig& config_;
    const ResponseOptions& options_;
    net::Address address_;
    gateway::ConnectionCounts& counts_;
    ConnectionBudget& budget_;
    std::vector<std::shared_ptr<InvokerConnection>> connections_;
    std::deque<std::shared_ptr<UpstreamCall>> queue_;
    std::uint64_t tag_ids_{};
};

}  // namespace plumkeel::invoker_protocol
