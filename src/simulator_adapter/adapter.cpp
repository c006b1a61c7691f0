#include "simulator_adapter/adapter.hpp"

namespace plumkeel::simulator_adapter {

using wire::EventType;

json Adapter::handle(const json& batch) {
    const wire::Batch decoded_batch = wire::decode_batch(batch);
    json actions = json::array();
    for (const json& event : *decoded_batch.events) handle_event(event, decoded_batch.now, actions);
    return {{"actions", std::move(actions)}};
}

void Adapter::handle_event(const json& event, Time now, json& actions) {
    const EventType type = wire::decode_type(event);
    if (type == EventType::endpoint_bank) {
        wire::EndpointBank bank = wire::decode_endpoint_bank(event);
        endpoint_banks_[bank.number] = std::move(bank.endpoints);
        return;
    }
    const std::optional<std::string> name = wire::decode_controller(event);
    if (!name) return;
    if (type == EventType::controller_started) {
        controllers_[*name] = std::make_unique<Controller>(*name, now, wire::decode_controller_started(event));
        return;
    }
    const auto it = controllers_.find(*name);
    if (it == controllers_.end())
        throw platform_settings::SettingsError("field 'who': controller '" + *name + "' has not been started");
    if (type == EventType::controller_crashed) {
        controllers_.erase(it);
        return;
    }
    const json* bank = type == EventType::endpoints_updated ? find_bank(event) : nullptr;
    it->second->handle(type, event, now, bank, actions);
}

const json* Adapter::find_bank(const json& event) const {
    const auto it = endpoint_banks_.find(wire::decode_bank_number(event));
    return it == endpoint_banks_.end() ? nullptr : &it->second;
}

}  // namespace plumkeel::simulator_adapter
