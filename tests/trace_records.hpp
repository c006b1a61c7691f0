/// \file
/// Random records for the tests of trace files.
#pragma once

#include <string>
#include <vector>

#include "tests/simulated_trace.hpp"
#include "trace/format.hpp"

namespace plumkeel::trace {

/// Of types that no build knows; each request has a few, and a tenth concern none.
inline std::vector<Record> random_records(int count, std::uint64_t random = 5) {
    std::vector<Record> out;
    Time at{};
    for (int i = 0; i < count; ++i) {
        at += Time(next_random(random) % 200);
        const std::uint64_t request = next_random(random) % 10 == 0 ? 0 : 1 + static_cast<std::uint64_t>(i) / 4;
        out.push_back(
            {at, static_cast<std::uint8_t>(40 + next_random(random) % 20), request,
             "f" + std::to_string(next_random(random) % 50) + "=" + std::to_string(next_random(random) % 1000)});
    }
    return out;
}

}  // namespace plumkeel::trace
