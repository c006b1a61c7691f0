/// The input and the output that all checks of the auditor share, and the declarations of the checks.
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

    /// Adds a violation to the verdict.
    void report(Rule rule, const std::string& request, std::int64_t time_us, std::string description) const {
        verdict.violations.push_back({rule, request, std::move(description), time_us - records.start_us()});
    }
};

/// Checks Rule::every_request_answered and counts the outcomes of requests in the verdict.
void check_answers(const AuditContext& context);
/// Checks Rule::no_duplicate_effect on the runs of functions, where a client may have sent its request several times.
/// Counts the effects.
void check_effects(const AuditContext& context);
/// Checks Rule::no_duplicate_effect and Rule::attempt_limits on the attempts that invokers received, and counts the
/// attempts.
void check_attempts(const AuditContext& context);
/// Checks Rule::drain_grace against the endpoint lists that Consul sent to each controller.
void check_drains(const AuditContext& context);
/// Checks Rule::slow_start on the attempts that all controllers together sent to a newly started invoker.
void check_slow_start(const AuditContext& context);
/// Checks Rule::load_budget on the preloads that each controller ordered; does nothing if loads are not limited.
void check_loads(const AuditContext& context);

}  // namespace plumkeel::emulator
