/// \file
/// `plumkeel trace cut`, `merge` and `anonymise`, which write a trace file derived from other trace files.
#include <fmt/format.h>

#include <fstream>
#include <random>
#include <unordered_set>

#include "cli/progress.hpp"
#include "cli/trace_input.hpp"
#include "cli/trace_output.hpp"
#include "trace/records.hpp"
#include "trace_analysis/clock_offset.hpp"
#include "trace_analysis/merged_stream.hpp"
#include "trace_analysis/pseudonymizer.hpp"

namespace plumkeel::cli {
namespace {

using trace::Record;
using trace::Time;
using trace_analysis::ControllerTrace;

// Descriptions of how a trace file was derived; TraceOutput stores them in the file.
constexpr const char* cut_derivation = "a cut";
constexpr const char* merged_derivation = "merged of several controllers";
constexpr const char* pseudonymized_derivation = "without its names";

constexpr int random_key_bytes = 32;
constexpr std::uint64_t records_per_progress_update = 4096;

std::unordered_set<std::uint64_t> matching_requests(const TraceOptions& options,
                                                    const trace_analysis::HistoryFilter& filter) {
    std::unordered_set<std::uint64_t> requests;
    TraceInput input(options);
    for_each_history(input, filter, "choosing",
                     [&](const trace_analysis::RequestHistory& history, const trace_analysis::NameTable&) {
                         requests.insert(history.request);
                         return true;
                     });
    return requests;
}

/// Estimates the clock offset of each controller from events that the first controller also recorded, and prints it.
std::vector<Time> estimate_and_print_offsets(const std::vector<ControllerTrace*>& traces) {
    const auto estimates = trace_analysis::estimate_offsets(traces);
    std::vector<Time> offsets;
    for (const trace_analysis::ClockOffset& estimate : estimates) offsets.push_back(estimate.offset);
    const std::string& first_controller = traces.front()->controller();
    for (std::size_t i = 1; i < traces.size(); ++i) {
        const trace_analysis::ClockOffset& estimate = estimates[i];
        if (estimate.events)
            fmt::print(
                "{}: clock corrected by {:+.1f} ms, estimated from {} events that {} also recorded (median deviation "
                "{:.1f} ms)\n",
                traces[i]->controller(), to_seconds(estimate.offset) * 1e3, estimate.events, first_controller,
                to_seconds(estimate.deviation) * 1e3);
        else
            fmt::print("{}: clock not corrected: too few events that {} also recorded\n", traces[i]->controller(),
                       first_controller);
    }
    return offsets;
}

/// Returns the first line of the key file. Without a key file, returns a random key, so that the pseudonyms differ from
/// those of every other file.
std::string read_key(const std::string& key_file) {
    std::string key;
    if (!key_file.empty()) {
        std::ifstream file(key_file);
        if (!std::getline(file, key)) throw trace::TraceError(key_file + ": the key file can't be read or is empty");
        return key;
    }
    std::random_device random_source;
    for (int i = 0; i < random_key_bytes; ++i) key.push_back(static_cast<char>(random_source()));
    return key;
}

}  // namespace

int cut_trace(const TraceOptions& options) {
    const trace_analysis::HistoryFilter filter = make_filter(options);
    const std::unordered_set<std::uint64_t> requests = matching_requests(options, filter);
    TraceInput input(options);
    TraceOutput output(options.output, input.stream().start_time(), cut_derivation);
    const auto is_included = [&](const Record& record) {
        if (record.type == trace::actions || record.type == trace::wake) return false;
        if (trace::is_name_type(record.type) && record.type != trace::gap) return true;
        if (record.request) return requests.count(record.request) > 0;
        return (!filter.from || record.at >= *filter.from) && (!filter.to || record.at < *filter.to);
    };
    input.for_each("cutting", [&](const Record& record) {
        if (is_included(record)) output.add(record);
        return true;
    });
    fmt::print("{}: {} requests, {} records\n", options.output, requests.size(), output.finish());
    return requests.empty() ? 1 : 0;
}

int merge_controllers(const TraceOptions& options) {
    const auto traces = trace_analysis::open_traces(options.files, trace_analysis::open_file_source());
    std::vector<ControllerTrace*> trace_pointers;
    for (const auto& trace : traces) trace_pointers.push_back(trace.get());
    const std::vector<Time> offsets = options.clock_offsets.empty()
                                          ? estimate_and_print_offsets(trace_pointers)
                                          : parse_clock_offsets(options.clock_offsets, TraceInput(options).traces());
    trace_analysis::MergedStream stream(trace_pointers, offsets);
    TraceOutput output(options.output, stream.start_time(), merged_derivation);
    Progress progress("merging");
    std::uint64_t count = 0;
    while (const auto record = stream.next()) {
        output.add(*record);
        if (++count % records_per_progress_update == 0) progress.update(stream.progress());
    }
    fmt::print("{}: {} controllers, {} records\n", options.output, trace_pointers.size(), output.finish());
    return 0;
}

int pseudonymize_trace(const TraceOptions& options) {
    const trace_analysis::Pseudonymizer pseudonymizer(read_key(options.key_file));
    TraceInput input(options);
    TraceOutput output(options.output, input.stream().start_time(), pseudonymized_derivation);
    input.for_each("anonymising", [&](const Record& record) {
        if (const auto pseudonymized = pseudonymizer.pseudonymize(record)) output.add(*pseudonymized);
        return true;
    });
    fmt::print("{}: {} records\n", options.output, output.finish());
    return 0;
}

}  // namespace plumkeel::cli
