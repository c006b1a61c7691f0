/// Connects the platform's protocols (FastCGI for clients, the invoker protocol, discovery) to a gateway. It runs on
/// any event loop, with real sockets or in virtual time for tests.
#pragma once

#include "discovery/watcher.hpp"
#include "fastcgi/server.hpp"
#include "gateway/gateway.hpp"
#include "platform/platform_config.hpp"

namespace plumkeel::platform {

class PlatformServer {
public:
    PlatformServer(net::EventLoop& loop, const PlatformConfig& config, Log& log, trace::RecordCallback on_record = {});

    /// Starts discovery and the gateway, then listens for clients.
    net::Error open();
    /// Applies a new configuration: the events that the file holds beyond those received, and the address of the
    /// discovery service. Nothing else may change at run time.
    void reconfigure(const PlatformConfig& config);
    /// Accepts clients for a grace period, then stops listening. Calls `on_stopped` once every request has its response
    /// and all connections to clients are closed.
    void shut_down(std::function<void()> on_stopped);
    const gateway::Gateway& gateway() const { return gateway_; }
    const discovery::Watcher& watcher() const { return watcher_; }

private:
    void apply_initial_events();
    void on_event(const discovery::WatchEvent& event);
    void log_start();
    void schedule_lag_check();
    void check_lag();
    void log_status();

    net::EventLoop& loop_;
    Log& log_;
    const PlatformConfig config_;
    invoker_protocol::ConnectionBudget budget_;
    gateway::Gateway gateway_;
    fastcgi::Server server_;
    discovery::Watcher watcher_;
    net::Time lag_check_due_at_{}, worst_lag_{};
    int lag_checks_{};
    bool shutting_down_{};
};

}  // namespace plumkeel::platform
