// The connections to one invoker over HTTP: kept alive, capped, one errand at a time on each. Calling a hop off
// closes its connection. Once a byte of a hop was handed over it may have run.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "charter/charter.hpp"
#include "gateway/edges.hpp"
#include "net/limit.hpp"

namespace plumkeel::web {

using gateway::Errand;
using gateway::Outcome;

class Connection;

class ConnectionPool : public gateway::ConnectionPool {
public:
    // `teller`: how the controller is named to invokers.
    ConnectionPool(net::World& world, const PoolRules& rules, net::Address address, gateway::ConnectionCounts& counts, std::string teller);
    ~ConnectionPool() override;

    void withdraw() override;
    void move_to(net::Address address) override;
    void close() override;
    std::size_t open() const override { return connections_.size(); }
    std::size_t waiting() const override { return queue_.size(); }
    std::size_t out() const override;

private:
    friend class Connection;
    bool carry(const std::shared_ptr<Errand>& errand) override;
    proof::Reached take_off(Errand& errand, proof::Cause cause) override;
    std::string head_of(Errand& errand) const;
    bool dispatch(const std::shared_ptr<Errand>& errand);
    void connection_free(const std::shared_ptr<Connection>& connection);
    void connection_gone(const std::shared_ptr<Connection>& connection);

    const PoolRules& rules_;
    net::Address address_;
    gateway::ConnectionCounts& counts_;
    const std::string teller_;
    std::vector<std::shared_ptr<Connection>> connections_, idle_;
    std::deque<std::shared_ptr<Errand>> queue_;
};

}  // namespace plumkeel::web
