/// Description of one invoker, as received from Consul or from the platform's discovery service.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace plumkeel::gateway {

struct Endpoint {
    std::string name;     ///< unique: endpoints with the same name are the same invoker
    std::string address;  ///< host:port, already validated
    std::string zone;
    std::string type;     ///< invokers of one type are assumed equally fast until measured
    bool ready = true;    ///< false: the invoker is draining and accepts no new attempts
    double capacity = 1;  ///< relative weight: the concurrency that the invoker announces
    int cell{};           ///< invokers of one cell share their store of idempotency keys
    std::optional<std::chrono::microseconds> started_at;  ///< start of the invoker, since the Unix epoch
    bool operator==(const Endpoint&) const = default;
};

}  // namespace plumkeel::gateway
