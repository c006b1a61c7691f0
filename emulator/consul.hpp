/// Emulates Consul's health endpoint with blocking queries, as specified in Consul's documentation.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "emulator/command_input.hpp"
#include "emulator/event_log.hpp"
#include "emulator/http_server.hpp"

namespace plumkeel::emulator {

/// Serves a list of invokers, which commands add, change, drain and remove.
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
        std::int64_t started_unix_ms{};  // 0: no start time is listed
    };
    /// A blocking query that waits for a change of the list.
    struct PendingQuery {
        std::shared_ptr<HttpConnection> connection;
        std::string controller;
        net::EventLoop::TimerKey timeout;
    };
    using Connection = std::shared_ptr<HttpConnection>;

    void execute(const Command& command);
    void change_entry(const Command& command);
    void set_entry(const Command& command);
    void publish_change();
    void answer_pending();
    void handle_request(const Connection& connection, const HttpConnection::Request& request);
    void remove_pending(const Connection& connection);
    void answer(const Connection& connection, const std::string& controller);
    boost::json::array health_entries() const;
    boost::json::array recorded_entries() const;

    net::SocketEventLoop loop_;
    EventLog log_;
    HttpConnection::Handler handler_;
    std::map<std::string, ServiceEntry> entries_;  // entries by the invoker's name
    std::vector<PendingQuery> pending_;
    std::uint64_t index_ = 1;
    Time change_delay_{}, answer_delay_{};
    bool returns_empty_list_{}, resets_requests_{};
};

}  // namespace plumkeel::emulator
