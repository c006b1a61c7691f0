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

#include "charter/charter.hpp"
#include "gateway/edges.hpp"

namespace plumkeel::runline {

using gateway::Errand;

struct Sight {  // what invokers tell, by the settings
    std::vector<std::string> report_fields;
    bool says_company{};
};

class Connection;
class ConnectionPool;

// The connections to all invokers together, which rules.most_all bounds. When they are used up, an invoker without
// one takes the place of the connection that has idled longest: nothing is owed on it. Where none idles, invokers
// wait here in turn for the first that does.
class ConnectionBudget {
public:
    explicit ConnectionBudget(net::World& world) : world_(world) {}
    ~ConnectionBudget() { world_.drop(serving_); }
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    std::size_t open() const { return open_; }
    bool evict();  // false: all are in use

private:
    friend class Connection;
    friend class ConnectionPool;
    void idles(Connection& connection);
    void busy(Connection& connection);
    void wait(ConnectionPool& pool);
    void left(ConnectionPool& pool) { std::erase(waiting_, &pool); }
    void serve_soon();

    net::World& world_;
    std::size_t open_{};
    std::vector<Connection*> idle_;  // the one that has idled longest first
    std::deque<ConnectionPool*> waiting_;
    net::World::Ticket serving_{};
};

class ConnectionPool : public gateway::ConnectionPool {
public:
    ConnectionPool(net::World& world, const PoolRules& rules, const Sight& sight, net::Address address, gateway::ConnectionCounts& counts, ConnectionBudget& budget);
    ~ConnectionPool() override;

    void withdraw() override;
    void move_to(net::Address address) override;
    void close() override;
    std::size_t open() const override { return connections_.size(); }
    std::size_t waiting() const override { return queue_.size(); }
    std::size_t out() const override;

private:
    friend class Connection;
    friend class ConnectionBudget;
    bool carry(const std::shared_ptr<Errand>& errand) override;
    proof::Reached take_off(Errand& errand, proof::Cause cause) override;
    bool dispatch(const std::shared_ptr<Errand>& errand);
    std::shared_ptr<Connection> choose(const Errand& errand);
    std::string id_of(const Errand& errand);
    void connection_free();
    void connection_gone(const std::shared_ptr<Connection>& connection);

    const PoolRules& rules_;
    const Sight& sight_;
    net::Address address_;
    gateway::ConnectionCounts& counts_;
    ConnectionBudget& budget_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::deque<std::shared_ptr<Errand>> queue_;
    std::uint64_t tags_{};
};

}  // namespace plumkeel::runline
