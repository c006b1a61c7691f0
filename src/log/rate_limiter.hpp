/// Token bucket that bounds how many log lines of one kind are written.
#pragma once

#include <cstdint>
#include <utility>

#include "net/types.hpp"

namespace plumkeel {

/// Reads no clock: the caller passes the time, which must not decrease.
class RateLimiter {
public:
    /// Allows `per_s` events a second on average and up to `burst` at once.
    RateLimiter(double per_s, double burst) : per_s_(per_s), burst_(burst), tokens_(burst) {}

    /// Returns whether an event is allowed at `now`; counts it as suppressed if not.
    bool allow(net::Time now);

    /// Returns the number of events suppressed since the last call of this function.
    std::uint64_t take_suppressed() { return std::exchange(suppressed_, 0); }

private:
    double per_s_, burst_, tokens_;
    net::Time last_{};
    std::uint64_t suppressed_{};
};

}  // namespace plumkeel
