/// Options, random numbers, event loop and history that the parts of a soak run share.
#pragma once

#include <functional>
#include <string>

#include "net/socket_event_loop.hpp"
#include "random/pcg.hpp"
#include "soak/control.hpp"
#include "soak/run.hpp"
#include "soak/run_history.hpp"

namespace plumkeel::soak {

/// Groups of loopback hosts, each in a range of addresses of its own.
enum class HostGroup : std::uint32_t { controllers, proxies, invokers, discovery };

struct RunContext {
    const RunOptions options;
    Pcg random;
    net::SocketEventLoop loop;
    ControlFile control;
    RunHistory history;
    bool winding_down{};  // no more faults or restarts: the run is about to end

    explicit RunContext(const RunOptions& run_options)
        : options(run_options), random(options.seed), control(options.folder + "/control", ControlFile::Mode::create) {}

    /// Returns a random number from 0 to `count` - 1.
    std::size_t random_index(std::size_t count) {
        return static_cast<std::size_t>(random.next() * static_cast<double>(count));
    }
    net::Time random_time(net::Time shortest, net::Time longest) {
        return shortest + net::Time(static_cast<net::Time::rep>(random.next() *
                                                                static_cast<double>((longest - shortest).count())));
    }
    void call_after(net::Time delay, std::function<void()> action) {
        loop.call_at(loop.now() + delay, std::move(action));
    }
    /// Writes a line with the loop's time in seconds to standard error, unless the run is quiet.
    void log(const std::string& line) const;
    /// Returns the path of a file in the run's folder.
    std::string path(const std::string& name) const { return options.folder + "/" + name; }
};

/// Returns a loopback address for a member of a group. The addresses depend on the process ID, so that concurrent runs
/// use different ones.
std::string loopback_host(HostGroup group, std::uint32_t number);

}  // namespace plumkeel::soak
