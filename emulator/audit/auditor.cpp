#include "emulator/audit/auditor.hpp"

#include <algorithm>

#include "emulator/audit/audit_context.hpp"

namespace plumkeel::emulator {

Verdict Auditor::judge() {
    records_.build();
    Verdict verdict;
    const AuditContext context{records_, rules_, verdict};
    check_answers(context);
    check_effects(context);
    check_attempts(context);
    check_drains(context);
    check_slow_start(context);
    check_loads(context);
    std::stable_sort(verdict.violations.begin(), verdict.violations.end(),
                     [](const Violation& a, const Violation& b) { return a.at_us < b.at_us; });
    return verdict;
}

}  // namespace plumkeel::emulator
