/// \file
/// Figures over all requests of a trace: by request class, tenant, function and invoker, and over time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trace_analysis/endpoint_diff.hpp"
#include "trace_analysis/request_stats.hpp"

namespace plumkeel::trace_analysis {

/// One second of the trace.
struct SecondStats {
    OutcomeCounts ended;                            ///< Requests that ended in it.
    std::uint64_t received{};                       ///< Requests that were submitted in it.
    std::uint64_t parked{};                         ///< Requests that were parked at its end.
    std::map<std::string, std::uint64_t> attempts;  ///< Attempts sent in it, by invoker.
};

/// Something that happened to the controller or an invoker.
struct Annotation {
    Time at{};
    std::string what;
};

class Summary {
public:
    /// A table has at most `max_rows`; what would exceed them counts in the row "(others)". The time line has at most
    /// `max_seconds` from the start of the trace; what comes later counts in the tables only.
    explicit Summary(std::size_t max_rows = 100'000, std::size_t max_seconds = 1'000'000);

    void add(const RequestHistory& history);
    /// Takes records for annotations: changes of the endpoints and gaps.
    void add_annotations(const Record& record, const NameTable& names);
    void finish();  ///< Call it once, after all was added.

    const RequestStats& all() const { return all_; }
    const std::map<std::string, RequestStats>& request_classes() const { return request_classes_; }
    const std::map<std::string, RequestStats>& tenants() const { return tenants_; }
    const std::map<std::string, RequestStats>& functions() const { return functions_; }
    const std::map<std::string, AttemptStats>& invokers() const { return invokers_; }
    const std::vector<SecondStats>& seconds() const { return seconds_; }
    const std::vector<Annotation>& annotations() const { return annotations_; }

    struct Period {
        Time from{};
        OutcomeCounts ended;
    };
    /// The period of `length_s` seconds in which the most requests ended badly; nothing if none did.
    std::optional<Period> worst_period(std::size_t length_s = 10) const;

private:
    template <class Row>
    Row& row(std::map<std::string, Row>& table, const std::string& name);
    SecondStats* second(Time at);
    void add_attempt(const AttemptHistory& attempt);
    void add_parked(const RequestHistory& history);
    void annotate_failure(const AttemptHistory& attempt);
    void annotate(Time at, std::string what);

    const std::size_t max_rows_, max_seconds_;
    RequestStats all_;
    std::map<std::string, RequestStats> request_classes_, tenants_, functions_;
    std::map<std::string, AttemptStats> invokers_;
    std::vector<SecondStats> seconds_;
    std::vector<std::int64_t> parked_change_;  // by second
    std::vector<Annotation> annotations_;
    std::map<std::uint64_t, EndpointDiff> endpoints_;       // by controller
    std::map<std::string, Time> last_annotated_;            // by what
    std::map<std::string, std::vector<Time>> recent_lost_;  // recently lost connections, by invoker
};

}  // namespace plumkeel::trace_analysis
