/// \file
/// Trace files in memory, records and histories for tests of the trace analysis.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/memory_file.hpp"
#include "tests/simulated_trace.hpp"
#include "trace/writer.hpp"
#include "trace_analysis/controller_trace.hpp"
#include "trace_analysis/history_builder.hpp"

namespace plumkeel::trace_analysis {

/// Trace files in memory, by name.
struct FileSet {
    std::map<std::string, MemoryFile> files;

    void write(const std::string& name, const std::vector<Record>& records, Time start_time = Time(1'000'000),
               std::size_t block_bytes = 1500) {
        trace::Writer writer(files[name], start_time, block_bytes);
        for (const Record& each : records) writer.add(each);
        writer.finish();
    }
    SourceOpener source_opener() {
        return [this](const std::string& name) { return std::make_unique<MemoryFile>(files.at(name)); };
    }
    std::vector<std::string> names() const {
        std::vector<std::string> out;
        for (const auto& [name, file] : files) out.push_back(name);
        return out;
    }
};

inline std::vector<Record> read_all(RecordStream& stream) {
    std::vector<Record> out;
    while (const auto record = stream.next()) out.push_back(*record);
    return out;
}

inline std::vector<RequestHistory> histories_of(const std::vector<Record>& records) {
    std::vector<RequestHistory> out;
    HistoryBuilder builder([&](const RequestHistory& history) { out.push_back(history); });
    for (const Record& each : records) builder.feed(each);
    builder.finish();
    return out;
}

inline Record submit_record(Time at, std::uint64_t request, std::uint64_t request_class = 0) {
    using namespace std::chrono_literals;
    return {at, trace::submit, request, trace::pack(trace::RequestSubmitted{request_class, 1, 0, 1, {}, 4s, false})};
}

inline Record transition_record(Time at, std::uint64_t request, RequestState to, DecisionReason reason,
                                std::optional<std::uint64_t> attempt = {}, std::uint64_t invoker = 0) {
    trace::TransitionRecord transition{to, reason, {}, {}, {}};
    if (attempt) transition.sent = trace::TransitionRecord::SentAttempt{*attempt, invoker, true, false};
    return {at, trace::transition, request, trace::pack(transition)};
}

inline Record attempt_ended_record(Time at, std::uint64_t request, std::uint64_t attempt, AttemptOutcome outcome) {
    return {at, trace::attempt_ended, request,
            trace::pack(trace::AttemptEnded{attempt, outcome, LoadEvent::none, 0, {}})};
}

/// Returns the records that define settings and names: controller "one", request class "u", tenant "t", function "f",
/// invokers "left" and "right".
inline std::vector<Record> definition_records() {
    using namespace std::chrono_literals;
    trace::SchedulerSettings scheduler_settings;
    scheduler_settings.name = "one";
    scheduler_settings.request_classes = {{"u", {1s, Idempotency::at_most_once, DeduplicationScope::global, 0s}}};
    scheduler_settings.tenants = {{"t", 0.0}};
    return {{Time{}, trace::settings, 0, trace::pack(scheduler_settings)},
            {Time{}, trace::function_defined, 0, trace::pack(trace::NameRecord{0, "f"})},
            {Time{}, trace::invoker_defined, 0, trace::pack(trace::NameRecord{0, "left"})},
            {Time{}, trace::invoker_defined, 0, trace::pack(trace::NameRecord{1, "right"})}};
}

inline SimulatedTraceOptions with_candidates() {
    SimulatedTraceOptions options;
    options.candidates = true;
    return options;
}

}  // namespace plumkeel::trace_analysis
