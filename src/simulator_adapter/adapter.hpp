/// Dispatches each event of the simulator to the controller that it is for.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "simulator_adapter/controller.hpp"

namespace plumkeel::simulator_adapter {

class Adapter {
public:
    /// Handles one line of input and returns the line to print. Throws `platform_settings::SettingsError`.
    json handle(const json& batch);

private:
    void handle_event(const json& event, Time now, json& actions);
    const json* find_bank(const json& event) const;

    std::map<int, json> endpoint_banks_;  ///< endpoint lists by bank number
    std::map<std::string, std::unique_ptr<Controller>> controllers_;
};

}  // namespace plumkeel::simulator_adapter
