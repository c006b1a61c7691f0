/// The invoker process of a soak run. It loads functions on demand, takes a random time for each attempt, and injects
/// the faults that its InvokerControl switches on. Each answer's body contains the ID of the request.
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
    std::string listen;        // host:port
    std::string event_path;    // path of the event file
    std::string control_path;  // path of the ControlFile
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
        std::map<std::string, std::shared_ptr<Run>> runs;  // by attempt ID
    };

    net::Task<> accept();
    net::Task<> serve(std::shared_ptr<Connection> connection);
    void handle(const Message& message, const std::shared_ptr<Connection>& connection);
    net::Task<> run_attempt(Message message, std::string id, std::shared_ptr<Connection> connection);
    void load(const std::string& function);
    net::Time draw_run_time(bool includes_load_time);
    bool random_event_occurs(const std::atomic<std::uint32_t>& rate_per_million);
    void send_answer(const std::shared_ptr<Connection>& connection, const std::string& id, const std::string& result,
                     const std::string& fields, const std::string& body);

    const InvokerOptions options_;
    net::SocketEventLoop loop_;
    EventFile events_;
    ControlFile control_;
    Pcg random_;
    std::shared_ptr<net::Listener> listener_;
    std::size_t running_count_{};
    std::set<std::string> loaded_functions_;
};

/// Runs an invoker until the process is killed; returns exit status 1 if it can't listen.
int run_invoker(const InvokerOptions& options);

}  // namespace plumkeel::soak
