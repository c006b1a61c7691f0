#include "platform/platform_server.hpp"

#include <algorithm>
#include <utility>

#include "net/usage.hpp"

namespace plumkeel::platform {

using namespace std::chrono_literals;

// Clients may connect for 0.6 s after the controller is told to stop; the remaining 0.2 s are a margin.
constexpr Time shutdown_grace = 800ms;
constexpr Time lag_check_interval = 250ms;
constexpr int lag_checks_per_status = 12;

PlatformServer::PlatformServer(net::EventLoop& loop, const PlatformConfig& config, Log& log,
                               trace::RecordCallback on_record)
    : loop_(loop),
      log_(log),
      config_(config),
      budget_(loop),
      gateway_(
          loop, config.gateway, log, config.seed,
          [this](const net::Address& address, gateway::ConnectionCounts& counts) {
              return std::make_unique<invoker_protocol::ConnectionPool>(
                  loop_, gateway_.config().pool, config_.response_options, address, counts, budget_);
          },
          std::move(on_record)),
      server_(gateway_),
      watcher_(
          loop, log, config.labels, config.discovery, config.last_known_event,
          [this](const discovery::WatchEvent& event) { on_event(event); }, config.seed) {
    gateway_.set_list_age_source([this] { return watcher_.confirmed_at(); });
    gateway_.on_malformed_response([this](const std::string& address, const char* reason, std::size_t in_flight) {
        log_.write(Log::Level::info, "invoker_response_malformed",
                   {{"invoker", address}, {"reason", reason}, {"in_flight", in_flight}});
    });
}

net::Error PlatformServer::open() {
    apply_initial_events();
    watcher_.start();
    gateway_.start();
    const net::Error error = server_.open();
    if (error) return error;
    log_start();
    schedule_lag_check();
    return {};
}

// The first event holds the whole list, whether it says so or not: there is none before it.
void PlatformServer::apply_initial_events() {
    bool is_first = true;
    for (discovery::WatchEvent event : config_.initial_events) {
        event.is_complete = std::exchange(is_first, false) || event.is_complete;
        on_event(event);
    }
}

void PlatformServer::log_start() {
    const GatewayConfig& config = config_.gateway;
    log_.write(Log::Level::info, "server_started",
               {{"name", config.name},
                {"listen", config.listen},
                {"controllers", config.capabilities.controller_count},
                {"descriptors", config_.descriptors},
                {"max_client_connections", config.admission.max_connections},
                {"max_invoker_connections", config.pool.max_total_connections},
                {"max_connections_per_invoker", config.pool.max_connections},
                {"memory_mb", config_.memory_mb},
                {"max_body_memory_bytes", config.admission.max_memory_bytes}});
}

void PlatformServer::on_event(const discovery::WatchEvent& event) {
    log_.write(Log::Level::info, "endpoints_updated",
               {{"event", event.number},
                {"is_complete", event.is_complete},
                {"updated", event.endpoints.size()},
                {"removed", event.removed.size()}});
    if (!event.endpoints.empty() || event.is_complete) gateway_.update_endpoints(event.endpoints, event.is_complete);
    if (!event.removed.empty()) gateway_.remove_endpoints(event.removed);
}

void PlatformServer::reconfigure(const PlatformConfig& config) {
    watcher_.apply_known_events(config.initial_events);
    watcher_.set_address(config.discovery);
}

void PlatformServer::shut_down(std::function<void()> on_stopped) {
    if (std::exchange(shutting_down_, true)) return;
    log_.write(Log::Level::info, "shutdown_started");
    loop_.call_at(loop_.now() + shutdown_grace, [this, on_stopped = std::move(on_stopped)] {
        server_.close([this, on_stopped] {
            log_.write(Log::Level::info, "shutdown_completed");
            on_stopped();
        });
    });
}

void PlatformServer::schedule_lag_check() {
    lag_check_due_at_ = loop_.now() + lag_check_interval;
    loop_.call_at(lag_check_due_at_, [this] { check_lag(); });
}

// The delay of this timer shows for how long the event loop was blocked.
void PlatformServer::check_lag() {
    worst_lag_ = std::max(worst_lag_, loop_.now() - lag_check_due_at_);
    schedule_lag_check();
    if (++lag_checks_ % lag_checks_per_status == 0) log_status();
}

void PlatformServer::log_status() {
    auto status = gateway_.status();
    const net::ResourceUsage usage = net::usage();
    status["resident_kb"] = usage.resident_kb;
    status["descriptors"] = usage.descriptors;
    status["cpu_ms"] = usage.cpu / 1ms;
    status["worst_lag_ms"] = static_cast<double>(std::exchange(worst_lag_, Time{}).count()) / 1000;
    status["discovery"] = {{"last_event", watcher_.last_event_number()}, {"connections", watcher_.connections()}};
    log_.write(Log::Level::info, "status", std::move(status));
    log_.write(Log::Level::info, "invoker_estimates", {{"invokers", gateway_.estimates()}});
}

}  // namespace plumkeel::platform
