/// The invokers of a soak run with the proxies before them, and the discovery that lists them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/faults/process.hpp"
#include "emulator/protocol_bytes.hpp"
#include "scale/discovery_stub.hpp"
#include "soak/run_context.hpp"

namespace plumkeel::soak {

class Fleet {
public:
    struct InvokerProcess {
        std::uint32_t number{};
        std::unique_ptr<faults::Process> process;
        bool listed{}, draining{}, paused{};
        std::int64_t started_unix_ms{};  // 0: long ago
    };

    explicit Fleet(RunContext& context) : context_(context) {}

    /// Throws std::exception where a process can't be started.
    void start();
    void stop();
    /// Ends the network's and the invokers' faults.
    void clear_faults();

    /// One that is listed and does not drain, by a random draw; null where there is none.
    InvokerProcess* random_invoker();
    std::size_t active_invokers() const;
    InvokerControl& control(const InvokerProcess& invoker) { return context_.control.invoker(invoker.number); }
    const std::vector<std::unique_ptr<InvokerProcess>>& invokers() const { return invokers_; }

    enum class Removal { drain, kill };
    /// Takes an invoker out and starts a new one in its place.
    void replace(InvokerProcess& invoker, Removal removal);
    void pause(InvokerProcess& invoker, net::Time duration);
    /// Ends discovery for a while, unless it is down or came back just before.
    void interrupt_discovery(net::Time duration);

    /// The list as the controllers' settings give it (the key "known").
    std::string known_endpoints_json() const;
    static net::Address discovery_address(std::uint32_t number);

private:
    void start_proxies();
    void start_discovery();
    void launch(InvokerProcess& invoker);
    void add_invoker();
    void unlist(InvokerProcess& invoker);
    bytes::EndpointEntry discovery_row(const InvokerProcess& invoker, int state) const;
    void announce(const bytes::EndpointEntry& row);
    std::int64_t announced_us() const;

    RunContext& context_;
    std::vector<std::unique_ptr<InvokerProcess>> invokers_;  // by number
    std::vector<std::unique_ptr<faults::Process>> proxies_;
    std::vector<std::unique_ptr<scale::DiscoveryStub>> discovery_;
    std::uint64_t last_event_ = 1;
    net::Time discovery_restored_at_{};
    bool discovery_down_{};
};

}  // namespace plumkeel::soak
