#include <fmt/format.h>

#include <set>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

/// The endpoints that one incarnation of a controller has received from Consul.
struct KnownEndpoints {
    std::map<std::string, std::int64_t> draining_since;  // when an endpoint started to drain or was no longer listed
    std::set<std::string> names;                         // every endpoint that was ever listed
};

// A controller that receives an empty list queries Consul again before it accepts it. The drain grace period starts at
// the first of the two lists.
void update_endpoints(KnownEndpoints& known, const RecordedEvent& event) {
    std::set<std::string> ready;
    for (const auto& endpoint : event.fields.at(key::endpoints).as_array()) {
        const auto& parts = endpoint.as_array();  // [name, state, start time]
        const std::string name(parts.at(0).as_string());
        known.names.insert(name);
        if (std::string(parts.at(1).as_string()) == endpoint_state::ready) ready.insert(name);
    }
    for (const std::string& name : known.names) {
        if (ready.count(name))
            known.draining_since.erase(name);
        else
            known.draining_since.try_emplace(name, event.time_us);
    }
}

void check_draining_invoker(const AuditContext& context, const KnownEndpoints& known, const RecordedEvent& event,
                            bool is_preload) {
    const auto draining = known.draining_since.find(event.process);
    if (draining == known.draining_since.end()) return;
    const std::int64_t past_grace_us = event.time_us - draining->second - context.rules.drain_grace_us;
    const std::int64_t slack_us =
        context.rules.slack_us + context.records.longest_lag_us(source::invoker, event.process, event.time_us);
    if (past_grace_us > slack_us)
        context.report(Rule::drain_grace, RecordIndex::request_key(event), event.time_us,
                       fmt::format("{} reached {} {} ms after the end of its drain grace period",
                                   is_preload ? "a preload" : "an attempt", event.process, past_grace_us / 1000));
}

}  // namespace

void check_drains(const AuditContext& context) {
    std::map<std::string, KnownEndpoints> known;  // key: controller and incarnation
    for (const RecordedEvent& event : context.records.events()) {
        if (event.is(source::consul, event::endpoints_sent)) update_endpoints(known[event.text(key::to)], event);
        const bool is_preload = event.is(source::invoker, event::preload) && event.integer(key::copies) > 0;
        if (is_preload || event.is(source::invoker, event::attempt_received))
            check_draining_invoker(context, known[event.text(key::controller)], event, is_preload);
    }
}

}  // namespace plumkeel::emulator
