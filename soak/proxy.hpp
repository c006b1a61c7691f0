/// The proxy process of a soak run: it forwards connections between controllers and some of the invokers, injects the
/// network faults that each InvokerControl switches on, and records each attempt that it has read completely.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "soak/control.hpp"
#include "soak/events.hpp"

namespace plumkeel::soak {

struct ProxyOptions {
    struct Route {
        std::string listen, target;  // addresses as host:port
        std::uint32_t invoker_number{};
    };
    std::vector<Route> routes;
    std::string event_path;    // path of the event file
    std::string control_path;  // path of the ControlFile
};

class NetworkProxy {
public:
    explicit NetworkProxy(const ProxyOptions& options);
    net::Error open();
    void run() { loop_.run(); }

private:
    struct Connection {
        std::uint32_t invoker_number{};
        std::shared_ptr<net::Stream> controller_stream, invoker_stream;
        std::shared_ptr<net::WriteQueue> to_controller, to_invoker;
        std::string held_for_controller, held_for_invoker;  // bytes not forwarded while the network is partitioned
        std::set<std::string> in_flight_ids;                // IDs of attempts that were neither answered nor cancelled
        bool ended{};
    };
    /// The values of an invoker's control counters at the last poll.
    struct ControlCounts {
        std::uint32_t reset_count{}, idle_close_count{};
    };

    InvokerControl& control(std::uint32_t invoker_number) { return control_.invoker(invoker_number); }
    net::Task<> accept(std::shared_ptr<net::Listener> listener, ProxyOptions::Route route);
    net::Task<> forward(std::shared_ptr<net::Stream> controller_stream, ProxyOptions::Route route);
    net::Task<> read_controller(std::shared_ptr<Connection> connection);
    net::Task<bool> wait_until_reading_allowed(std::shared_ptr<Connection> connection);
    net::Task<> read_invoker(std::shared_ptr<Connection> connection);
    void record_messages(std::string& buffer, Connection& connection, std::uint32_t flags);
    void end(const std::shared_ptr<Connection>& connection, bool reset);
    void poll_controls();
    static void release_held(Connection& connection);

    const ProxyOptions options_;
    net::SocketEventLoop loop_;
    EventFile events_;
    ControlFile control_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::map<std::uint32_t, ControlCounts> last_counts_;  // values at the last poll, by invoker number
};

/// Runs a proxy until the process is killed; returns exit status 1 if it can't listen.
int run_proxy(const ProxyOptions& options);

}  // namespace plumkeel::soak
