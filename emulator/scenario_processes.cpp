#include "emulator/scenario_processes.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <fstream>

#include "emulator/http_server.hpp"
#include "emulator/record_schema.hpp"
#include "net/machine_clock.hpp"

namespace plumkeel::emulator {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds stop_timeout = 10s;
constexpr std::size_t service_port_count = 3;
// Added to recorded durations, because the process reacts to a signal with a delay.
constexpr std::int64_t kill_slack_us = 1000, freeze_slack_us = 20'000;

void merge(json::object& into, const json::object& from) {
    for (const auto& [key, value] : from) {
        auto* existing = into.if_contains(key);
        if (existing && existing->is_object() && value.is_object())
            merge(existing->as_object(), value.as_object());
        else
            into[key] = value;
    }
}

std::string address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

ScenarioProcesses::ScenarioProcesses(const Scenario& scenario, std::string folder, std::string program_folder)
    : scenario_(scenario),
      folder_(std::move(folder)),
      program_folder_(std::move(program_folder)),
      log_(folder_ + "/" + std::string(source::scenario) + ".jsonl") {}

// Opens all listeners before closing any, so that the ports differ. The processes listen on the ports afterwards.
void ScenarioProcesses::choose_ports(net::EventLoop& loop) {
    const std::size_t invokers_and_successors = 2 * scenario_.invokers.size();
    const std::size_t count =
        invokers_and_successors + static_cast<std::size_t>(scenario_.controllers) + service_port_count;
    std::vector<std::shared_ptr<net::Listener>> listeners;
    for (std::size_t i = 0; i < count; ++i) {
        listeners.push_back(listen_or_exit(loop, 0));
        free_ports_.push_back(listeners.back()->address().port);
    }
    for (const auto& listener : listeners) listener->close();
}

std::uint16_t ScenarioProcesses::take_port() {
    const auto port = free_ports_.back();
    free_ports_.pop_back();
    return port;
}

std::string ScenarioProcesses::write_settings(const std::string& name, const json::object& settings) const {
    const std::string file = folder_ + "/" + name + ".json";
    std::ofstream(file) << json::serialize(settings) << '\n';
    return file;
}

std::unique_ptr<ChildProcess> ScenarioProcesses::start_service(const std::string& subcommand, const std::string& name,
                                                               const json::object& settings) const {
    const std::vector<std::string> arguments = {subcommand, write_settings(name, settings), "--record",
                                                folder_ + "/" + subcommand + "-" + name + ".jsonl"};
    return std::make_unique<ChildProcess>(program_folder_ + "/plumkeel-emulator", arguments,
                                          folder_ + "/" + name + ".out");
}

void ScenarioProcesses::start_all(net::EventLoop& loop) {
    choose_ports(loop);
    start_services();
    for (const ScenarioInvoker& invoker : scenario_.invokers) {
        InvokerProcess& started = invokers_[invoker.name];
        started.invoker = invoker;
        started.port = take_port();
        start_invoker(invoker.name, scenario_.cold_start);
    }
    json::array addresses;
    for (int i = 1; i <= scenario_.controllers; ++i) {
        const std::string name = "c" + std::to_string(i);
        controller_ports_[name] = take_port();
        addresses.push_back(json::string(controller_address(name)));
        start_controller(name);
    }
    json::object clients = scenario_.client_settings;
    clients["controllers"] = addresses;
    clients_ = start_service("clients", "clients", clients);
}

void ScenarioProcesses::start_services() {
    store_port_ = take_port();
    consul_port_ = take_port();
    receiver_port_ = take_port();
    json::object store = scenario_.store_settings;
    store["port"] = store_port_;
    store_ = start_service("store", "store", store);
    consul_ = start_service("list", "list", {{"port", consul_port_}});
    receiver_ = start_service("receiver", "receiver", {{"port", receiver_port_}});
}

void ScenarioProcesses::start_invoker(const std::string& name, bool cold) {
    InvokerProcess& started = invokers_.at(name);
    const ScenarioInvoker& invoker = started.invoker;
    json::object settings = scenario_.invoker_settings;
    settings["name"] = invoker.name;
    settings["port"] = started.port;
    settings["store"] = address(store_port_);
    settings["cores"] = invoker.cores;
    settings["speed"] = invoker.speed;
    settings["memory"] = invoker.memory_mb;
    settings["cold"] = cold;
    settings["seed"] = static_cast<std::int64_t>(started.port) * 100 + ++started.start_count;
    started.process = start_service("invoker", invoker.name, settings);
    add_to_consul(started, cold);
}

void ScenarioProcesses::add_to_consul(const InvokerProcess& started, bool cold) {
    const ScenarioInvoker& invoker = started.invoker;
    consul_->send_line(fmt::format("set {} address={} zone={} kind={} units={:g} cell={}{}", invoker.name,
                                   address(started.port), invoker.zone, invoker.invoker_type,
                                   invoker.cores * invoker.speed, invoker.cell,
                                   cold ? fmt::format(" start={}", unix_ms()) : ""));
}

json::object ScenarioProcesses::controller_settings(const std::string& name) const {
    json::object settings = {{"log", {{"file", folder_ + "/" + name + ".log"}}},
                             {"trace", {{"folder", folder_ + "/traces"}}},
                             {"allowances", {{"controllers", scenario_.controllers}}},
                             {"remote",
                              {{"folder", folder_ + "/spool-" + name},
                               {"every", "500ms"},
                               {"farewell", "1s"},
                               {"receivers", {{"main", {{"address", address(receiver_port_)}}}}}}}};
    merge(settings, scenario_.controller_settings);
    settings["name"] = name;
    settings["listen"] = controller_address(name);
    settings["list"] = {{"consul", address(consul_port_)}, {"wait", "5s"}, {"answer_slack", "2s"}};
    return settings;
}

std::string ScenarioProcesses::controller_address(const std::string& name) const {
    return address(controller_ports_.at(name));
}

void ScenarioProcesses::start_controller(const std::string& name) {
    const std::string seed = std::to_string(static_cast<int>(name.back()));
    const std::vector<std::string> arguments = {"serve", write_settings(name, controller_settings(name)), "--seed",
                                                seed};
    controllers_[name] =
        std::make_unique<ChildProcess>(program_folder_ + "/plumkeel", arguments, folder_ + "/" + name + ".out");
    log_.write(event::controller_started, {{key::name, name}, {key::address, controller_address(name)}});
}

void ScenarioProcesses::send_command(const std::string& target, const std::string& line) {
    if (target == "store")
        store_->send_line(line);
    else if (target == "list")
        consul_->send_line(line);
    else if (target == "clients")
        clients_->send_line(line);
    else if (target == "receiver")
        receiver_->send_line(line);
    else if (const auto& process = invokers_.at(target).process)
        process->send_line(line);
}

void ScenarioProcesses::kill_invoker(const std::string& name) {
    invokers_.at(name).process->kill();
}

std::string ScenarioProcesses::replace_invoker(const std::string& name) {
    InvokerProcess& replaced = invokers_.at(name);
    const std::string successor = successor_name(name);
    consul_->send_line("remove " + name);
    replaced_invokers_.push_back(std::move(replaced.process));
    replaced_invokers_.back()->send_line("refuse on");
    InvokerProcess& started = invokers_[successor];
    started.invoker = replaced.invoker;
    started.invoker.name = successor;
    started.port = take_port();
    start_invoker(successor, true);
    return successor;
}

void ScenarioProcesses::kill_controller(const std::string& name) {
    const Time before = net::machine_clock();
    controllers_.at(name)->kill();
    const std::int64_t duration_us = (net::machine_clock() - before).count() + kill_slack_us;
    log_.write(event::controller_killed,
               {{key::name, name}, {key::address, controller_address(name)}, {key::duration_us, duration_us}});
}

void ScenarioProcesses::freeze_controller(const std::string& name) {
    controllers_.at(name)->signal(SIGSTOP);
}

void ScenarioProcesses::resume_controller(const std::string& name, Time duration) {
    controllers_.at(name)->signal(SIGCONT);
    log_.write(event::controller_frozen,
               {{key::address, controller_address(name)}, {key::duration_us, duration.count() + freeze_slack_us}});
}

std::vector<std::string> ScenarioProcesses::stop_all() {
    std::vector<std::string> failures;
    for (auto& [name, process] : controllers_) {
        if (!process->is_running()) {
            failures.push_back(name + " exited before the end of the scenario, with status " +
                               std::to_string(process->wait(1ms)));
            continue;
        }
        process->signal(SIGTERM);
        if (const int status = process->wait(stop_timeout); status != 0)
            failures.push_back(name + " exited on SIGTERM with status " + std::to_string(status));
    }
    clients_.reset();
    invokers_.clear();
    replaced_invokers_.clear();
    consul_.reset();
    store_.reset();
    receiver_->signal(SIGTERM);
    if (const int status = receiver_->wait(stop_timeout); status != 0)
        failures.push_back("the remote write receiver exited with status " + std::to_string(status) +
                           "; its record lists the violations of the protocol");
    receiver_.reset();
    return failures;
}

}  // namespace plumkeel::emulator
