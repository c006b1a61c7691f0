/// Runs the phases of a PlatformCase: start, idle, busy, changes of the endpoint list, discovery outage, stop.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "net/socket_event_loop.hpp"
#include "scale/client_stub.hpp"
#include "scale/controller_process.hpp"
#include "scale/discovery_stub.hpp"
#include "scale/invoker_stub.hpp"
#include "scale/popularity.hpp"
#include "scale/watcher_stub.hpp"

namespace plumkeel::scale {

class PlatformRunner {
public:
    explicit PlatformRunner(const PlatformCase& platform_case);
    ~PlatformRunner();
    PlatformRunner(const PlatformRunner&) = delete;
    PlatformRunner& operator=(const PlatformRunner&) = delete;

    /// Runs all phases and returns the measurements. Throws ResultsError if a process does not become ready or a stub
    /// can't listen.
    std::vector<Measurement> run();

private:
    struct InvokerCounts {
        std::uint64_t bytes{}, connections{}, runs{}, health_checks{};
    };

    net::Task<> run_phases();
    net::Task<> start_processes();
    net::Task<bool> wait_until_ready(std::size_t process);
    net::Task<> measure_idle();
    net::Task<> measure_busy();
    net::Task<> send_requests(std::size_t process, net::Time until);
    net::Task<> measure_change();
    net::Task<> measure_burst();
    net::Task<> measure_discovery_outage();
    net::Task<> stop_processes();

    void add_measurement(std::string metric, const char* unit, double value);
    void add_distribution(const std::string& metric, std::vector<double> values_ms);
    void add_client_measurements();
    ProcessUsage mean_usage() const;
    double mean_log_bytes() const;
    InvokerCounts invoker_counts() const;
    double per_process(double total) const { return total / static_cast<double>(case_.processes); }
    double watcher_count() const { return static_cast<double>(case_.processes + case_.watchers); }
    std::string restarted_invoker_row(std::size_t invoker) const;
    void handle_change(std::uint64_t event_number);
    net::Task<> wait_for_watchers(std::uint64_t event_number);

    const PlatformCase case_;
    const std::filesystem::path folder_;
    net::SocketEventLoop loop_;
    DiscoveryStub discovery_;
    InvokerStub invokers_;
    const Popularity popularity_;
    std::vector<std::unique_ptr<WatcherStub>> watchers_;
    std::vector<std::unique_ptr<ClientStub>> clients_;
    std::vector<std::unique_ptr<ControllerProcess>> controllers_;
    std::vector<Measurement> measurements_;
    // State of the wait for the watchers to receive the latest change.
    net::Time published_at_{};
    std::uint64_t awaited_event_number_{};
    std::vector<double> watcher_delays_ms_;
    std::string error_;
};

}  // namespace plumkeel::scale
