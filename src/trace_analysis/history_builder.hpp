/// \file
/// Puts the histories of requests together from the records of a trace.
#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Takes all records of one trace in order, and passes on each request's history once the request is closed.
class HistoryBuilder {
public:
    using HistoryCallback = std::function<void(const RequestHistory&)>;

    /// At most `max_open` requests are kept; beyond them the oldest is passed on as it is then. `keep_released` is the
    /// NameTable's.
    explicit HistoryBuilder(HistoryCallback callback, bool keep_released = false, std::size_t max_open = 1'000'000);

    void feed(const Record& record);
    void finish();  ///< Passes on the requests that are still open.
    const NameTable& names() const { return names_; }
    /// The longest time to a deadline so far.
    Time max_remaining() const { return max_remaining_; }

private:
    struct OpenRequest {
        RequestHistory history;
        std::uint64_t order{};
        int attempts_in_flight{};
    };
    OpenRequest& open(const Record& record);
    void close(std::uint64_t request);
    void on_sampled_request(const Record& record);
    void on_submit(RequestHistory& history, const Record& record);
    void on_attempt_ended(OpenRequest& request, const Record& record);
    void on_transition(OpenRequest& request, const Record& record);

    HistoryCallback callback_;
    const std::size_t max_open_;
    NameTable names_;
    std::unordered_map<std::uint64_t, OpenRequest> open_;
    std::map<std::uint64_t, std::uint64_t> by_age_;  // request by order of its first record
    std::uint64_t opened_{};
    Time max_remaining_{};
};

}  // namespace plumkeel::trace_analysis
