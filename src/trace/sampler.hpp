/// \file
/// Selects the records to keep in a trace that contains only a sample of the requests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "trace/records.hpp"

namespace plumkeel::trace {

/// Keeps a fraction of all requests, and all requests that ended badly: they did not succeed, or missed their latency
/// target. Records that concern no request are kept, except wake and actions records: they are needed only to replay a
/// trace, and a sample cannot be replayed.
class Sampler {
public:
    using RecordCallback = std::function<void(const Record&)>;

    /// `ratio` is the fraction of requests to keep, from 0 to 1. If the records of open requests exceed `max_bytes`,
    /// the records so far of the oldest request are kept, and its later records are dropped.
    Sampler(double ratio, std::size_t max_bytes);

    void feed(const Record& record, const RecordCallback& keep);
    void finish(const RecordCallback& keep);  ///< Keeps all open requests; call it at the end of the trace.

private:
    struct OpenRequest {
        SampledRequest sample;
        std::size_t bytes{};
        std::uint64_t sequence_number{};
        int attempts_in_flight{};
        bool ended{}, ended_badly{};
        Time target_time{};  // latest end that meets the latency target
    };
    bool is_sampled(std::uint64_t request) const;
    void update(OpenRequest& request, const Record& record);
    void close(std::uint64_t id, Time at, const RecordCallback& keep);

    const double ratio_;
    const std::size_t max_bytes_;
    SchedulerSettings scheduler_settings_;
    std::unordered_map<std::uint64_t, OpenRequest> open_requests_;
    std::map<std::uint64_t, std::uint64_t> request_by_sequence_number_;
    std::uint64_t submitted_count_{};
    std::size_t bytes_{};
};

}  // namespace plumkeel::trace
