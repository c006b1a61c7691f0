// What a soak run knows of its requests and its fleet when it is judged. Moments are microseconds of the common clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/events.hpp"

namespace plumkeel::soak {

enum class UseOf { preview, tagged, ledger };  // may run again; may run again by its key; may run but once
constexpr std::int64_t never = INT64_MAX;

struct Request {
    std::uint64_t id{};
    UseOf use{};
    std::uint32_t controller{}, life{};  // which start of the controller
    std::int64_t sent_us{};              // its last byte was handed to the machine
    int budget_ms{};
    std::int64_t gone_us = never;      // its client closed or cancelled
    std::int64_t answered_us = never;  // the end of its first answer
    std::int64_t cut_us = never;       // its connection ended before
    int answers{}, status{};
    bool well = true;         // what came could be read, and a body was made for it
    bool sent_again{};        // it crossed the end of a resting connection
    bool with_the_process{};  // its controller was killed
};

// Of a controller: when it stood still, and from when on it need not answer.
struct Pause {
    std::int64_t from_us{}, to_us{};
};
struct Life {
    std::int64_t started_us{}, told_to_end_us = never, ended_us = never;
    bool killed{}, ready{};
    std::string crash;  // how it ended by itself; empty: it did not
    std::vector<Pause> pauses;
};

// An invoker of the list, from its start on. A replaced one is another.
struct Invoker {
    std::uint32_t number{};
    std::int64_t started_us{};             // 0: long ago
    std::int64_t drained_told_us = never;  // the list said so, and every controller had been told or counts as told
};

struct SlowStart {
    double cold_share{}, multiple{};
    std::int64_t cold_us{}, window_us{};
};

struct Books {
    std::vector<Request> requests;
    std::map<std::uint32_t, std::vector<Life>> controllers;
    std::map<std::uint32_t, Invoker> invokers;
    std::vector<Event> events;  // of all proxies and invokers, in any order
    SlowStart slow_start;
    std::vector<Pause> own_pauses;      // of the process that plays the clients: what it saw then it saw late
    std::uint64_t invariants_broken{};  // that controllers told of in their logs
};

}  // namespace plumkeel::soak
