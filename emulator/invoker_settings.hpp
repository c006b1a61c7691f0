/// Settings of one emulated invoker.
#pragma once

#include <cstdint>
#include <string>

#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

/// The reduced capacity of an invoker after its start, and the load under which it fails.
struct SlowStartSettings {
    bool enabled{};
    double cold_share = 0.2;  ///< share of the full capacity at the start; rises to 1 over `duration`
    Time duration = 10s;
    /// The invoker fails if the work it receives in a window exceeds this multiple of its current capacity.
    double rate_multiple = 2;
    Time window = 2s;
};

struct InvokerSettings {
    std::string name;
    std::uint16_t port{};
    std::string store_address;    ///< host:port of the function store
    double cores = 4, speed = 1;  ///< run times are divided by `speed`
    int memory_mb = 8000;
    std::size_t queue_limit = 32;
    int max_concurrent_loads = 4;
    Time keep_alive = 10s;  ///< how long an idle function stays loaded
    SlowStartSettings slow_start;
    double mean_run_time_ms = 100;
    Time deduplication_window = 5s;
    std::uint64_t seed = 1;

    /// In cores of speed 1, without slow start.
    double capacity() const { return cores * speed; }
};

/// Reads a Jsonnet or JSON file. Throws ConfigError.
InvokerSettings read_invoker_settings(const std::string& file);

}  // namespace plumkeel::emulator
