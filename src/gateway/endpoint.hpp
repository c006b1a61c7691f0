/// One invoker as a source of endpoints (Consul, or the platform's discovery) describes it.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace plumkeel::gateway {

struct Endpoint {
    std::string name;     ///< unique; an endpoint with the same name is the same invoker
    std::string address;  ///< host:port, checked by the source
    std::string zone;
    std::string type;     ///< invokers of one type are taken to be equally fast until learned otherwise
    bool ready = true;    ///< false: it drains, and takes no new attempts
    double capacity = 1;  ///< relative weight: the concurrency that the invoker announces
    int cell{};           ///< invokers of one cell share their memory of idempotency keys
    std::optional<std::chrono::microseconds> started_at;  ///< since the Unix epoch
    bool operator==(const Endpoint&) const = default;
};

}  // namespace plumkeel::gateway
