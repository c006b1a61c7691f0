/// Limits the useless input of a client's connection.
#pragma once

#include <algorithm>
#include <chrono>

#include "net/types.hpp"

namespace plumkeel::fastcgi {

/// A glitch is a piece of input that does no work: a record of an unknown type or of an unknown request, a query, an
/// invalid request, or a request that its client takes back. Clients cause few of them. A token bucket limits their
/// number: the allowance grows with time and with each answered request. Once it is used up, the limit stays exceeded.
class GlitchLimiter {
public:
    void record(net::Time now) {
        const auto elapsed_s = std::chrono::duration<double>(now - updated_at_).count();
        updated_at_ = now;
        allowance_ = std::min(max_allowance, allowance_ + elapsed_s * allowance_per_s) - 1;
        if (allowance_ < 0) is_exceeded_ = true;
    }
    void request_answered() { allowance_ = std::min(max_allowance, allowance_ + allowance_per_answer); }
    bool is_exceeded() const { return is_exceeded_; }

private:
    static constexpr double max_allowance = 512;    // glitches that a client may cause at once
    static constexpr double allowance_per_s = 100;  // clients that give up often
    static constexpr double allowance_per_answer = 1;

    double allowance_ = max_allowance;
    net::Time updated_at_{};
    bool is_exceeded_{};
};

}  // namespace plumkeel::fastcgi
