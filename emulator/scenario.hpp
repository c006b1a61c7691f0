/// A scenario: which processes are started, and what happens to them when.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "emulator/audit/deployment_rules.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;

struct ScenarioInvoker {
    std::string name, zone = "a", invoker_type = "std";
    int cell{};
    double cores = 4, speed = 1;
    int memory_mb = 8000;
};

/// One thing that happens.
struct ScenarioEvent {
    enum class Kind {
        command,  ///< `command` goes to `targets`, and `undo` after `duration`
        crash,    ///< `targets` are killed, Consul removes them after `notice`, they are back cold after `duration`
        vanish,   ///< `targets` fall silent and are back cold after `duration`; Consul changes nothing until then
        replace,  ///< `targets` are drained, `interval` apart, and stopped after `drain`; successors start cold
        kill_controller,  ///< `targets` are killed, and started again after `duration`
        freeze,           ///< `targets`, which are controllers, are stopped for `duration`
    };
    Kind kind{};
    Time at{}, duration{}, notice{}, drain{}, interval{};
    std::string command, undo;
    std::vector<std::string> targets;  ///< invokers or controllers; a command may go to store, list, clients, receiver
};

struct Scenario {
    Time length = std::chrono::seconds(20);
    int controllers = 3;
    bool cold_start{};  ///< all invokers have just started
    std::vector<ScenarioInvoker> invokers;
    // Settings of the processes, to which the runner adds addresses, ports and files.
    boost::json::object invoker_settings, controller_settings, client_settings, store_settings;
    std::vector<ScenarioEvent> events;
    DeploymentRules rules;
};

}  // namespace plumkeel::emulator
