/// \file
/// Random records for tests of trace files.
#pragma once

#include <string>
#include <vector>

#include "tests/simulated_trace.hpp"
#include "trace/format.hpp"

namespace plumkeel::trace {

/// Returns records of unknown types with random contents. About a tenth of them concern no request; each request has up
/// to four.
inline std::vector<Record> random_records(int count, std::uint64_t random_state = 5) {
    std::vector<Record> out;
    Time at{};
    for (int i = 0; i < count; ++i) {
        at += Time(next_random(random_state) % 200);
        const std::uint64_t request = next_random(random_state) % 10 == 0 ? 0 : 1 + static_cast<std::uint64_t>(i) / 4;
        out.push_back({at, static_cast<std::uint8_t>(40 + next_random(random_state) % 20), request,
                       "f" + std::to_string(next_random(random_state) % 50) + "=" +
                           std::to_string(next_random(random_state) % 1000)});
    }
    return out;
}

}  // namespace plumkeel::trace
