/// \file
/// Reads the trace files given to a command as one stream of records.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/trace_commands.hpp"
#include "trace_analysis/controller_trace.hpp"

namespace plumkeel::cli {

/// Prints the damaged parts that the reader found to standard error.
void print_damage(const std::string& file, const trace::Reader& reader);

double to_seconds(trace::Time duration);

/// Parses CONTROLLER=DURATION arguments. Returns one clock offset for each trace, 0 if none is given. Throws
/// TraceError.
std::vector<trace::Time> parse_clock_offsets(
    const std::vector<std::string>& arguments,
    const std::vector<std::unique_ptr<trace_analysis::ControllerTrace>>& traces);

/// Opens the files and merges the traces of several controllers. The destructor prints the damaged parts of the files.
class TraceInput {
public:
    using RecordVisitor = std::function<bool(const trace::Record&)>;

    explicit TraceInput(const TraceOptions& options, std::optional<trace::Time> from = {});
    ~TraceInput();
    TraceInput(const TraceInput&) = delete;
    TraceInput& operator=(const TraceInput&) = delete;

    trace_analysis::RecordStream& stream();
    std::vector<std::unique_ptr<trace_analysis::ControllerTrace>>& traces() { return traces_; }

    /// Calls `visitor` for each record and draws a progress bar; `visitor` returns false to stop.
    void for_each(const char* label, const RecordVisitor& visitor);

private:
    std::vector<std::unique_ptr<trace_analysis::ControllerTrace>> traces_;
    std::unique_ptr<trace_analysis::RecordStream> merged_stream_;
};

/// Calls `on_history` for each request history that matches the filter, in the order in which the requests ended;
/// `on_history` returns false to stop. Reading also stops at the first record that is too late to belong to a request
/// received before the filter's end. `on_record`, if given, is called for every record read.
void for_each_history(
    TraceInput& input, const trace_analysis::HistoryFilter& filter, const char* label,
    const std::function<bool(const trace_analysis::RequestHistory&, const trace_analysis::NameTable&)>& on_history,
    const std::function<void(const trace::Record&, const trace_analysis::NameTable&)>& on_record = {});

}  // namespace plumkeel::cli
