/// \file
/// The traces of several controllers as one.
#pragma once

#include <memory>
#include <unordered_map>

#include "trace_analysis/controller_trace.hpp"

namespace plumkeel::trace_analysis {

/// Gives each name one number, and introduces it with a record when it is first met.
class NameNumbering {
public:
    /// `type` is that of the records; they are appended to `out`, which must outlive the numbering.
    NameNumbering(std::uint8_t type, std::vector<Record>& out) : type_(type), out_(out) {}
    std::uint64_t number(const std::string& name, Time at);

private:
    const std::uint8_t type_;
    std::vector<Record>& out_;
    std::unordered_map<std::string, std::uint64_t> numbers_;
};

/// Several controllers' records in the order of their corrected time, with one numbering of requests, functions and
/// invokers; records of the same time are in the order of the controllers. Actions and wakes are left out: they serve
/// only replay, and a merged trace cannot be replayed.
class MergedStream : public RecordStream {
public:
    /// `offsets` are added to the controllers' clocks. With `from`, starts at that time, after all names. The traces
    /// must outlive the stream. Throws TraceError if there are none.
    MergedStream(std::vector<ControllerTrace*> traces, const std::vector<Time>& offsets, std::optional<Time> from = {});

    std::optional<Record> next() override;
    Time start_time() const override { return start_time_; }
    double progress() const override;

private:
    struct Source {
        Source(ControllerTrace& from, Time start) : trace(from), start_time(start), names(true) {}
        ControllerTrace& trace;
        Time start_time;
        NameTable names;
        std::vector<std::uint64_t> request_classes, tenants;  // merged number by own number
        std::optional<Record> head;
        bool at_end{};
    };

    void write_first_records();
    Source* earliest_source();
    void advance(Source& source);
    void add(const Source& source, Record record);
    std::uint64_t index_of(const Source& source) const;
    std::uint64_t merged_function(const Source& source, std::uint64_t number, Time at);
    std::uint64_t merged_invoker(const Source& source, std::uint64_t number, Time at);

    /// The body with all numbers replaced by those of the merged trace.
    std::string renumber_body(const Source& source, std::uint8_t type, Time at, const std::string& body);
    template <class T>
    std::string renumber_as(const Source& source, Time at, const std::string& body);
    void renumber(const Source& source, Time at, trace::SampledRequest& sample);
    void renumber(const Source& source, Time at, trace::RequestSubmitted& submitted);
    void renumber(const Source& source, Time at, trace::TransitionRecord& transition);
    void renumber(const Source& source, Time at, trace::EndpointsChanged& list);
    void renumber(const Source& source, Time at, trace::HealthCheckEnded& ended);
    void renumber(const Source& source, Time at, trace::PreloadEnded& ended);

    std::vector<Source> sources_;
    Time start_time_{};
    std::vector<Record> ready_;  // to be passed on next, from next_ready_ on
    std::size_t next_ready_{};
    NameNumbering functions_{trace::function_known, ready_}, invokers_{trace::invoker_known, ready_};
};

}  // namespace plumkeel::trace_analysis
