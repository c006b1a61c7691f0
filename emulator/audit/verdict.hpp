/// The result of an audit: the violations of rules, and counts of requests and attempts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::emulator {

enum class Rule {
    every_request_answered,  ///< exactly once, before its deadline, with no attempt sent after the answer
    no_duplicate_effect,     ///< a request takes effect twice only if its class allows it
    attempt_limits,          ///< the number of attempts of a request, in total and concurrently
    drain_grace,             ///< no request or preload is sent to a draining invoker after the grace period
    slow_start,              ///< a newly started invoker is not sent more load than its slow start budget
    load_budget,             ///< the number of loads that a controller orders in a window of time
    process_exit,            ///< a process of the scenario crashed or exited with an error
};
std::string_view rule_name(Rule rule);

struct Violation {
    Rule rule{};
    std::string request, description;
    std::int64_t at_us{};  // since the first recorded event
};

struct Verdict {
    // Requests that clients sent, in total and by outcome. A client that sends a request again is counted again.
    std::uint64_t requests{}, succeeded{}, rejected{}, failed{};
    std::uint64_t late{};  // succeeded after the latency target
    // `abandoned`: the client stopped waiting. `lost_with_controller`: the controller was killed or frozen.
    std::uint64_t abandoned{}, lost_with_controller{};
    std::uint64_t not_accepted{};         // the request was malformed, or the controller was unreachable
    std::uint64_t attempts{}, effects{};  // an effect is a run of a function at an invoker
    double peak_slow_start_load{};        // highest load of a newly started invoker, as a share of its budget
    std::vector<Violation> violations;

    /// Returns a one-line summary to print at the end of a scenario.
    std::string summary() const;
};

}  // namespace plumkeel::emulator
