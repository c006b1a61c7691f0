/// Starts, controls and stops the processes of a scenario: controllers, and the emulated services around them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/child_process.hpp"
#include "emulator/event_log.hpp"
#include "emulator/scenario.hpp"
#include "net/socket_event_loop.hpp"

namespace plumkeel::emulator {

class ScenarioProcesses {
public:
    /// Settings, records and logs are written to `folder`; `program_folder` contains the programs. `scenario` must
    /// outlive this.
    ScenarioProcesses(const Scenario& scenario, std::string folder, std::string program_folder);

    void start_all(net::EventLoop& loop);
    /// Returns a message for each process that exited early or with an error.
    std::vector<std::string> stop_all();

    /// Sends a command to the process `target`: "store", "list" (the emulated Consul), "clients", "receiver", or the
    /// name of an invoker.
    void send_command(const std::string& target, const std::string& line);
    void kill_invoker(const std::string& name);
    void start_invoker(const std::string& name, bool cold);
    /// Removes a drained invoker from Consul, closes its listener, and starts a successor. Returns the successor's
    /// name.
    std::string replace_invoker(const std::string& name);
    void kill_controller(const std::string& name);
    void start_controller(const std::string& name);
    void freeze_controller(const std::string& name);
    /// Resumes a controller that was frozen for `duration`.
    void resume_controller(const std::string& name, Time duration);

    static std::string successor_name(const std::string& invoker) { return invoker + "b"; }

private:
    struct InvokerProcess {
        ScenarioInvoker invoker;
        std::uint16_t port{};
        int start_count{};
        std::unique_ptr<ChildProcess> process;
    };

    void choose_ports(net::EventLoop& loop);
    std::uint16_t take_port();
    std::string write_settings(const std::string& name, const boost::json::object& settings) const;
    std::unique_ptr<ChildProcess> start_service(const std::string& subcommand, const std::string& name,
                                                const boost::json::object& settings) const;
    void start_services();
    void add_to_consul(const InvokerProcess& invoker, bool cold);
    boost::json::object controller_settings(const std::string& name) const;
    std::string controller_address(const std::string& name) const;

    const Scenario& scenario_;
    const std::string folder_, program_folder_;
    EventLog log_;
    std::vector<std::uint16_t> free_ports_;
    std::uint16_t store_port_{}, consul_port_{}, receiver_port_{};
    std::map<std::string, std::uint16_t> controller_ports_;
    std::unique_ptr<ChildProcess> store_, consul_, receiver_, clients_;
    std::map<std::string, InvokerProcess> invokers_;
    std::vector<std::unique_ptr<ChildProcess>> replaced_invokers_;
    std::map<std::string, std::unique_ptr<ChildProcess>> controllers_;
};

}  // namespace plumkeel::emulator
