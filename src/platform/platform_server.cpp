#include "platform/platform_server.hpp"

#include "net/usage.hpp"

namespace plumkeel::platform {

using namespace std::chrono_literals;

// Clients may come for 0.6 s after the word to end; a little more is granted.
constexpr Time still_coming = 800ms;
constexpr Time look_every = 250ms;
constexpr int looks_a_line = 12;

PlatformServer::PlatformServer(net::EventLoop& loop, const PlatformConfig& config, Log& log,
                               trace::RecordCallback recorded)
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
          std::move(recorded)),
      server_(gateway_),
      watcher_(
          loop, log, config.labels, config.discovery, config.last_known_event,
          [this](const discovery::WatchEvent& event) { on_event(event); }, config.seed) {
    gateway_.set_list_age_source([this] { return watcher_.confirmed_at(); });
    gateway_.on_malformed_response([this](const std::string& address, const char* why, std::size_t out) {
        log_.write(Log::Level::info, "line_spoilt", {{"invoker", address}, {"why", why}, {"out", out}});
    });
}

net::Error PlatformServer::open() {
    for (const discovery::WatchEvent& event : config_.initial_events) on_event(event);
    watcher_.start();
    gateway_.start();
    const net::Error error = server_.open();
    if (error) return error;
    const GatewayConfig& config = config_.gateway;
    log_.write(Log::Level::info, "serving",
               {{"name", config.name},
                {"listen", config.listen},
                {"controllers", config.capabilities.controller_count},
                {"descriptors", config_.descriptors},
                {"client_connections", config.admission.max_connections},
                {"lines", config.pool.max_total_connections},
                {"lines_an_invoker", config.pool.max_connections},
                {"memory_mb", config_.memory_mb},
                {"body_bytes", config.admission.max_memory_bytes}});
    status_due_at_ = loop_.now() + look_every;
    loop_.call_at(status_due_at_, [this] { log_status(); });
    return {};
}

void PlatformServer::on_event(const discovery::WatchEvent& event) {
    log_.write(Log::Level::info, "list_changed",
               {{"event", event.number},
                {"whole", event.is_complete},
                {"entries", event.endpoints.size()},
                {"gone", event.removed.size()}});
    if (!event.endpoints.empty() || event.is_complete) gateway_.update_endpoints(event.endpoints, event.is_complete);
    if (!event.removed.empty()) gateway_.remove_endpoints(event.removed);
}

void PlatformServer::reconfigure(const PlatformConfig& config) {
    watcher_.set_address(config.discovery);
}

void PlatformServer::shut_down(std::function<void()> then) {
    if (std::exchange(shutting_down_, true)) return;
    log_.write(Log::Level::info, "ending");
    loop_.call_at(loop_.now() + still_coming, [this, then = std::move(then)] {
        server_.close([this, then] {
            log_.write(Log::Level::info, "ended");
            then();
        });
    });
}

// Now and then, by one timer: how late it comes tells how long the controller stood still.
void PlatformServer::log_status() {
    worst_lag_ = std::max(worst_lag_, loop_.now() - status_due_at_);
    status_due_at_ = loop_.now() + look_every;
    loop_.call_at(status_due_at_, [this] { log_status(); });
    if (++status_rounds_ % looks_a_line) return;
    auto state = gateway_.status();
    const net::Usage usage = net::usage();
    state["resident_kb"] = usage.resident_kb;
    state["descriptors"] = usage.descriptors;
    state["cpu_ms"] = usage.cpu / 1ms;
    state["worst_lag_ms"] = static_cast<double>(std::exchange(worst_lag_, Time{}).count()) / 1000;
    state["board"] = {{"last", watcher_.last()}, {"connections", watcher_.connections()}};
    log_.write(Log::Level::info, "state", std::move(state));
    log_.write(Log::Level::info, "believed", {{"invokers", gateway_.estimates()}});
}

}  // namespace plumkeel::platform
