/// \file
/// Builds the histories of requests from the records of a trace.
#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Processes all records of one trace in order. Passes a request's history to the callback when the request has an
/// outcome and no attempts in flight.
class HistoryBuilder {
public:
    using HistoryCallback = std::function<void(const RequestHistory&)>;

    /// `max_open` bounds the number of open requests in memory: if there are more, the history so far of the oldest is
    /// passed to the callback. `keep_released` is passed to NameTable.
    explicit HistoryBuilder(HistoryCallback callback, bool keep_released = false, std::size_t max_open = 1'000'000);

    void feed(const Record& record);
    void finish();  ///< Passes the histories of all open requests to the callback.
    const NameTable& names() const { return names_; }
    /// Longest time between submission and deadline of all requests so far.
    Time max_remaining() const { return max_remaining_; }

private:
    struct OpenRequest {
        RequestHistory history;
        std::uint64_t sequence_number{};
        int attempts_in_flight{};
    };
    OpenRequest& find_or_add_request(const Record& record);
    void close(std::uint64_t request);
    void on_sampled_request(const Record& record);
    void on_submit(RequestHistory& history, const Record& record);
    void on_attempt_ended(OpenRequest& request, const Record& record);
    void on_transition(OpenRequest& request, const Record& record);

    HistoryCallback on_history_;
    const std::size_t max_open_;
    NameTable names_;
    std::unordered_map<std::uint64_t, OpenRequest> open_requests_;
    std::map<std::uint64_t, std::uint64_t> request_by_sequence_number_;
    std::uint64_t opened_count_{};
    Time max_remaining_{};
};

}  // namespace plumkeel::trace_analysis
