/// What each of the auditor's checks works on.
#pragma once

#include <string>

#include "emulator/audit/deployment_rules.hpp"
#include "emulator/audit/record_index.hpp"
#include "emulator/audit/verdict.hpp"

namespace plumkeel::emulator {

struct AuditContext {
    const RecordIndex& records;
    const DeploymentRules& rules;
    Verdict& verdict;

    void report(Rule rule, const std::string& request, std::int64_t time_us, std::string description) const {
        verdict.violations.push_back({rule, request, std::move(description), time_us - records.start_us()});
    }
};

/// Rule::every_request_answered; counts the outcomes of requests.
void check_answers(const AuditContext& context);
/// Rule::no_duplicate_effect by what ran, over all tries of one client's request; counts the effects.
void check_effects(const AuditContext& context);
/// Rule::no_duplicate_effect by what was sent, and Rule::attempt_limits; counts the attempts.
void check_attempts(const AuditContext& context);
/// Rule::drain_grace, from what Consul answered to each controller.
void check_drains(const AuditContext& context);
/// Rule::slow_start: what all controllers together sent to a starting invoker, in any window.
void check_slow_start(const AuditContext& context);
/// Rule::load_budget, where the deployment limits loads.
void check_loads(const AuditContext& context);

}  // namespace plumkeel::emulator
