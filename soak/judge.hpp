/// Checks the history of a soak run, as recorded by clients, proxies and invokers, against rules. Does no I/O and reads
/// no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "soak/run_history.hpp"

namespace plumkeel::soak {

enum class Rule {
    lost,              ///< a request was never answered, or its connection was lost
    late,              ///< a request was answered long after its time budget
    answered_twice,    ///< a request got more than one answer
    unreadable,        ///< an answer is malformed or belongs to another request
    duplicate,         ///< a request that may run at most once ran more than once
    rejected_but_ran,  ///< a request that may run at most once ran and was answered as rejected
    drain,             ///< an attempt was sent to an invoker after its drain
    slow_start,        ///< an invoker in slow start received more attempts than allowed
    after_client,      ///< an attempt was sent after the client abandoned the request
    deadline,          ///< an attempt stated more remaining time than its request had
    crash,             ///< a controller ended without being told to, or never became ready
    invariant,         ///< a controller logged a violated invariant
};
std::string_view rule_name(Rule rule);

struct Violation {
    Rule rule{};
    std::uint64_t request_id{};  // 0: the violation isn't about a request
    std::string description;
};

struct Verdict {
    std::vector<Violation> violations;
    std::size_t requests{}, served{}, rejected{}, failed{};
    std::size_t excused{};  // requests without a timely answer whose controller was killed or terminating
    std::size_t attempts{};
    double peak_slow_start_load{};  // largest ratio of received to allowed attempts
};

Verdict judge(const RunHistory& history);

}  // namespace plumkeel::soak
