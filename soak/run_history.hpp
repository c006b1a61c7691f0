/// What a soak run knows of its requests and its processes when it is judged. Times are microseconds of the machine's
/// monotonic clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/events.hpp"

namespace plumkeel::soak {

/// As the controllers' settings name them.
enum class RequestClass {
    preview,  ///< idempotent
    tagged,   ///< deduplicated by its key
    ledger,   ///< runs at most once
};
constexpr std::int64_t never = INT64_MAX;

/// One request and what became of it, as its client saw it.
struct Request {
    std::uint64_t id{};
    RequestClass request_class{};
    std::uint32_t controller{}, controller_run{};
    std::int64_t sent_us{};  // its last byte was handed to the kernel
    int budget_ms{};
    std::int64_t abandoned_us = never;        // its client closed the connection or cancelled it
    std::int64_t answered_us = never;         // the end of its first answer
    std::int64_t connection_lost_us = never;  // its connection ended before an answer
    int answers{}, status{};
    bool answer_valid = true;  // its answer could be read, and a body was made for it
    bool resent{};             // it was sent as its idle connection was closed
    bool lost_with_process{};  // its controller was killed
};

/// A time in which a process was stopped.
struct Pause {
    std::int64_t from_us{}, to_us{};
};

/// A controller from one start to its end.
struct ControllerRun {
    std::int64_t started_us{}, termination_requested_us = never, ended_us = never;
    bool killed{}, ready{};
    std::string crash;  // how it ended by itself; empty: it did not
    std::vector<Pause> pauses;
};

/// An invoker from its start on. One that replaces another has a number of its own.
struct InvokerHistory {
    std::uint32_t number{};
    std::int64_t started_us{};        // 0: before the run
    std::int64_t drained_us = never;  // discovery said so, and every controller had received it or counts as if
};

struct SlowStartRule {
    double cold_share{}, rate_multiple{};
    std::int64_t duration_us{}, window_us{};
};

struct RunHistory {
    std::vector<Request> requests;
    std::map<std::uint32_t, std::vector<ControllerRun>> controllers;
    std::map<std::uint32_t, InvokerHistory> invokers;
    std::vector<Event> events;  // of all proxies and invokers, in any order
    SlowStartRule slow_start;
    std::vector<Pause> client_pauses;     // of the process of the clients: what it saw then it saw late
    std::uint64_t invariants_violated{};  // by the controllers' own logs
};

}  // namespace plumkeel::soak
