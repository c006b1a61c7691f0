/// Emulates the store from which all invokers fetch functions. Many concurrent fetches slow it down, and over a limit
/// it rejects them.
#pragma once

#include <string>

#include "emulator/command_input.hpp"
#include "emulator/event_log.hpp"
#include "emulator/http_server.hpp"

namespace plumkeel::emulator {

class FunctionStore {
public:
    FunctionStore(const std::string& settings_file, const std::string& record_file);
    void run() { loop_.run(); }

private:
    void execute(const Command& command);
    void handle_request(const std::shared_ptr<HttpConnection>& connection, const HttpConnection::Request& request);

    net::SocketEventLoop loop_;
    EventLog log_;
    HttpConnection::Handler handler_;
    double max_full_speed_fetches_ = 8;  // with more concurrent fetches, each takes longer
    std::size_t max_fetches_ = 48;
    std::size_t current_fetches_{};
    double slowdown_factor_ = 1;
    bool rejects_all_{};
};

}  // namespace plumkeel::emulator
