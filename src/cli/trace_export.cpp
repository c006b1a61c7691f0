/// \file
/// `plumkeel trace export`, which writes requests in a format for other tools.
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>

#include "cli/trace_input.hpp"
#include "trace_analysis/history_export.hpp"
#include "trace_analysis/summary.hpp"

namespace plumkeel::cli {
namespace {

using trace_analysis::NameTable;
using trace_analysis::RequestHistory;

/// Writes each matching request as a JSON object on its own line. Returns the number of requests.
std::uint64_t export_json(TraceInput& input, const trace_analysis::HistoryFilter& filter, std::ostream& out) {
    std::uint64_t requests = 0;
    for_each_history(input, filter, "exporting", [&](const RequestHistory& history, const NameTable& names) {
        ++requests;
        out << trace_analysis::to_json(history, names) << '\n';
        return true;
    });
    return requests;
}

/// Writes the matching requests as a JSON array of Chrome trace events. Returns the number of requests.
std::uint64_t export_chrome(TraceInput& input, const trace_analysis::HistoryFilter& filter, std::ostream& out) {
    std::uint64_t requests = 0;
    trace_analysis::Summary summary;  // used only to collect annotations
    out << "[\n";
    for_each_history(
        input, filter, "exporting",
        [&](const RequestHistory& history, const NameTable& names) {
            ++requests;
            out << trace_analysis::to_chrome_events(history, names);
            return true;
        },
        [&](const trace::Record& record, const NameTable& names) { summary.add_annotations(record, names); });
    for (const trace_analysis::Annotation& annotation : summary.annotations())
        out << trace_analysis::to_chrome_event(annotation.at, annotation.what);
    out << "{}]\n";  // the empty object ends the array, as a comma follows each event
    return requests;
}

}  // namespace

int export_requests(const TraceOptions& options) {
    const trace_analysis::HistoryFilter filter = make_filter(options);
    if (options.format != "json" && options.format != "chrome")
        throw trace::TraceError("--format " + options.format + ": must be json or chrome");
    const bool is_standard_output = options.output == "-";
    std::ofstream file;
    if (!is_standard_output) {
        file.open(options.output);
        if (!file) throw trace::TraceError(options.output + ": the file can't be opened for writing");
    }
    std::ostream& out = is_standard_output ? std::cout : file;
    TraceInput input(options, filter.from);
    const std::uint64_t requests =
        options.format == "chrome" ? export_chrome(input, filter, out) : export_json(input, filter, out);
    out.flush();
    if (!out) throw trace::TraceError(options.output + ": writing the file failed");
    fmt::print(stderr, "{} requests\n", requests);
    return 0;
}

}  // namespace plumkeel::cli
