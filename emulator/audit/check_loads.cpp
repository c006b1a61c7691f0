#include <fmt/format.h>

#include <deque>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

constexpr double rounding_tolerance = 1e-9;  // loads

std::map<std::string, std::string> controller_addresses(const RecordIndex& records) {
    std::map<std::string, std::string> addresses;  // key: controller name
    for (const RecordedEvent& event : records.events())
        if (event.is(source::scenario, event::controller_started))
            addresses[event.text(key::name)] = event.text(key::address);
    return addresses;
}

void remove_before(std::deque<std::int64_t>& times, std::int64_t time_us) {
    while (!times.empty() && times.front() < time_us) times.pop_front();
}

}  // namespace

void check_loads(const AuditContext& context) {
    const DeploymentRules& rules = context.rules;
    if (rules.load_window_us == 0) return;
    auto addresses = controller_addresses(context.records);
    std::map<std::string, std::deque<std::int64_t>> preloads;  // key: controller and incarnation
    std::map<std::string, std::deque<std::int64_t>> requests;  // key: controller address
    for (const RecordedEvent& event : context.records.events()) {
        if (event.is(source::client, event::sent)) requests[event.text(key::to)].push_back(event.time_us);
        if (!event.is(source::invoker, event::preload) || event.integer(key::copies) == 0) continue;
        const std::string controller = event.text(key::controller);
        auto& recent_preloads = preloads[controller];
        auto& recent_requests = requests[addresses[controller.substr(0, controller.find('/'))]];
        recent_preloads.push_back(event.time_us);
        remove_before(recent_preloads, event.time_us - rules.load_window_us);
        remove_before(recent_requests, event.time_us - rules.load_window_us - rules.slack_us);
        const double limit = rules.free_loads + rules.loads_per_request * static_cast<double>(recent_requests.size());
        if (static_cast<double>(recent_preloads.size()) > limit + rounding_tolerance)
            context.report(
                Rule::load_budget, controller, event.time_us,
                fmt::format("{} preloads in the load window, {:.1f} allowed", recent_preloads.size(), limit));
    }
}

}  // namespace plumkeel::emulator
