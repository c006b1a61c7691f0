/// Settings of one emulated invoker.
#pragma once

#include <cstdint>
#include <string>

#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

/// How an invoker that has just started is limited, and what it bears before it fails.
struct SlowStartSettings {
    bool enabled{};
    double cold_share = 0.2;  ///< of its capacity, at its start; rises to 1 over `duration`
    Time duration = 10s;
    double rate_multiple = 2;  ///< of its present capacity: it fails where it gets more work in a window
    Time window = 2s;
};

struct InvokerSettings {
    std::string name;
    std::uint16_t port{};
    std::string store_address;  ///< host:port of the function store
    double cores = 4, speed = 1;
    int memory_mb = 8000;
    std::size_t queue_limit = 32;
    int concurrent_loads = 4;
    Time keep_alive = 10s;  ///< how long an idle function stays loaded
    SlowStartSettings slow_start;
    double mean_run_time_ms = 100;
    Time deduplication_window = 5s;
    std::uint64_t seed = 1;

    double capacity() const { return cores * speed; }
};

/// Throws ConfigError.
InvokerSettings read_invoker_settings(const std::string& file);

}  // namespace plumkeel::emulator
