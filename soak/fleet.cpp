#include "soak/fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using faults::Process;
using net::Time;

constexpr std::uint16_t discovery_port = 2379, proxy_port = 7001, invoker_port = 8001;
constexpr std::uint32_t discovery_service_count = 2;
constexpr std::int64_t discovery_outage_allowance_us =
    4'000'000;  // time until controllers receive an announcement made during an outage
constexpr Time min_time_between_outages = 3s;
constexpr Time drain_duration = 3s, stop_delay_after_unlisting = 2500ms;

// State of an invoker in a discovery row, as encoded on the wire.
constexpr int state_up = 0, state_draining = 1, state_removed = 2;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

net::Address Fleet::discovery_address(std::uint32_t number) {
    return {loopback_host(HostGroup::discovery, number), discovery_port};
}

void Fleet::start() {
    for (std::uint32_t number = 0; number < context_.options.invoker_count; ++number) {
        InvokerProcess& invoker = *invokers_.emplace_back(std::make_unique<InvokerProcess>());
        invoker.number = number;
        invoker.listed = true;
        launch(invoker);
        context_.history.invokers[number] = {number, 0, never};
    }
    start_proxies();
    start_discovery();
}

// Each proxy listens for every invoker number assigned to it, including numbers of invokers that start later.
void Fleet::start_proxies() {
    for (std::uint32_t proxy = 0; proxy < context_.options.proxy_count; ++proxy) {
        std::vector<std::string> command{context_.options.soak_program,
                                         "proxy",
                                         "--record",
                                         context_.path(fmt::format("proxy-{}.events", proxy)),
                                         "--control",
                                         context_.control.path()};
        for (std::uint32_t number = proxy; number < max_invokers; number += context_.options.proxy_count)
            command.insert(
                command.end(),
                {"--route", fmt::format("{}:{}={}:{}={}", loopback_host(HostGroup::proxies, number), proxy_port,
                                        loopback_host(HostGroup::invokers, number), invoker_port, number)});
        proxies_.push_back(std::make_unique<Process>(std::move(command), std::map<std::string, std::string>{},
                                                     context_.path(fmt::format("proxy-{}.log", proxy))));
    }
}

void Fleet::start_discovery() {
    for (std::uint32_t number = 0; number < discovery_service_count; ++number) {
        discovery_services_.push_back(std::make_unique<scale::DiscoveryStub>(context_.loop, discovery_address(number)));
        if (const net::Error error = discovery_services_.back()->open())
            throw std::runtime_error("discovery service cannot listen: " + error.message());
    }
}

void Fleet::stop() {
    for (auto& proxy : proxies_) proxy.reset();
    for (const auto& invoker : invokers_) invoker->process.reset();
}

void Fleet::clear_faults() {
    for (std::size_t number = 0; number < max_invokers; ++number) {
        InvokerControl& control = context_.control.invoker(number);
        control.network = NetworkState::up;
        control.failures_per_million = control.rejections_per_million = control.duplicates_per_million =
            control.drops_per_million = 0;
    }
}

void Fleet::launch(InvokerProcess& invoker) {
    const std::uint32_t number = invoker.number;
    const std::vector<std::string> command{
        context_.options.soak_program,
        "invoker",
        "--listen",
        fmt::format("{}:{}", loopback_host(HostGroup::invokers, number), invoker_port),
        "--record",
        context_.path(fmt::format("invoker-{}.events", number)),
        "--control",
        context_.control.path(),
        "--number",
        std::to_string(number),
        "--seed",
        std::to_string(context_.options.seed + number)};
    invoker.process = std::make_unique<Process>(command, std::map<std::string, std::string>{},
                                                context_.path(fmt::format("invoker-{}.log", number)));
}

Fleet::InvokerProcess* Fleet::random_invoker() {
    std::vector<InvokerProcess*> active;
    for (const auto& invoker : invokers_)
        if (invoker->listed && !invoker->draining) active.push_back(invoker.get());
    return active.empty() ? nullptr : active[context_.random_index(active.size())];
}

std::size_t Fleet::active_invoker_count() const {
    return static_cast<std::size_t>(std::count_if(
        invokers_.begin(), invokers_.end(), [](const auto& invoker) { return invoker->listed && !invoker->draining; }));
}

bytes::EndpointEntry Fleet::discovery_entry(const InvokerProcess& invoker, int state) const {
    return {invoker.number + 1, loopback_host(HostGroup::proxies, invoker.number), proxy_port, state,
            static_cast<std::uint64_t>(invoker.started_unix_ms)};
}

void Fleet::announce(const bytes::EndpointEntry& row) {
    const std::string payload = bytes::encode_endpoint(row);
    for (const auto& service : discovery_services_) last_event_revision_ = service->publish(payload);
}

// The time by which controllers are expected to have received an announcement that is published now.
std::int64_t Fleet::announcement_received_us() const {
    return discovery_down_ ? now_us() + discovery_outage_allowance_us : now_us();
}

std::string Fleet::known_endpoints_json() const {
    std::string targets;
    for (const auto& invoker : invokers_) {
        if (!invoker->listed) continue;
        targets += fmt::format(
            R"({}{{"uid":"s-{:08x}","endpoint":"{}:{}","az":"a","model":"k","pod_group":0,"state":"{}","capacity_hint":5,"boot_ms":{}}})",
            targets.empty() ? "" : ",", invoker->number + 1, loopback_host(HostGroup::proxies, invoker->number),
            proxy_port, invoker->draining ? "draining" : "up", invoker->started_unix_ms);
    }
    return fmt::format(R"({{"rev":{0},"notices":[{{"rev":{0},"pool":{{"rev":{0},"all":true,"targets":[{1}]}}}}]}})",
                       last_event_revision_, targets);
}

void Fleet::replace(InvokerProcess& invoker, Removal removal) {
    if (!invoker.listed || invoker.draining || invokers_.size() >= max_invokers) return;
    if (removal == Removal::kill) {
        invoker.process.reset();
        unlist(invoker);
    } else {
        invoker.draining = true;
        context_.history.invokers[invoker.number].drained_us = announcement_received_us();
        announce(discovery_entry(invoker, state_draining));
        context_.call_after(drain_duration, [this, &invoker] {
            unlist(invoker);
            context_.call_after(stop_delay_after_unlisting, [&invoker] { invoker.process.reset(); });
        });
    }
    context_.call_after(context_.random_time(100ms, 700ms), [this] { add_invoker(); });
}

void Fleet::unlist(InvokerProcess& invoker) {
    if (!std::exchange(invoker.listed, false)) return;
    std::int64_t& drained_us = context_.history.invokers[invoker.number].drained_us;
    drained_us = std::min(drained_us, announcement_received_us());
    announce(discovery_entry(invoker, state_removed));
}

void Fleet::add_invoker() {
    if (invokers_.size() >= max_invokers) return;
    InvokerProcess& invoker = *invokers_.emplace_back(std::make_unique<InvokerProcess>());
    invoker.number = static_cast<std::uint32_t>(invokers_.size()) - 1;
    launch(invoker);
    invoker.started_unix_ms = unix_ms();
    context_.history.invokers[invoker.number] = {invoker.number, now_us(), never};
    invoker.listed = true;
    announce(discovery_entry(invoker, state_up));
}

void Fleet::pause(InvokerProcess& invoker, Time duration) {
    if (invoker.paused || !invoker.process) return;
    invoker.paused = true;
    invoker.process->signal(SIGSTOP);
    context_.call_after(duration, [&invoker] {
        invoker.paused = false;
        if (invoker.process) invoker.process->signal(SIGCONT);
    });
}

// Leaves a minimum time between two outages, so that controllers can reconnect and receive the announcements they
// missed.
void Fleet::interrupt_discovery(Time duration) {
    if (discovery_down_ || context_.loop.now() < discovery_restored_at_ + min_time_between_outages) return;
    discovery_down_ = true;
    for (const auto& service : discovery_services_) service->close();
    context_.call_after(duration, [this] {
        discovery_down_ = false;
        discovery_restored_at_ = context_.loop.now();
        for (const auto& service : discovery_services_)
            if (const net::Error error = service->open())
                context_.log("discovery service cannot listen: " + error.message());
    });
}

}  // namespace plumkeel::soak
