/// The settings of a deployment that the auditor checks the records against.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "scheduler/types.hpp"

namespace plumkeel::emulator {

struct DeploymentRules {
    struct RequestClass {
        Idempotency idempotency = Idempotency::idempotent;
        DeduplicationScope scope = DeduplicationScope::global;  // invokers in one scope share idempotency keys
        std::int64_t deduplication_window_us{};
    };
    struct Location {
        std::string zone;
        int cell{};
    };

    std::int64_t drain_grace_us = 2'000'000;  // how long a draining invoker may still receive requests
    std::int64_t slack_us = 60'000;           // allowed delay between a message and its record
    int max_attempts = 5;
    bool hedging = true;
    // In any window of `load_window_us`, a controller may order `free_loads` loads, plus `loads_per_request` loads for
    // each request that it received in the window.
    std::int64_t load_window_us{};  // 0: the number of loads is not limited
    double free_loads{}, loads_per_request{};
    std::map<std::string, RequestClass> request_classes;  // key: class name
    std::map<std::string, Location> locations;            // key: invoker name

    /// Returns the class of that name, or a default RequestClass if there is none.
    RequestClass request_class(const std::string& name) const;
    /// Returns whether the locations of both invokers are known and in the same deduplication scope.
    bool in_one_scope(const std::string& invoker, const std::string& other, DeduplicationScope scope) const;
    /// Returns whether the locations of both invokers are known and in different deduplication scopes.
    bool in_different_scopes(const std::string& invoker, const std::string& other, DeduplicationScope scope) const;
};

}  // namespace plumkeel::emulator
