#include "gateway/endpoint_registry.hpp"

#include <algorithm>
#include <utility>

namespace plumkeel::gateway {

using namespace std::chrono_literals;

namespace {

/// Interval of the check whether the pool of a removed endpoint has drained.
constexpr Time drain_check_interval = 1s;

}  // namespace

EndpointRegistry::EndpointRegistry(net::EventLoop& loop, Log& log, const PoolConfig& config, PoolFactory make_pool)
    : loop_(loop), log_(log), config_(config), make_pool_(std::move(make_pool)) {
    start_clock_.compare(loop_.now(), loop_.wall_clock());
}

EndpointRegistry::~EndpointRegistry() {
    for (ClosingEndpoint& closing : closing_) loop_.cancel(closing.timer);
}

std::vector<Invoker*> EndpointRegistry::update(const std::vector<Endpoint>& changed) {
    check_clocks();
    std::vector<Invoker*> updated;
    std::size_t ignored = 0;
    for (const Endpoint& listed : changed) {
        if (endpoints_.size() >= config_.max_invokers && !endpoints_.count(listed.name)) {
            ++ignored;
            continue;
        }
        std::unique_ptr<InvokerEndpoint>& endpoint = endpoints_[listed.name];
        if (!endpoint) endpoint = std::make_unique<InvokerEndpoint>();
        update_endpoint(*endpoint, listed);
        updated.push_back(endpoint.get());
    }
    if (ignored > 0)
        log_.write(Log::Level::error, "endpoint_limit_exceeded",
                   {{"ignored", ignored}, {"limit", config_.max_invokers}});
    return updated;
}

void EndpointRegistry::update_endpoint(InvokerEndpoint& endpoint, const Endpoint& listed) {
    endpoint.name = listed.name;
    endpoint.ready = listed.ready;
    endpoint.capacity = listed.capacity;
    endpoint.zone = listed.zone;
    endpoint.type = &invoker_types_[listed.type];
    endpoint.cell = listed.cell;
    if (listed.ready)
        endpoint.draining_since.reset();
    else if (!endpoint.draining_since)
        endpoint.draining_since = loop_.now();
    update_start(endpoint, listed);
    const auto address = net::Address::parse(listed.address);
    if (endpoint.pool)
        endpoint.pool->set_address(*address);
    else
        endpoint.pool = make_pool_(*address, connection_counts_);
}

// The start time is converted only when the listed value changes, so that a clock step does not move it.
void EndpointRegistry::update_start(InvokerEndpoint& endpoint, const Endpoint& listed) {
    if (listed.started_at == endpoint.advertised_start) return;
    endpoint.advertised_start = listed.started_at;
    endpoint.started_at.reset();
    if (listed.started_at) endpoint.started_at = start_clock_.monotonic_time_of(*listed.started_at, loop_.now());
}

std::vector<Invoker*> EndpointRegistry::find_listed(const std::vector<std::string>& names) const {
    std::vector<Invoker*> result;
    for (const std::string& name : names)
        if (const auto found = endpoints_.find(name); found != endpoints_.end() && found->second->is_listed)
            result.push_back(found->second.get());
    return result;
}

std::vector<Invoker*> EndpointRegistry::listed_except(const std::vector<Invoker*>& excluded) const {
    std::vector<Invoker*> result;
    for (const auto& [name, endpoint] : endpoints_)
        if (endpoint->is_listed && std::ranges::find(excluded, endpoint.get()) == excluded.end())
            result.push_back(endpoint.get());
    return result;
}

void EndpointRegistry::cancel_unsent_if_draining(InvokerEndpoint& endpoint) {
    if (endpoint.accepts_attempts()) return;
    if (!endpoint.draining_since) endpoint.draining_since = loop_.now();
    endpoint.pool->cancel_unsent();
}

void EndpointRegistry::cancel_unsent_of_draining() {
    for (const auto& [name, endpoint] : endpoints_) cancel_unsent_if_draining(*endpoint);
}

void EndpointRegistry::remove(InvokerEndpoint& endpoint) {
    const auto found = endpoints_.find(endpoint.name);
    const auto closing = closing_.insert(closing_.end(), ClosingEndpoint{std::move(found->second), {}});
    endpoints_.erase(found);
    closing->endpoint->pool->close();
    close_when_drained(closing);
}

// Destroys the endpoint one interval after its pool was found drained, not at once: calls already scheduled in the
// event loop still refer to it.
void EndpointRegistry::close_when_drained(std::list<ClosingEndpoint>::iterator closing) {
    const ConnectionPool& pool = *closing->endpoint->pool;
    const bool drained = pool.connection_count() + pool.queued_count() == 0;
    closing->timer = loop_.call_at(loop_.now() + drain_check_interval, [this, closing, drained] {
        if (drained)
            closing_.erase(closing);
        else
            close_when_drained(closing);
    });
}

void EndpointRegistry::check_clocks() {
    const std::size_t steps = start_clock_.step_count();
    start_clock_.compare(loop_.now(), loop_.wall_clock());
    if (start_clock_.step_count() != steps)
        log_.write(Log::Level::warn, "wall_clock_stepped", {{"steps", start_clock_.step_count()}});
}

}  // namespace plumkeel::gateway
