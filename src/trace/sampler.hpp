// Which jobs' records are kept where a trace holds only a sample: a part of all jobs, and all that ended badly.
// Pure. What concerns no one job is kept but for the wakings; answers to calls are not, since a sample can't be
// decided again.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

#include "trace/records.hpp"

namespace plumkeel::trace {

class Sampler {
public:
    // `part` of the jobs, from 0 to 1. Past `bytes` of open jobs' records the oldest job is told as far as it is
    // known, whatever comes of it.
    Sampler(double part, std::size_t bytes);

    using Emit = std::function<void(const Record&)>;
    void feed(const Record& record, const Emit& emit);
    void finish(const Emit& emit);  // tells of all jobs that are still open

private:
    struct Open {
        SampledRequest story;
        std::size_t bytes{};
        std::uint64_t order{};
        int out{};  // hops
        bool ended{}, badly{};
        Time late{};  // an answer after this is late
    };
    bool chosen(std::uint64_t request) const;
    void note(Open& request, const Record& record);
    void tell(std::uint64_t id, Time at, const Emit& emit);

    const double part_;
    const std::size_t most_bytes_;
    Start start_;
    std::unordered_map<std::uint64_t, Open> open_;
    std::map<std::uint64_t, std::uint64_t> by_age_;  // order of arrival to job
    std::uint64_t taken_{};
    std::size_t bytes_{};
};

}  // namespace plumkeel::trace
