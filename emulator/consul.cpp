#include "emulator/consul.hpp"

#include <fmt/format.h>

#include "config/jsonnet_reader.hpp"
#include "emulator/processes.hpp"
#include "emulator/record_schema.hpp"
#include "web/protocol.hpp"

namespace plumkeel::emulator {
namespace {

namespace json = boost::json;

constexpr Time default_wait = 5min;  // Consul's default

json::object health_entry(const std::string& name, const std::string& address, const json::object& metadata,
                          bool ready) {
    const auto colon = address.rfind(':');
    const std::string host = address.substr(0, colon);
    return {{"Node", {{"Node", "n-" + name}, {"Address", host}}},
            {"Service",
             {{"ID", name},
              {"Service", "invokers"},
              {"Address", host},
              {"Port", std::stoi(address.substr(colon + 1))},
              {"Meta", metadata}}},
            {"Checks", json::array{{{"CheckID", ready ? "serfHealth" : "_service_maintenance:" + name},
                                    {"Status", ready ? "passing" : "critical"}}}}};
}

}  // namespace

ConsulEmulator::ConsulEmulator(const std::string& settings_file, const std::string& record_file) : log_(record_file) {
    const auto settings = evaluate_jsonnet(settings_file);
    JsonnetReader reader(settings, settings_file);
    std::size_t port = 0;
    reader.require("port", port);
    reader.reject_unknown_fields();
    handler_ = {[this](const auto& connection, auto request) { handle_request(connection, request); },
                [this](const auto& connection) { remove_pending(connection); }};
    accept_connections(loop_, listen_or_exit(loop_, static_cast<std::uint16_t>(port)), handler_);
    read_commands(loop_, [this](const Command& command) { execute(command); });
    record_lag(loop_, log_);
}

// Commands: set NAME address=A zone=Z kind=K units=U cell=C start=UNIX_MS; drain NAME; remove NAME; delay ms=M;
// answers_late ms=M; empty on|off; broken on|off; index_back.
void ConsulEmulator::execute(const Command& command) {
    const std::string& verb = command.verb();
    if (verb == "delay") {
        change_delay_ = command.milliseconds("ms", 0);
    } else if (verb == "answers_late") {
        answer_delay_ = command.milliseconds("ms", 0);
    } else if (verb == "empty" || verb == "broken") {
        (verb == "empty" ? returns_empty_list_ : resets_requests_) = command.words.at(1) == "on";
        publish_change();
    } else if (verb == "index_back") {
        index_ = 1;
        answer_pending();
    } else {
        // Queries see the change after the delay.
        loop_.call_at(loop_.now() + change_delay_, [this, command] { change_entry(command); });
    }
}

void ConsulEmulator::change_entry(const Command& command) {
    const std::string& name = command.words.at(1);
    if (command.verb() == "set")
        set_entry(command);
    else if (command.verb() == "drain")
        entries_[name].ready = false;
    else if (command.verb() == "remove")
        entries_.erase(name);
    publish_change();
}

void ConsulEmulator::set_entry(const Command& command) {
    ServiceEntry& entry = entries_[command.words.at(1)];
    entry.address = command.text("address", entry.address);
    entry.zone = command.text("zone", entry.zone);
    entry.invoker_type = command.text("kind", entry.invoker_type);
    entry.capacity = command.number("units", entry.capacity);
    entry.cell = static_cast<int>(command.number("cell", entry.cell));
    entry.started_unix_ms = std::stoll(command.text("start", std::to_string(entry.started_unix_ms)));
    entry.ready = true;
}

void ConsulEmulator::publish_change() {
    ++index_;
    answer_pending();
}

void ConsulEmulator::answer_pending() {
    for (auto& query : std::exchange(pending_, {})) {
        loop_.cancel(query.timeout);
        answer(query.connection, query.controller);
    }
}

void ConsulEmulator::handle_request(const Connection& connection, const HttpConnection::Request& request) {
    const std::string controller(http::field(request, protocol::field::controller));
    if (resets_requests_) return connection->reset();
    std::uint64_t index = 0;
    Time wait = default_wait;
    for (const auto& [name, value] : http::query_parameters(http::to_string_view(request.target()))) {
        if (name == "index") index = http::parse_number<std::uint64_t>(value).value_or(0);
        if (name == "wait") wait = parse_duration(value);
    }
    if (index == 0 || index != index_) return answer(connection, controller);
    const auto timeout = loop_.call_at(loop_.now() + wait, [this, connection, controller] {
        remove_pending(connection);
        answer(connection, controller);
    });
    pending_.push_back({connection, controller, timeout});
}

void ConsulEmulator::remove_pending(const Connection& connection) {
    std::erase_if(pending_, [&](const PendingQuery& query) { return query.connection == connection; });
}

json::array ConsulEmulator::health_entries() const {
    json::array entries;
    if (returns_empty_list_) return entries;
    for (const auto& [name, entry] : entries_) {
        json::object metadata{{"zone", entry.zone},
                              {"kind", entry.invoker_type},
                              {"units", fmt::format("{:g}", entry.capacity)},
                              {"cell", std::to_string(entry.cell)}};
        if (entry.started_unix_ms) metadata["start"] = std::to_string(entry.started_unix_ms);
        entries.push_back(health_entry(name, entry.address, metadata, entry.ready));
    }
    return entries;
}

json::array ConsulEmulator::recorded_entries() const {
    json::array entries;
    if (returns_empty_list_) return entries;
    for (const auto& [name, entry] : entries_) {
        const auto state = entry.ready ? endpoint_state::ready : endpoint_state::draining;
        entries.push_back(json::array{name, state, entry.started_unix_ms});
    }
    return entries;
}

void ConsulEmulator::answer(const Connection& connection, const std::string& controller) {
    auto send = [this, connection, controller, recorded = recorded_entries(), body = json::serialize(health_entries()),
                 index = index_] {
        if (!connection->is_request_pending()) return;
        log_.write(event::endpoints_sent, {{key::to, controller}, {key::endpoints, recorded}});
        connection->reply(http::HeadWriter(http::status_line(200))
                              .add("Content-Type", "application/json")
                              .add("X-Consul-Index", static_cast<std::int64_t>(index))
                              .add("Content-Length", static_cast<std::int64_t>(body.size()))
                              .finish(),
                          body);
    };
    if (answer_delay_ > Time{})
        loop_.call_at(loop_.now() + answer_delay_, send);
    else
        send();
}

int run_consul(const std::string& settings_file, const std::string& record_file) {
    ConsulEmulator(settings_file, record_file).run();
    return 0;
}

}  // namespace plumkeel::emulator
