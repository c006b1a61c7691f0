/// The recorded history of a soak run, which is the judge's input. Times are microseconds of the machine's monotonic
/// clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/events.hpp"

namespace plumkeel::soak {

/// The request classes that the controllers' settings define.
enum class RequestClass {
    preview,  ///< idempotent
    tagged,   ///< deduplicated by its idempotency key
    ledger,   ///< runs at most once
};
/// Time of an event that didn't happen.
constexpr std::int64_t never = INT64_MAX;

/// A request and its outcome, as recorded by its client.
struct Request {
    std::uint64_t id{};
    RequestClass request_class{};
    std::uint32_t controller_number{}, controller_run_index{};
    std::int64_t sent_us{};  // when it was queued for writing to the socket
    int budget_ms{};
    std::int64_t abandoned_us = never;        // when the client cancelled it or closed its connection
    std::int64_t answered_us = never;         // when the first answer was complete
    std::int64_t connection_lost_us = never;  // when its connection was lost before an answer
    int answer_count{}, status{};
    bool answer_valid = true;  // the answer was well-formed and its body belongs to this request
    bool resent{};             // sent again because its connection was lost right after sending
    bool lost_with_process{};  // its controller was killed or crashed, or the request was never sent
};

/// A period in which a process was stopped or stalled.
struct Pause {
    std::int64_t from_us{}, to_us{};
};

/// One process of a controller, from its start to its end.
struct ControllerRun {
    std::int64_t started_us{}, termination_requested_us = never, ended_us = never;
    bool killed{}, ready{};
    std::string crash_reason;  // how the controller crashed; empty: it didn't crash
    std::vector<Pause> pauses;
};

/// The lifetime of an invoker. An invoker that replaces another one has a new number.
struct InvokerHistory {
    std::uint32_t number{};
    std::int64_t started_us{};        // 0: running since the start of the run, counts as warm
    std::int64_t drained_us = never;  // when controllers should know that it drains or was removed
};

/// Limits the attempts sent to an invoker in any window of `window_us` after its start. The allowed share of its
/// capacity rises from `cold_share` to 1 within `duration_us` and may be exceeded by the factor `rate_multiple`.
struct SlowStartRule {
    double cold_share{}, rate_multiple{};
    std::int64_t duration_us{}, window_us{};
};

struct RunHistory {
    std::vector<Request> requests;
    std::map<std::uint32_t, std::vector<ControllerRun>> controllers;
    std::map<std::uint32_t, InvokerHistory> invokers;
    std::vector<Event> events;  // recorded by all proxies and invokers, unordered
    SlowStartRule slow_start;
    std::vector<Pause> client_pauses;      // when the clients' process was stalled and recorded answers late
    std::uint64_t invariant_violations{};  // count of violations in the logs of the controllers
};

}  // namespace plumkeel::soak
