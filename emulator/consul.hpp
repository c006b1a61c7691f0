/// Consul's health endpoint with blocking queries, as Consul's documentation publishes it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "emulator/command_input.hpp"
#include "emulator/event_log.hpp"
#include "emulator/http_server.hpp"

namespace plumkeel::emulator {

/// Serves the invokers that commands set, drain and remove.
class ConsulEmulator {
public:
    ConsulEmulator(const std::string& settings_file, const std::string& record_file);
    void run() { loop_.run(); }

private:
    struct ServiceEntry {
        std::string address, zone, invoker_type;
        bool ready = true;
        double capacity = 1;
        int cell{};
        std::int64_t started_unix_ms{};  // 0: long ago
    };
    /// A blocking query that waits for a change.
    struct PendingQuery {
        std::shared_ptr<HttpConnection> connection;
        std::string controller;
        net::EventLoop::TimerKey timeout;
    };
    using Connection = std::shared_ptr<HttpConnection>;

    void execute(const Command& command);
    void change_entry(const Command& command);
    void set_entry(const Command& command);
    void increment_index();
    void answer_pending();
    void handle_request(const Connection& connection, const HttpConnection::Request& request);
    void remove_pending(const Connection& connection);
    void answer(const Connection& connection, const std::string& controller);
    boost::json::array health_entries() const;
    boost::json::array recorded_entries() const;

    net::SocketEventLoop loop_;
    EventLog log_;
    HttpConnection::Handler handler_;
    std::map<std::string, ServiceEntry> entries_;  // by name
    std::vector<PendingQuery> pending_;
    std::uint64_t index_ = 1;
    Time change_delay_{}, answer_delay_{};
    bool list_empty_{}, broken_{};
};

}  // namespace plumkeel::emulator
