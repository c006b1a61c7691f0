/// What the auditor found.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::emulator {

enum class Rule {
    every_request_answered,  ///< once, before its deadline, and nothing is sent for it afterwards
    no_duplicate_effect,     ///< nothing runs again that may not
    attempt_limits,          ///< of a request: how many, and how many at once
    drain_grace,             ///< nothing is sent to an invoker once it has drained for a while
    slow_start,              ///< an invoker that has just started is not sent more than it bears
    load_budget,             ///< loads ordered in a window
    process_exit,            ///< a process of the scenario ended badly
};
std::string_view rule_name(Rule rule);

struct Violation {
    Rule rule{};
    std::string request, description;
    std::int64_t at_us{};  // since the first record
};

struct Verdict {
    // Tries of clients by how they ended.
    std::uint64_t requests{}, succeeded{}, rejected{}, failed{};
    std::uint64_t late{};  // of those that succeeded: after their latency target
    std::uint64_t abandoned{}, lost_with_controller{};
    std::uint64_t not_accepted{};  // malformed, or the controller was unreachable
    std::uint64_t attempts{}, effects{};
    double peak_slow_start_load{};  // the largest share of what a starting invoker bears that it was sent
    std::vector<Violation> violations;

    /// One line for a terminal.
    std::string summary() const;
};

}  // namespace plumkeel::emulator
