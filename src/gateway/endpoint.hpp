// One invoker as a source of endpoints (Consul, or the platform's discovery) describes it.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace plumkeel::gateway {

struct Endpoint {
    std::string name, address, zone, type;
    bool ready = true;  // false: it drains, and takes no new attempts
    double capacity = 1;
    int cell{};
    std::optional<std::chrono::microseconds> started_at;  // since the Unix epoch
    bool operator==(const Endpoint&) const = default;
};

}  // namespace plumkeel::gateway
