#include "cli/trace_input.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

#include "cli/progress.hpp"
#include "config/jsonnet_reader.hpp"
#include "trace_analysis/history_builder.hpp"
#include "trace_analysis/merged_stream.hpp"

namespace plumkeel::cli {
namespace {

using trace::Record;
using trace::Time;
using trace_analysis::ControllerTrace;
using trace_analysis::HistoryBuilder;
using trace_analysis::NameTable;
using trace_analysis::RequestHistory;

constexpr std::uint64_t records_per_progress_update = 4096;
/// Records of a request may be written this long after its deadline.
constexpr Time deadline_tolerance = std::chrono::seconds(1);

Time parse_signed_duration(const std::string& text) {
    return text.starts_with('-') ? -parse_duration(text.substr(1)) : parse_duration(text);
}

}  // namespace

double to_seconds(Time duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

void print_damage(const std::string& file, const trace::Reader& reader) {
    for (const trace::Damage& damage : reader.damage())
        fmt::print(stderr, "{}: {} at byte {}, {} bytes lost{}{}\n", file, damage.what, damage.offset, damage.bytes,
                   damage.after ? fmt::format(", after records up to {:.3f} s", to_seconds(*damage.after)) : "",
                   damage.before ? fmt::format(", before records from {:.3f} s", to_seconds(*damage.before)) : "");
}

trace_analysis::HistoryFilter make_filter(const TraceOptions& options) {
    trace_analysis::HistoryFilter filter = options.filter;
    if (!options.from.empty()) filter.from = parse_duration(options.from);
    if (!options.to.empty()) filter.to = parse_duration(options.to);
    if (!options.outcome.empty()) filter.outcome = trace_analysis::parse_outcome_filter(options.outcome);
    return filter;
}

std::vector<Time> parse_clock_offsets(const std::vector<std::string>& arguments,
                                      const std::vector<std::unique_ptr<ControllerTrace>>& traces) {
    std::vector<Time> offsets(traces.size());
    for (const std::string& argument : arguments) {
        const auto equals = argument.find('=');
        const auto trace = std::find_if(traces.begin(), traces.end(), [&](const auto& candidate) {
            return equals != std::string::npos && candidate->controller() == argument.substr(0, equals);
        });
        if (trace == traces.end())
            throw trace::TraceError("--offset " + argument +
                                    ": must be CONTROLLER=DURATION, with a controller whose trace was given");
        offsets[static_cast<std::size_t>(trace - traces.begin())] = parse_signed_duration(argument.substr(equals + 1));
    }
    return offsets;
}

TraceInput::TraceInput(const TraceOptions& options, std::optional<Time> from)
    : traces_(trace_analysis::open_traces(options.files, trace_analysis::open_file_source())) {
    if (traces_.size() == 1) {
        traces_.front()->rewind(from);
        return;
    }
    std::vector<ControllerTrace*> trace_pointers;
    for (const auto& trace : traces_) trace_pointers.push_back(trace.get());
    merged_stream_ = std::make_unique<trace_analysis::MergedStream>(
        trace_pointers, parse_clock_offsets(options.clock_offsets, traces_), from);
}

TraceInput::~TraceInput() {
    for (const auto& trace : traces_)
        for (const auto& file : trace->files()) print_damage(file.name, *file.reader);
}

trace_analysis::RecordStream& TraceInput::stream() {
    if (merged_stream_) return *merged_stream_;
    return *traces_.front();
}

void TraceInput::for_each(const char* label, const RecordVisitor& visitor) {
    Progress progress(label);
    std::uint64_t count = 0;
    while (const auto record = stream().next()) {
        if (!visitor(*record)) return;
        if (++count % records_per_progress_update == 0) progress.update(stream().progress());
    }
}

void for_each_history(TraceInput& input, const trace_analysis::HistoryFilter& filter, const char* label,
                      const std::function<bool(const RequestHistory&, const NameTable&)>& on_history,
                      const std::function<void(const Record&, const NameTable&)>& on_record) {
    bool wants_more = true;
    const NameTable* names = nullptr;
    HistoryBuilder builder(
        [&](const RequestHistory& history) {
            if (wants_more && filter.matches(history)) wants_more = on_history(history, *names);
        },
        true);
    names = &builder.names();
    input.for_each(label, [&](const Record& record) {
        builder.feed(record);
        if (on_record) on_record(record, *names);
        const bool is_past_filter = filter.to && record.at > *filter.to + builder.max_remaining() + deadline_tolerance;
        return wants_more && !is_past_filter;
    });
    builder.finish();
}

}  // namespace plumkeel::cli
