#include "emulator/function_store.hpp"

#include <algorithm>

#include "config/jsonnet_reader.hpp"
#include "emulator/processes.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {

FunctionStore::FunctionStore(const std::string& settings_file, const std::string& record_file) : log_(record_file) {
    const auto settings = evaluate_jsonnet(settings_file);
    JsonnetReader reader(settings, settings_file);
    std::size_t port = 0;
    reader.require("port", port);
    reader.read("at_once", max_full_speed_fetches_);
    reader.read("most", max_fetches_);
    reader.reject_unknown_fields();
    handler_ = {[this](const auto& connection, auto request) { handle_request(connection, request); },
                [](const auto&) {}};
    accept_connections(loop_, listen_or_exit(loop_, static_cast<std::uint16_t>(port)), handler_);
    read_commands(loop_, [this](const Command& command) { execute(command); });
}

// Commands: slow factor=F; broken on|off.
void FunctionStore::execute(const Command& command) {
    if (command.verb() == "slow") slowdown_factor_ = command.number("factor", 1);
    if (command.verb() == "broken") rejects_all_ = command.words.at(1) == "on";
}

void FunctionStore::handle_request(const std::shared_ptr<HttpConnection>& connection,
                                   const HttpConnection::Request& request) {
    double fetch_ms = 0;
    for (const auto& [name, value] : http::query_parameters(http::to_string_view(request.target())))
        if (name == "ms") fetch_ms = std::stod(value);
    if (rejects_all_ || current_fetches_ >= max_fetches_) {
        log_.write(event::fetch_rejected, {{key::fetching, current_fetches_}});
        return connection->reply_empty(503);
    }
    ++current_fetches_;
    const double contention = std::max(1.0, static_cast<double>(current_fetches_) / max_full_speed_fetches_);
    log_.write(event::fetch, {{key::fetching, current_fetches_}});
    const Time duration(static_cast<Time::rep>(fetch_ms * 1000 * contention * slowdown_factor_));
    loop_.call_at(loop_.now() + duration, [this, connection] {
        --current_fetches_;
        if (connection->is_request_pending()) connection->reply_empty(200);
    });
}

int run_function_store(const std::string& settings_file, const std::string& record_file) {
    FunctionStore(settings_file, record_file).run();
    return 0;
}

}  // namespace plumkeel::emulator
