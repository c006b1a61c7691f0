/// What the parts of a soak run share.
#pragma once

#include <functional>
#include <string>

#include "net/socket_event_loop.hpp"
#include "random/pcg.hpp"
#include "soak/control.hpp"
#include "soak/run.hpp"
#include "soak/run_history.hpp"

namespace plumkeel::soak {

/// Groups of hosts in the part of loopback that belongs to a run.
enum class HostGroup : std::uint32_t { controllers, proxies, invokers, discovery };

struct RunContext {
    const RunOptions options;
    Pcg random;
    net::SocketEventLoop loop;
    ControlFile control;
    RunHistory history;
    bool winding_down{};  // no more faults and restarts

    explicit RunContext(const RunOptions& run_options)
        : options(run_options), random(options.seed), control(options.folder + "/control", ControlFile::Mode::create) {}

    /// From 0 up to `count`.
    std::size_t random_index(std::size_t count) {
        return static_cast<std::size_t>(random.next() * static_cast<double>(count));
    }
    net::Time random_time(net::Time least, net::Time most) {
        return least +
               net::Time(static_cast<net::Time::rep>(random.next() * static_cast<double>((most - least).count())));
    }
    void after(net::Time delay, std::function<void()> action) { loop.call_at(loop.now() + delay, std::move(action)); }
    /// To the standard error, with the time since the run's start.
    void log(const std::string& line) const;
    /// The path of a file in the run's folder.
    std::string path(const std::string& name) const { return options.folder + "/" + name; }
};

/// Hosts of one process's own part of loopback, so that runs side by side don't meet.
std::string run_host(HostGroup group, std::uint32_t number);

}  // namespace plumkeel::soak
