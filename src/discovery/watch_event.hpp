/// One event of the discovery service's watch: which endpoints were added, changed or removed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gateway/endpoint.hpp"

namespace plumkeel::discovery {

/// Maximum number of endpoint records in an event; a larger event is malformed.
constexpr std::size_t max_records = 20'000;

struct WatchEvent {
    std::uint64_t number{};  ///< Rises by one with each change; a heartbeat repeats the last number.
    bool has_changes{};      ///< False for a heartbeat.
    bool is_complete{};      ///< Whether `endpoints` is the complete list; otherwise it holds the changed endpoints.
    std::vector<gateway::Endpoint> endpoints;
    std::vector<std::string> removed;  ///< Names of endpoints that left the list.

    /// Adds an endpoint to `endpoints`, or its name to `removed`.
    void add(gateway::Endpoint endpoint, bool is_removed) {
        if (is_removed)
            removed.push_back(std::move(endpoint.name));
        else
            endpoints.push_back(std::move(endpoint));
    }
};

}  // namespace plumkeel::discovery
