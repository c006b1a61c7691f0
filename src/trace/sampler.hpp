/// \file
/// Chooses what is kept of a trace that holds only a sample of the requests. Free of I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "trace/records.hpp"

namespace plumkeel::trace {

/// Keeps a share of all requests, and all that ended badly: without success, or after their latency target. Records
/// that concern no request are kept except for wakes and actions, which serve only replay, and a sample cannot be
/// replayed.
class Sampler {
public:
    using RecordCallback = std::function<void(const Record&)>;

    /// `ratio` of the requests is kept, from 0 to 1. When the records of open requests exceed `max_bytes`, the oldest
    /// request is kept as far as it is known.
    Sampler(double ratio, std::size_t max_bytes);

    void feed(const Record& record, const RecordCallback& keep);
    void finish(const RecordCallback& keep);  ///< Keeps all requests that are still open.

private:
    struct OpenRequest {
        SampledRequest sample;
        std::size_t bytes{};
        std::uint64_t order{};
        int attempts_in_flight{};
        bool ended{}, ended_badly{};
        Time late_after{};  // when its latency target is missed
    };
    bool is_sampled(std::uint64_t request) const;
    void update(OpenRequest& request, const Record& record);
    void close(std::uint64_t id, Time at, const RecordCallback& keep);

    const double ratio_;
    const std::size_t max_bytes_;
    SchedulerSettings start_;
    std::unordered_map<std::uint64_t, OpenRequest> open_;
    std::map<std::uint64_t, std::uint64_t> by_age_;  // request by order of submission
    std::uint64_t submitted_{};
    std::size_t bytes_{};
};

}  // namespace plumkeel::trace
