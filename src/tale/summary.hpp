// Figures over many jobs: outcomes, waits and hops, by use case, tenant, function and invoker, and over time. Pure.
// Percentiles come from histograms whose bins are 2% wide, from 0.1 ms to 1,000 s.
#pragma once

#include <boost/histogram.hpp>
#include <map>

#include "tale/listing.hpp"
#include "tale/tale.hpp"

namespace plumkeel::tale {

class Spread {
public:
    Spread();
    void add(Time value);
    std::uint64_t count() const { return count_; }
    // 0 where nothing was added; from 0 to 1, as 0.99.
    Time at(double part) const;
    Time most() const { return most_; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> bins_;
    std::uint64_t count_{};
    Time least_{}, most_{};
};

// Jobs by what came of them.
struct Outcomes {
    std::uint64_t honoured{}, late{}, bounced{}, written_off{}, abandoned{}, unfinished{};  // honoured: in time

    void add(const Tale& tale);
    void add(const Outcomes& others);
    std::uint64_t all() const { return honoured + late + bounced + written_off + abandoned + unfinished; }
    std::uint64_t badly() const { return all() - honoured; }
};

struct Jobs {
    Outcomes outcomes;
    std::uint64_t hops{}, more_than_one{};
    Spread took, parked;  // took: of those honoured, in time or late; parked: of those that were

    void add(const Tale& tale);
};

struct Hops {
    std::uint64_t sent{}, honoured{}, turned_away{}, cut_off{}, unreachable{}, overdue{}, called_off{}, other{}, out{};
    std::uint64_t loads{};
    Spread took;  // of those honoured

    void add(const HopTale& hop);
};

struct Second {
    Outcomes ended;  // jobs that ended in it
    std::uint64_t taken{}, parked{};  // parked: at its end
    std::map<std::string, std::uint64_t> hops;  // sent in it, by invoker
};

struct Mark {
    Time at{};
    std::string what;
};

class Summary {
public:
    // A table holds at most `most_rows`; what would be more counts under "(others)". The time line holds at most
    // `most_seconds` from the start of the trace, the rest counts in the tables only.
    explicit Summary(std::size_t most_rows = 100'000, std::size_t most_seconds = 1'000'000);

    void add(const Tale& tale);
    // For the marks: list changes, gaps, and invokers that cut off or turn away more than they answer.
    void note(const Record& record, const Names& names);
    void finish();

    const Jobs& all() const { return all_; }
    const std::map<std::string, Jobs>& use_cases() const { return use_cases_; }
    const std::map<std::string, Jobs>& tenants() const { return tenants_; }
    const std::map<std::string, Jobs>& functions() const { return functions_; }
    const std::map<std::string, Hops>& invokers() const { return invokers_; }
    const std::vector<Second>& seconds() const { return seconds_; }
    const std::vector<Mark>& marks() const { return marks_; }

    struct Worst {
        Time from{};
        Outcomes ended;
    };
    // The `length` in which the most jobs ended badly; nothing where none did.
    std::optional<Worst> worst(std::size_t length_s = 10) const;

private:
    template <class Row>
    Row& row(std::map<std::string, Row>& table, const std::string& name);
    Second* second(Time at);
    void mark(Time at, std::string what);

    const std::size_t most_rows_, most_seconds_;
    Jobs all_;
    std::map<std::string, Jobs> use_cases_, tenants_, functions_;
    std::map<std::string, Hops> invokers_;
    std::vector<Second> seconds_;
    std::vector<std::int64_t> parked_change_;  // by second
    std::vector<Mark> marks_;
    std::map<std::uint64_t, Listing> listings_;  // by controller
    std::map<std::string, Time> marked_;
    std::map<std::string, std::vector<Time>> cuts_;  // lately, by invoker
};

}  // namespace plumkeel::tale
