#include "log/rate_limiter.hpp"

#include <algorithm>
#include <chrono>

namespace plumkeel {

bool RateLimiter::allow(net::Time now) {
    const double elapsed_s = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    tokens_ = std::min(burst_, tokens_ + elapsed_s * per_s_);
    if (tokens_ < 1) {
        ++suppressed_;
        return false;
    }
    --tokens_;
    return true;
}

}  // namespace plumkeel
