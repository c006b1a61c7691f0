// Figures over many jobs: outcomes, waits and hops, by use case, tenant, function and invoker, and over time. Pure.
// Percentiles come from histograms whose bins are 2% wide, from 0.1 ms to 1,000 s.
#pragma once

#include <boost/histogram.hpp>
#include <map>

#include "trace_analysis/endpoint_diff.hpp"
#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

class LatencyHistogram {
public:
    LatencyHistogram();
    void add(Time value);
    std::uint64_t count() const { return count_; }
    // 0 where nothing was added; from 0 to 1, as 0.99.
    Time quantile(double part) const;
    Time max() const { return max_; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> bins_;
    std::uint64_t count_{};
    Time min_{}, max_{};
};

// Jobs by what came of them.
struct Outcomes {
    std::uint64_t succeeded{}, late{}, rejected{}, failed{}, cancelled{}, unfinished{};  // honoured: in time

    void add(const RequestHistory& history);
    void add(const Outcomes& others);
    std::uint64_t total() const { return succeeded + late + rejected + failed + cancelled + unfinished; }
    std::uint64_t ended_badly() const { return total() - succeeded; }
};

struct RequestStats {
    Outcomes outcomes;
    std::uint64_t attempts{}, retried{};
    LatencyHistogram duration, parked;  // took: of those honoured, in time or late; parked: of those that were

    void add(const RequestHistory& history);
};

struct AttemptStats {
    std::uint64_t sent{}, succeeded{}, rejected{}, connection_lost{}, unreachable{}, timed_out{}, cancelled{}, other{},
        in_flight{};
    std::uint64_t loads{};
    LatencyHistogram duration;  // of those honoured

    void add(const AttemptHistory& attempt);
};

struct SecondStats {
    Outcomes ended;                                 // jobs that ended in it
    std::uint64_t received{}, parked{};             // parked: at its end
    std::map<std::string, std::uint64_t> attempts;  // sent in it, by invoker
};

struct Annotation {
    Time at{};
    std::string what;
};

class Summary {
public:
    // A table holds at most `most_rows`; what would be more counts under "(others)". The time line holds at most
    // `most_seconds` from the start of the trace, the rest counts in the tables only.
    explicit Summary(std::size_t most_rows = 100'000, std::size_t most_seconds = 1'000'000);

    void add(const RequestHistory& history);
    // For the marks: list changes, gaps, and invokers that cut off or turn away more than they answer.
    void note(const Record& record, const NameTable& names);
    void finish();

    const RequestStats& all() const { return all_; }
    const std::map<std::string, RequestStats>& request_classes() const { return request_classes_; }
    const std::map<std::string, RequestStats>& tenants() const { return tenants_; }
    const std::map<std::string, RequestStats>& functions() const { return functions_; }
    const std::map<std::string, AttemptStats>& invokers() const { return invokers_; }
    const std::vector<SecondStats>& seconds() const { return seconds_; }
    const std::vector<Annotation>& annotations() const { return annotations_; }

    struct Worst {
        Time from{};
        Outcomes ended;
    };
    // The `length` in which the most jobs ended badly; nothing where none did.
    std::optional<Worst> worst(std::size_t length_s = 10) const;

private:
    template <class Row>
    Row& row(std::map<std::string, Row>& table, const std::string& name);
    SecondStats* second(Time at);
    void annotate(Time at, std::string what);

    const std::size_t most_rows_, most_seconds_;
    RequestStats all_;
    std::map<std::string, RequestStats> request_classes_, tenants_, functions_;
    std::map<std::string, AttemptStats> invokers_;
    std::vector<SecondStats> seconds_;
    std::vector<std::int64_t> parked_change_;  // by second
    std::vector<Annotation> annotations_;
    std::map<std::uint64_t, EndpointDiff> listings_;  // by controller
    std::map<std::string, Time> marked_;
    std::map<std::string, std::vector<Time>> cuts_;  // lately, by invoker
};

}  // namespace plumkeel::trace_analysis
