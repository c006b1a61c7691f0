/// \file
/// The trace files that a command was given, as one stream.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/trace_commands.hpp"
#include "trace_analysis/controller_trace.hpp"

namespace plumkeel::cli {

/// Prints what the reader found damaged, to the standard error.
void print_damage(const std::string& file, const trace::Reader& reader);

double to_seconds(trace::Time t);

/// The clock offsets that the command line gave, one for each trace. Throws TraceError.
std::vector<trace::Time> parse_offsets(const std::vector<std::string>& arguments,
                                       const std::vector<std::unique_ptr<trace_analysis::ControllerTrace>>& traces);

/// Opens the files; several controllers' traces are merged. Damage is printed on destruction.
class TraceInput {
public:
    using RecordVisitor = std::function<bool(const trace::Record&)>;

    explicit TraceInput(const TraceOptions& options, std::optional<trace::Time> from = {});
    ~TraceInput();
    TraceInput(const TraceInput&) = delete;
    TraceInput& operator=(const TraceInput&) = delete;

    trace_analysis::RecordStream& stream();
    std::vector<std::unique_ptr<trace_analysis::ControllerTrace>>& traces() { return traces_; }

    /// All records, with a progress bar; `visitor` returns false to stop.
    void for_each(const char* label, const RecordVisitor& visitor);

private:
    std::vector<std::unique_ptr<trace_analysis::ControllerTrace>> traces_;
    std::unique_ptr<trace_analysis::RecordStream> merged_;
};

/// Calls `on_history` for the histories that match, in the order in which they ended; it returns false to stop. Stops
/// by itself where no later record can concern a request within the filter's time. `on_record`, if any, gets every
/// record on the way.
void for_each_history(
    TraceInput& input, const trace_analysis::HistoryFilter& filter, const char* label,
    const std::function<bool(const trace_analysis::RequestHistory&, const trace_analysis::NameTable&)>& on_history,
    const std::function<void(const trace::Record&, const trace_analysis::NameTable&)>& on_record = {});

}  // namespace plumkeel::cli
