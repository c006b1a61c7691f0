// Wires the platform's edges to a gateway. It runs in any world: on sockets, or in virtual time against scripted
// peers.
#pragma once

#include "discovery/watcher.hpp"
#include "fastcgi/server.hpp"
#include "gateway/gateway.hpp"
#include "platform/platform_config.hpp"

namespace plumkeel::platform {

class PlatformServer {
public:
    PlatformServer(net::EventLoop& loop, const PlatformConfig& config, Log& log, trace::RecordCallback recorded = {});

    net::Error open();
    // The configuration was replaced: of it, the board's address counts.
    void reconfigure(const PlatformConfig& config);
    // Clients go on coming for a moment; then the door closes. Calls `then` once every job is answered.
    void shut_down(std::function<void()> then);
    const gateway::Gateway& gateway() const { return gateway_; }
    const discovery::Watcher& watcher() const { return watcher_; }

private:
    void on_event(const discovery::WatchEvent& event);
    void log_status();

    net::EventLoop& loop_;
    Log& log_;
    const PlatformConfig config_;
    invoker_protocol::ConnectionBudget budget_;
    gateway::Gateway gateway_;
    fastcgi::Server server_;
    discovery::Watcher watcher_;
    net::Time status_due_at_{}, worst_lag_{};
    int status_rounds_{};
    bool shutting_down_{};
};

}  // namespace plumkeel::platform
