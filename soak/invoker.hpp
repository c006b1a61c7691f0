/// An invoker of a soak run, in a process of its own: loads functions on demand, runs for a while, and misbehaves as
/// its InvokerControl says. Its answers name the request that they were made for.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "random/pcg.hpp"
#include "soak/control.hpp"
#include "soak/events.hpp"
#include "soak/invoker_messages.hpp"

namespace plumkeel::soak {

struct InvokerOptions {
    std::string listen;   // host:port
    std::string record;   // file of events
    std::string control;  // file of the control page
    std::uint32_t number{};
    std::uint64_t seed{};
};

class SoakInvoker {
public:
    explicit SoakInvoker(const InvokerOptions& options);
    net::Error open();
    void run() { loop_.run(); }

private:
    struct Run {
        bool cancelled{};
    };
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<std::string, std::shared_ptr<Run>> runs;  // by id
    };

    net::Task<> accept();
    net::Task<> serve(std::shared_ptr<Connection> connection);
    void handle(const Message& message, const std::shared_ptr<Connection>& connection);
    net::Task<> run_attempt(Message message, std::string id, std::shared_ptr<Connection> connection);
    void load(const std::string& function);
    net::Time draw_run_time(bool with_load);
    bool happens(const std::atomic<std::uint32_t>& rate);
    void answer(const std::shared_ptr<Connection>& connection, const std::string& id, const std::string& result,
                const std::string& fields, const std::string& body);

    const InvokerOptions options_;
    net::SocketEventLoop loop_;
    EventFile events_;
    ControlFile control_;
    Pcg random_;
    std::shared_ptr<net::Listener> listener_;
    std::size_t running_{};
    std::set<std::string> loaded_;
};

/// Runs until it is killed; returns an exit status where it can't start.
int run_invoker(const InvokerOptions& options);

}  // namespace plumkeel::soak
