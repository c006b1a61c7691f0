/// A scenario: the processes to start, and the events of its run.
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

/// An event of a scenario, such as a fault of some invokers.
struct ScenarioEvent {
    enum class Kind {
        command,  ///< sends `command` to `targets`, and `undo_command` after `duration`
        crash,    ///< kills `targets`; Consul removes them after `removal_delay`; they restart cold after `duration`
        vanish,   ///< `targets` stop responding and restart cold after `duration`; Consul lists them all the time
        replace,  ///< drains `targets`, one per `interval`; cold successors replace each after `drain`
        kill_controller,  ///< kills `targets` and restarts them after `duration`
        freeze,           ///< suspends `targets`, which are controllers, for `duration`
    };
    Kind kind{};
    Time at{}, duration{}, removal_delay{}, drain{}, interval{};
    std::string command, undo_command;
    std::vector<std::string>
        targets;  ///< names of invokers or controllers; for a command also store, list, clients, receiver
};

struct Scenario {
    Time length = std::chrono::seconds(20);
    int controllers = 3;
    bool cold_start{};  ///< whether the invokers begin with slow start
    std::vector<ScenarioInvoker> invokers;
    // Settings of the processes. ScenarioProcesses adds addresses, ports and files to them.
    boost::json::object invoker_settings, controller_settings, client_settings, store_settings;
    std::vector<ScenarioEvent> events;
    DeploymentRules rules;
};

}  // namespace plumkeel::emulator
