/// The network before some invokers of a soak run, in a process of its own: passes bytes on, holds them back, leaves
/// them unread or resets, as each InvokerControl says, and records each attempt when it has been read whole.
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
        std::string listen, target;  // host:port
        std::uint32_t invoker{};
    };
    std::vector<Route> routes;
    std::string record;   // file of events
    std::string control;  // file of the control page
};

class NetworkProxy {
public:
    explicit NetworkProxy(const ProxyOptions& options);
    net::Error open();
    void run() { loop_.run(); }

private:
    struct Connection {
        std::uint32_t invoker{};
        std::shared_ptr<net::Stream> controller_stream, invoker_stream;
        std::shared_ptr<net::WriteQueue> to_controller, to_invoker;
        std::string held_for_controller, held_for_invoker;  // while the network is partitioned
        std::set<std::string> in_flight;                    // ids of attempts
        bool ended{};
    };
    struct SeenCounts {
        std::uint32_t resets{}, idle_closes{};
    };

    InvokerControl& control(std::uint32_t invoker) { return control_.invoker(invoker); }
    net::Task<> accept(std::shared_ptr<net::Listener> listener, ProxyOptions::Route route);
    net::Task<> forward(std::shared_ptr<net::Stream> controller_stream, ProxyOptions::Route route);
    net::Task<> read_controller(std::shared_ptr<Connection> connection);
    net::Task<bool> wait_until_readable(std::shared_ptr<Connection> connection);
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
    std::map<std::uint32_t, SeenCounts> seen_;  // by invoker
};

/// Runs until it is killed; returns an exit status where it can't start.
int run_proxy(const ProxyOptions& options);

}  // namespace plumkeel::soak
