#include <fmt/format.h>

#include <set>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

/// What one incarnation of a controller knows from Consul.
struct KnownEndpoints {
    std::map<std::string, std::int64_t> draining_since;  // or not listed any more
    std::set<std::string> seen;
};

// An empty list is doubted once and queried again by the controller: the time counts from the first of the two.
void update(KnownEndpoints& known, const RecordedEvent& event) {
    std::set<std::string> ready;
    for (const auto& endpoint : event.fields.at(key::endpoints).as_array()) {
        const auto& parts = endpoint.as_array();  // name, state, start
        const std::string name(parts.at(0).as_string());
        known.seen.insert(name);
        if (std::string(parts.at(1).as_string()) == endpoint_state::ready) ready.insert(name);
    }
    for (const std::string& name : known.seen) {
        if (ready.count(name))
            known.draining_since.erase(name);
        else
            known.draining_since.try_emplace(name, event.time_us);
    }
}

void check_event(const AuditContext& context, const KnownEndpoints& known, const RecordedEvent& event,
                 bool is_preload) {
    const auto draining = known.draining_since.find(event.process);
    if (draining == known.draining_since.end()) return;
    const std::int64_t late_us = event.time_us - draining->second - context.rules.drain_grace_us;
    const std::int64_t slack_us =
        context.rules.slack_us + context.records.lag_near(source::invoker, event.process, event.time_us);
    if (late_us > slack_us)
        context.report(Rule::drain_grace, RecordIndex::request_key(event), event.time_us,
                       fmt::format("{} reached {} {} ms after the grace", is_preload ? "a preload" : "an attempt",
                                   event.process, late_us / 1000));
}

}  // namespace

void check_drains(const AuditContext& context) {
    std::map<std::string, KnownEndpoints> known;  // by controller and incarnation
    for (const RecordedEvent& event : context.records.events()) {
        if (event.is(source::consul, event::endpoints_sent)) update(known[event.text(key::to)], event);
        const bool is_preload = event.is(source::invoker, event::preload) && event.integer(key::copies) > 0;
        if (is_preload || event.is(source::invoker, event::attempt_received))
            check_event(context, known[event.text(key::controller)], event, is_preload);
    }
}

}  // namespace plumkeel::emulator
