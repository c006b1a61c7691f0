/// The one store that all invokers fetch functions from: slow under many fetches at once, and rejecting beyond a limit.
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
    double full_speed_fetches_ = 8;  // more at once share the store's speed
    std::size_t fetch_limit_ = 48;
    std::size_t fetching_{};
    double slowdown_factor_ = 1;
    bool broken_{};
};

}  // namespace plumkeel::emulator
