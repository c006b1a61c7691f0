// A scripted day: which processes are started, and what happens to them when.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/jsonnet_reader.hpp"
#include "emulator/auditor.hpp"

namespace plumkeel::emulator {

struct InvokerPlan {
    std::string name, zone = "a", kind = "std";
    int cell{};
    double cores = 4, speed = 1;
    int memory = 8000;
};

// One thing that happens. `kind` is one of:
//   command: `say` goes to `who` (invokers' names, "store", "list", "clients", "receiver"), and `then` after `lasts`
//   crash: `who` are killed outright, the list tells after `notice`, and they come back cold after `lasts`
//   vanish: `who` fall silent and come back cold after `lasts`; the list tells nothing until then
//   replace: `who` are drained one after another, `each` apart, stopped after `drain`, successors start cold
//   kill_controller: killed outright, and started again after `lasts`
//   freeze: the controller stands still for `lasts`
struct Happening {
    Time at{}, lasts{}, notice{}, drain{}, each{};
    std::string kind, say, then;
    std::vector<std::string> who;
};

struct DayPlan {
    Time length = std::chrono::seconds(20);
    int controllers = 3;
    bool fresh{};  // all invokers have just started, and are cold
    std::vector<InvokerPlan> invokers;
    boost::json::object invoker_common, controller, clients, store;
    std::vector<Happening> happenings;
    Stated stated;
};

// Throws CharterFault with file and field.
DayPlan read_day(const std::string& file);

// Plays it: its files and records go to `folder`. Processes' binaries stand in `programs`.
Verdict play_day(const DayPlan& plan, const std::string& folder, const std::string& programs, bool talk);

// A day of the bench (a file of its draw command) as a day on sockets, scaled down: the kinds of trouble, their
// times and parts are kept; the fleet, the controllers, the traffic and the length are made small.
DayPlan read_bench_day(const std::string& file, Time length);

}  // namespace plumkeel::emulator
