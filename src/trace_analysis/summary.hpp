/// \file
/// Statistics of all requests of a trace: by request class, tenant, function and invoker, and over time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trace_analysis/endpoint_diff.hpp"
#include "trace_analysis/request_stats.hpp"

namespace plumkeel::trace_analysis {

/// Statistics of one second of the trace.
struct SecondStats {
    OutcomeCounts ended;                            ///< Requests that ended in this second.
    std::uint64_t received{};                       ///< Requests that were submitted in this second.
    std::uint64_t parked{};                         ///< Requests that were parked at the end of this second.
    std::map<std::string, std::uint64_t> attempts;  ///< Attempts sent in this second, by invoker.
};

/// An event at the controller or an invoker, described by `what`.
struct Annotation {
    Time at{};
    std::string what;
};

class Summary {
public:
    /// `max_rows` bounds the rows of each table, and further names are counted in the row "(others)". `max_seconds`
    /// bounds the length of seconds(), from the start of the trace; later events are counted only in the tables.
    explicit Summary(std::size_t max_rows = 100'000, std::size_t max_seconds = 1'000'000);

    void add(const RequestHistory& history);
    /// Adds an annotation if the record is a gap, a change of the endpoints or the loss of the endpoint stream.
    void add_annotations(const Record& record, const NameTable& names);
    void finish();  ///< To be called once, after all histories and records were added.

    const RequestStats& all() const { return all_; }
    const std::map<std::string, RequestStats>& request_classes() const { return request_classes_; }
    const std::map<std::string, RequestStats>& tenants() const { return tenants_; }
    const std::map<std::string, RequestStats>& functions() const { return functions_; }
    const std::map<std::string, AttemptStats>& invokers() const { return invokers_; }
    const std::vector<SecondStats>& seconds() const { return stats_by_second_; }
    const std::vector<Annotation>& annotations() const { return annotations_; }

    struct Period {
        Time from{};
        OutcomeCounts ended;
    };
    /// Returns the period of `length_s` seconds in which most requests ended badly. Returns nothing if all requests
    /// succeeded within their latency target.
    std::optional<Period> worst_period(std::size_t length_s = 10) const;

private:
    template <class Stats>
    Stats& find_or_add_row(std::map<std::string, Stats>& table, const std::string& name);
    SecondStats* find_or_add_second(Time at);
    void add_attempt(const AttemptHistory& attempt);
    void add_parked(const RequestHistory& history);
    void annotate_failure(const AttemptHistory& attempt);
    void annotate(Time at, std::string what);

    const std::size_t max_rows_, max_seconds_;
    RequestStats all_;
    std::map<std::string, RequestStats> request_classes_, tenants_, functions_;
    std::map<std::string, AttemptStats> invokers_;
    std::vector<SecondStats> stats_by_second_;
    std::vector<std::int64_t> parked_change_by_second_;  // change of the number of parked requests
    std::vector<Annotation> annotations_;
    std::map<std::uint64_t, EndpointDiff> endpoints_;                   // by index of the controller
    std::map<std::string, Time> last_annotated_;                        // time by annotation text
    std::map<std::string, std::vector<Time>> recent_lost_connections_;  // by invoker
};

}  // namespace plumkeel::trace_analysis
