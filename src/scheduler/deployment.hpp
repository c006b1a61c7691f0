/// Settings of a deployment that the scheduler needs: request classes, tenants, safety rules and capabilities.
#pragma once

#include "scheduler/time.hpp"

namespace plumkeel {

/// Whether a request may run more than once.
enum class Idempotency {
    idempotent,  ///< the request may run any number of times
    /// Repeats under the same idempotency key take effect once, within a deduplication scope and a time window.
    deduplicated,
    /// The request must not be sent again once an attempt may have run.
    at_most_once,
};

/// Which invokers recognise a repeated idempotency key.
enum class DeduplicationScope { global, zone, cell };

struct RequestClass {
    /// Measured from the arrival; a response after it counts as late.
    Time latency_target{};
    Idempotency idempotency{};
    DeduplicationScope deduplication_scope{};
    /// How long an invoker remembers an idempotency key after an attempt.
    Time deduplication_window{};
};

struct Tenant {
    /// Requests per second that the tenant may send to all controllers together; 0 if it has no quota.
    double quota_per_s{};

    // Kept by ArrivalStatistics.
    double recent_arrivals{};  ///< exponentially decaying number of requests
    Time last_arrival{};
};

/// Limits that protect invokers. All controllers together must stay within them.
struct SafetyRules {
    Time slow_start_duration{};
    /// The share of an invoker's capacity that is available right after its start.
    double slow_start_initial_share{};
    /// In any window of `slow_start_window`, a starting invoker may be sent this multiple of the requests that its
    /// present capacity can run.
    double slow_start_rate_multiple{};
    Time slow_start_window{};
    Time load_budget_window{};  ///< 0 if preloads are not limited
    double load_budget_base{};  ///< preloads allowed in a window without any requests
    /// Preloads allowed in addition for each request that arrived in the window.
    double load_budget_per_request{};
};

/// What the deployment allows a controller to do, and quantities of the deployment that the scheduler uses.
struct Capabilities {
    bool cancellation{};
    bool health_checks{};
    bool hedging{};  ///< two attempts of one request may be in flight at once
    bool retry_after{};
    bool preload{};               ///< a PreloadCommand may load and unload copies
    bool subscribes_endpoints{};  ///< the endpoint list is sent only after a subscription
    bool on_demand_loading{};     ///< an attempt may make its invoker load the function
    /// The capacity of an invoker changes only with the endpoint list.
    bool stable_capacity{};
    int max_attempts{};
    int controller_count{};
    Time max_retry_after{};
    Time keep_alive{};        ///< how long an invoker keeps an idle copy
    Time clock_resolution{};  ///< resolution of the times that the host reports
    double memory_price{};
    /// The price of one probe relative to the value of one request; 0 if probes are free.
    double health_check_price{};
};

}  // namespace plumkeel
