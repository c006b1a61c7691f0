// A controller that clients and invokers meet over HTTP: the gateway with its listener, its clients' connections
// and the list that it follows.
#pragma once

#include <map>

#include "fleet/roster.hpp"
#include "gateway/gateway.hpp"

namespace plumkeel::web {

class Visit;

class Service {
public:
    // `recorded` is told every call into the module and its answer, for traces.
    Service(net::World& world, Charter charter, Log& log, std::uint64_t seed, trace::Recorded recorded = {});
    ~Service();

    // Takes jobs from now on; the error of the listen, if it did not come about.
    net::Error open();
    // Takes no more; calls `then` once every open job has its answer and every answer has left.
    void close(std::function<void()> then);
    net::Address address() const { return listener_->address(); }
    boost::json::object status() const { return gateway_.status(); }
    metrics::Meters* meters() { return gateway_.meters(); }
    void measure_also(std::function<void(metrics::Levels&)> also) { gateway_.measure_also(std::move(also)); }

    net::World& world() { return world_; }
    gateway::Gateway& gateway() { return gateway_; }
    void visit_gone(const std::shared_ptr<Visit>& visit);

private:
    net::Task<> accept();
    net::Task<> turn_back(std::shared_ptr<net::Stream> stream, Objection objection);
    void see_whether_done();

    net::World& world_;
    Log& log_;
    gateway::Gateway gateway_;
    fleet::Roster roster_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Visit>> visits_;  // in the order in which they came
    std::uint64_t visit_numbers_{};
    int turning_back_{};
    bool answered_all_{};
    std::function<void()> then_;
};

}  // namespace plumkeel::web
