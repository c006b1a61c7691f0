/// What the deployment's settings tell a scheduler: request classes, tenants, safety rules and capabilities.
#pragma once

#include "scheduler/time.hpp"

namespace plumkeel {

/// Whether a request may run more than once.
enum class Idempotency {
    idempotent,    ///< any number of times
    deduplicated,  ///< repeats under the same idempotency key take effect once, within a scope and a time window
    at_most_once,  ///< never again once an attempt may have run
};

/// Which invokers recognise a repeated idempotency key.
enum class DeduplicationScope { global, zone, cell };

struct RequestClass {
    Time latency_target{};  ///< from the arrival; a later response earns nothing
    Idempotency idempotency{};
    DeduplicationScope deduplication_scope{};
    Time deduplication_window{};  ///< how long an idempotency key is remembered after an attempt
};

struct Tenant {
    double quota_per_s{};  ///< requests a second over all controllers; 0: none stated

    // Kept by ArrivalStatistics.
    double recent_arrivals{};  ///< decaying count
    Time last_arrival{};
};

/// Limits that protect invokers and must never be exceeded by all controllers together.
struct SafetyRules {
    Time slow_start_duration{};
    double slow_start_initial_share{};  ///< of an invoker's capacity, right after its start
    double slow_start_rate_multiple{};  ///< of the present capacity: the most that may be sent in any window
    Time slow_start_window{};
    Time load_budget_window{};  ///< 0: preloads are not limited
    double load_budget_base{};  ///< preloads in a window, whatever arrives
    double load_budget_per_request{};
};

/// What the deployment allows a controller to do, and figures it has to know.
struct Capabilities {
    bool cancellation{};
    bool health_checks{};
    bool hedging{};  ///< two attempts of one request may be in flight at once
    bool retry_after{};
    bool preload{};               ///< copies may be loaded and unloaded by command
    bool subscribes_endpoints{};  ///< the endpoint list is sent only after a subscription
    bool on_demand_loading{};     ///< an attempt may start its function's load
    bool stable_capacity{};       ///< an invoker's stated capacity does not change between endpoint lists
    int max_attempts{};
    int controller_count{};
    Time max_retry_after{};
    Time keep_alive{};        ///< how long an invoker keeps an idle copy
    Time clock_resolution{};  ///< of the times that a host reports
    double memory_price{};
    double health_check_price{};  ///< in parts of a request's worth; 0: none stated
};

}  // namespace plumkeel
