/// The invoker processes of a soak run, the proxies between controllers and invokers, and the discovery services that
/// list the invokers.
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
        std::int64_t started_unix_ms{};  // 0: started with the run and counts as warm
    };

    explicit Fleet(RunContext& context) : context_(context) {}

    /// Starts invokers, proxies and discovery. Throws std::exception if one of them can't be started.
    void start();
    void stop();
    /// Ends the faults of the network and of the invokers' answers.
    void clear_faults();

    /// Returns a random invoker that is listed and isn't draining, or null if there is none.
    InvokerProcess* random_invoker();
    std::size_t active_invoker_count() const;
    InvokerControl& control(const InvokerProcess& invoker) { return context_.control.invoker(invoker.number); }
    const std::vector<std::unique_ptr<InvokerProcess>>& invokers() const { return invokers_; }

    enum class Removal { drain, kill };
    /// Drains or kills an invoker and starts a new one after a short delay.
    void replace(InvokerProcess& invoker, Removal removal);
    void pause(InvokerProcess& invoker, net::Time duration);
    /// Stops the discovery services for `duration`, unless they are stopped or were restarted a short time ago.
    void interrupt_discovery(net::Time duration);

    /// Returns the listed invokers in the JSON format of the key "known" in the controllers' settings.
    std::string known_endpoints_json() const;
    static net::Address discovery_address(std::uint32_t number);

private:
    void start_proxies();
    void start_discovery();
    void launch(InvokerProcess& invoker);
    void add_invoker();
    void unlist(InvokerProcess& invoker);
    bytes::EndpointEntry discovery_entry(const InvokerProcess& invoker, int state) const;
    void announce(const bytes::EndpointEntry& row);
    std::int64_t announcement_received_us() const;

    RunContext& context_;
    std::vector<std::unique_ptr<InvokerProcess>> invokers_;  // indexed by InvokerProcess::number
    std::vector<std::unique_ptr<faults::Process>> proxies_;
    std::vector<std::unique_ptr<scale::DiscoveryStub>> discovery_services_;
    std::uint64_t last_event_revision_ = 1;
    net::Time discovery_restored_at_{};
    bool discovery_down_{};
};

}  // namespace plumkeel::soak
