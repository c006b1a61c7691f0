/// Checks a soak run against the rules, by what clients, proxies and invokers saw. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "soak/run_history.hpp"

namespace plumkeel::soak {

enum class Rule {
    lost,            ///< a request without an answer
    late,            ///< answered long after its budget
    answered_twice,  ///< more than one answer
    unreadable,      ///< an answer that can't be read or was made for another request
    duplicate,       ///< a request that may run at most once ran again
    rejected_but_ran,
    drain,         ///< an attempt at an invoker that has drained
    slow_start,    ///< more attempts at a starting invoker than it bears
    after_client,  ///< an attempt after the client abandoned the request
    deadline,      ///< an attempt with more time than its request had left
    crash,         ///< a controller ended by itself or never became ready
    invariant,     ///< a controller logged that one was violated
};
std::string_view rule_name(Rule rule);

struct Violation {
    Rule rule{};
    std::uint64_t request{};  // 0: none
    std::string description;
};

struct Verdict {
    std::vector<Violation> violations;
    std::size_t requests{}, served{}, rejected{}, failed{};
    std::size_t excused{};  // lost with a process that was killed or terminated
    std::size_t attempts{};
    double peak_slow_start_load{};  // the most that a starting invoker got, as a share of what it bears
};

Verdict judge(const RunHistory& history);

}  // namespace plumkeel::soak
