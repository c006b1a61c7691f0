/// Emulates an invoker: it loads functions on demand from the function store, has limited memory, cores and queue
/// length, starts slowly, fails when it is overloaded, and produces faults on command.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/command_input.hpp"
#include "emulator/event_log.hpp"
#include "emulator/function_cache.hpp"
#include "emulator/http_server.hpp"
#include "emulator/invoker_faults.hpp"
#include "emulator/invoker_settings.hpp"
#include "emulator/random_source.hpp"
#include "emulator/slow_start_model.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::emulator {

class InvokerEmulator {
public:
    InvokerEmulator(InvokerSettings settings, const std::string& record_file);
    void run() { loop_.run(); }

private:
    using Connection = std::shared_ptr<HttpConnection>;
    using HeaderFields = std::vector<std::pair<std::string, std::string>>;

    /// An attempt that a controller sent. Its body, written by ClientLoad, is
    /// "client_request_id run_time_ms load_time_ms response_bytes".
    struct Attempt {
        Connection connection;
        std::string controller, request, number, function, request_class, client_request_id, idempotency_key;
        double run_time_ms = 100, load_time_ms = 300;
        std::size_t response_bytes{};
        int concurrency = 1, memory_mb = 300;
        int concurrent_requests{};  // pending attempts of the same function on its arrival
        LoadEvent load_event = LoadEvent::none;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;
    /// A controller's request to preload copies of a function, not answered yet.
    struct PendingPreload {
        Connection connection;
        std::string function;
        int copies;
        Time timeout;
    };

    void record_start();
    void execute(const Command& command);
    void set_listening(bool listening);
    void listen();

    void handle_request(const Connection& connection, const HttpConnection::Request& request);
    void handle_attempt(const AttemptPointer& attempt);
    static AttemptPointer parse_attempt(const Connection& connection, const std::string& function,
                                        const HttpConnection::Request& request);
    void handle_abandoned(const Connection& connection);
    /// Counts a received attempt. On overload, stops the listener and resets all connections.
    void fail_if_overloaded();

    // Handling of an attempt after its arrival.
    void run_or_queue(const AttemptPointer& attempt);
    bool is_pending(const AttemptPointer& attempt) const;
    void run_attempt(const AttemptPointer& attempt, const std::shared_ptr<FunctionCopy>& copy);
    bool is_duplicate(const Attempt& attempt);
    void finish(const AttemptPointer& attempt, FunctionCopy& copy);
    void respond(const Attempt& attempt);
    void reject(const Attempt& attempt);
    void respond_not_run(const Attempt& attempt, std::string_view result, LoadEvent load_event);

    // Loading of functions.
    bool load(const std::string& function, const Attempt& attempt);
    net::Task<> fetch(std::shared_ptr<FunctionCopy> copy, double load_time_ms);
    void fail_load(const std::shared_ptr<FunctionCopy>& copy);
    void start_queued();
    net::Task<> expire_idle_copies();
    void handle_preload(const Connection& connection, const std::string& function, const std::string& controller,
                        const HttpConnection::Request& request);
    void answer_preload(const PendingPreload& preload);

    /// Runs `action` now or, during a pause, at the end of the pause.
    void run_unless_paused(std::function<void()> action);
    std::string response_head(unsigned status, const HeaderFields& fields, std::size_t body_bytes) const;
    void answer(const Connection& connection, unsigned status, const HeaderFields& fields);
    void record(std::string_view event_name, const Attempt& attempt, std::string_view result = "");

    const InvokerSettings settings_;
    net::SocketEventLoop loop_;
    EventLog log_;
    RandomSource random_;
    HttpConnection::Handler handler_;
    std::shared_ptr<net::Listener> listener_;
    InvokerFaults faults_;
    SlowStartModel slow_start_;
    FunctionCache cache_;
    std::vector<AttemptPointer> pending_;  // attempts not answered yet: queued or running
    std::deque<AttemptPointer> queue_;     // the pending attempts that wait for a copy of their function
    std::vector<PendingPreload> pending_preloads_;
    std::map<std::string, Time> idempotency_keys_;  // time of the last run with an effect, by idempotency key
    int running_attempts_{};
    bool failed_{};  // set by an overload; the connections of new requests are reset
};

}  // namespace plumkeel::emulator
