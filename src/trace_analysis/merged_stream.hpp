/// \file
/// Merges the traces of several controllers into one.
#pragma once

#include <memory>
#include <unordered_map>

#include "trace_analysis/controller_trace.hpp"

namespace plumkeel::trace_analysis {

/// Assigns numbers to names. When a name is numbered, a record that defines it is appended to a list.
class NameNumbering {
public:
    /// Records of type `record_type` are appended to `definitions`, which must outlive this object.
    NameNumbering(std::uint8_t record_type, std::vector<Record>& definitions)
        : record_type_(record_type), definitions_(definitions) {}
    std::uint64_t number(const std::string& name, Time at);

private:
    const std::uint8_t record_type_;
    std::vector<Record>& definitions_;
    std::unordered_map<std::string, std::uint64_t> number_by_name_;
};

/// Returns the records of several controllers, ordered by corrected time and then by controller. Requests, functions
/// and invokers get new, common numbers. Actions and wake records are left out: they are needed only to replay a trace,
/// and a merged trace cannot be replayed.
class MergedStream : public RecordStream {
public:
    /// `offsets` are added to the times of the traces, to correct the controllers' clocks. With `from`, returns records
    /// from this time on, preceded by all definitions of names. The traces must outlive the stream. Throws TraceError
    /// if `traces` is empty.
    MergedStream(std::vector<ControllerTrace*> traces, const std::vector<Time>& offsets, std::optional<Time> from = {});

    std::optional<Record> next() override;
    Time start_time() const override { return start_time_; }
    double progress() const override;

private:
    struct SourceTrace {
        SourceTrace(ControllerTrace& controller_trace, Time adjusted_start_time)
            : trace(controller_trace), start_time(adjusted_start_time), names(true) {}
        ControllerTrace& trace;
        Time start_time;
        NameTable names;
        std::vector<std::uint64_t> request_classes, tenants;  // merged number by number in this trace
        std::optional<Record> next_record;
        bool at_end{};
    };

    void add_first_records();
    SourceTrace* find_earliest_source();
    void load_next_record(SourceTrace& source);
    void add_record(const SourceTrace& source, Record record);
    std::uint64_t index_of(const SourceTrace& source) const;
    std::uint64_t merged_function(const SourceTrace& source, std::uint64_t number, Time at);
    std::uint64_t merged_invoker(const SourceTrace& source, std::uint64_t number, Time at);

    /// Returns the record body with all numbers replaced by the numbers of the merged trace.
    std::string renumber_body(const SourceTrace& source, std::uint8_t type, Time at, const std::string& body);
    template <class T>
    std::string renumber_as(const SourceTrace& source, Time at, const std::string& body);
    void renumber(const SourceTrace& source, Time at, trace::SampledRequest& sample);
    void renumber(const SourceTrace& source, Time at, trace::RequestSubmitted& submitted);
    void renumber(const SourceTrace& source, Time at, trace::TransitionRecord& transition);
    void renumber(const SourceTrace& source, Time at, trace::EndpointsChanged& list);
    void renumber(const SourceTrace& source, Time at, trace::HealthCheckEnded& ended);
    void renumber(const SourceTrace& source, Time at, trace::PreloadEnded& ended);

    std::vector<SourceTrace> sources_;
    Time start_time_{};
    std::vector<Record> pending_records_;  // next() returns these from index next_pending_ on
    std::size_t next_pending_{};
    NameNumbering functions_{trace::function_defined, pending_records_},
        invokers_{trace::invoker_defined, pending_records_};
};

}  // namespace plumkeel::trace_analysis
