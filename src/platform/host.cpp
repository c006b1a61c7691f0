#include "platform/host.hpp"

#include "net/usage.hpp"

namespace plumkeel::platform {

using namespace std::chrono_literals;

// Clients may come for 0.6 s after the word to end; a little more is granted.
constexpr Time still_coming = 800ms;
constexpr Time look_every = 250ms;
constexpr int looks_a_line = 12;

Host::Host(net::World& world, const Config& config, Log& log, trace::Recorded recorded)
    : world_(world),
      log_(log),
      config_(config),
      budget_(world),
      gateway_(world, config.charter, log, config.seed,
               [this](const net::Address& address, gateway::ConnectionCounts& counts) {
                   return std::make_unique<runline::ConnectionPool>(world_, gateway_.charter().pool, config_.sight, address, counts, budget_);
               },
               std::move(recorded)),
      front_(gateway_),
      watch_(world, log, config.places, config.discovery, config.known_to, [this](const discovery::Event& event) { told(event); }, config.seed) {
    gateway_.list_told_by([this] { return watch_.told_at(); });
    gateway_.tell_spoilt([this](const std::string& address, const char* why, std::size_t out) {
        log_.line(Log::Level::info, "line_spoilt", {{"invoker", address}, {"why", why}, {"out", out}});
    });
}

net::Error Host::open() {
    for (const discovery::Event& event : config_.known) told(event);
    watch_.follow();
    gateway_.begin();
    const net::Error error = front_.open();
    if (error) return error;
    const Charter& charter = config_.charter;
    log_.line(Log::Level::info, "serving",
              {{"name", charter.name}, {"listen", charter.listen}, {"controllers", charter.allowances.controllers},
               {"descriptors", config_.descriptors}, {"client_connections", charter.admission.connections},
               {"lines", charter.pool.most_all}, {"lines_an_invoker", charter.pool.most},
               {"memory_mb", config_.memory_mb}, {"body_bytes", charter.admission.memory_bytes}});
    look_at_ = world_.now() + look_every;
    world_.at(look_at_, [this] { look(); });
    return {};
}

void Host::told(const discovery::Event& event) {
    log_.line(Log::Level::info, "list_changed",
              {{"event", event.number}, {"whole", event.whole}, {"entries", event.entries.size()}, {"gone", event.gone.size()}});
    if (!event.entries.empty() || event.whole) gateway_.fleet_told(event.entries, event.whole);
    if (!event.gone.empty()) gateway_.fleet_gone(event.gone);
}

void Host::reconfigured(const Config& config) {
    watch_.move_to(config.discovery);
}

void Host::end(std::function<void()> then) {
    if (std::exchange(ending_, true)) return;
    log_.line(Log::Level::info, "ending");
    world_.at(world_.now() + still_coming, [this, then = std::move(then)] {
        front_.close([this, then] {
            log_.line(Log::Level::info, "ended");
            then();
        });
    });
}

// Now and then, by one timer: how late it comes tells how long the controller stood still.
void Host::look() {
    worst_lag_ = std::max(worst_lag_, world_.now() - look_at_);
    look_at_ = world_.now() + look_every;
    world_.at(look_at_, [this] { look(); });
    if (++looks_ % looks_a_line) return;
    auto state = gateway_.status();
    const net::Usage usage = net::usage();
    state["resident_kb"] = usage.resident_kb;
    state["descriptors"] = usage.descriptors;
    state["cpu_ms"] = usage.cpu / 1ms;
    state["worst_lag_ms"] = static_cast<double>(std::exchange(worst_lag_, Time{}).count()) / 1000;
    state["board"] = {{"last", watch_.last()}, {"connections", watch_.connections()}};
    log_.line(Log::Level::info, "state", std::move(state));
    log_.line(Log::Level::info, "believed", {{"invokers", gateway_.believed()}});
}

}  // namespace plumkeel::platform
