// Wires the platform's edges to a gateway. It runs in any world: on sockets, or in virtual time against scripted
// peers.
#pragma once

#include "discovery/watch.hpp"
#include "fastcgi/front.hpp"
#include "gateway/gateway.hpp"
#include "platform/config.hpp"

namespace plumkeel::platform {

class Host {
public:
    Host(net::World& world, const Config& config, Log& log, trace::Recorded recorded = {});

    net::Error open();
    // The configuration was replaced: of it, the board's address counts.
    void reconfigured(const Config& config);
    // Clients go on coming for a moment; then the door closes. Calls `then` once every job is answered.
    void end(std::function<void()> then);
    const gateway::Gateway& gateway() const { return gateway_; }
    const discovery::Watch& watch() const { return watch_; }

private:
    void told(const discovery::Event& event);
    void look();

    net::World& world_;
    Log& log_;
    const Config config_;
    runline::ConnectionBudget budget_;
    gateway::Gateway gateway_;
    fastcgi::Front front_;
    discovery::Watch watch_;
    net::Time look_at_{}, worst_lag_{};
    int looks_{};
    bool ending_{};
};

}  // namespace plumkeel::platform
