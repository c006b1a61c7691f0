#include "emulator/audit/verdict.hpp"

#include <fmt/format.h>

namespace plumkeel::emulator {

std::string_view rule_name(Rule rule) {
    switch (rule) {
        case Rule::every_request_answered:
            return "every request answered";
        case Rule::no_duplicate_effect:
            return "no duplicate effect";
        case Rule::attempt_limits:
            return "attempt limits";
        case Rule::drain_grace:
            return "drain grace";
        case Rule::slow_start:
            return "slow start";
        case Rule::load_budget:
            return "load budget";
        case Rule::process_exit:
            return "process exit";
    }
    return "";
}

std::string Verdict::summary() const {
    if (violations.empty())
        return fmt::format("verdict: rules kept; requests {}, succeeded {}, rejected {}, failed {}, late {}", requests,
                           succeeded, rejected, failed, late);
    const Violation& first = violations.front();
    return fmt::format("verdict: {} violations; first: {}: {} at {:.3f} s: {}", violations.size(),
                       rule_name(first.rule), first.request, static_cast<double>(first.at_us) / 1e6, first.description);
}

}  // namespace plumkeel::emulator
