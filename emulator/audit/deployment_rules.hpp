/// What a deployment's settings state, as far as the auditor checks it. Times are in microseconds.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "scheduler/types.hpp"

namespace plumkeel::emulator {

struct DeploymentRules {
    struct RequestClass {
        Idempotency idempotency = Idempotency::idempotent;
        DeduplicationScope scope = DeduplicationScope::global;  // of the invokers that share idempotency keys
        std::int64_t deduplication_window_us{};
    };
    struct Location {
        std::string zone;
        int cell{};
    };

    std::int64_t drain_grace_us = 2'000'000;  // after which a draining invoker gets nothing more
    std::int64_t slack_us = 60'000;           // for the ways between processes of one machine
    int max_attempts = 5;
    bool hedging = true;
    // In any window each controller may order `free_loads`, and `loads_per_request` for each request it received.
    std::int64_t load_window_us{};  // 0: loads are not limited
    double free_loads{}, loads_per_request{};
    std::map<std::string, RequestClass> request_classes;  // by name
    std::map<std::string, Location> locations;            // of the invokers, by name

    RequestClass request_class(const std::string& name) const;
    /// Whether both invokers are known and share the idempotency keys of a scope.
    bool in_one_scope(const std::string& invoker, const std::string& other, DeduplicationScope scope) const;
    /// Whether both are known and do not share them.
    bool in_different_scopes(const std::string& invoker, const std::string& other, DeduplicationScope scope) const;
};

}  // namespace plumkeel::emulator
