/// \file
/// `plumkeel trace show`, which prints what happened to one request.
#include <fmt/format.h>

#include <algorithm>
#include <iostream>

#include "cli/progress.hpp"
#include "cli/trace_input.hpp"
#include "trace/reader.hpp"
#include "trace/replayer.hpp"
#include "trace_analysis/history_builder.hpp"
#include "trace_analysis/history_format.hpp"

namespace plumkeel::cli {
namespace {

using trace::Record;
using trace_analysis::ControllerTrace;
using trace_analysis::RequestHistory;

struct RequestId {
    std::uint64_t number{};
    std::string controller;  // empty: any controller
};

RequestId parse_request_id(const std::string& text) {
    const auto separator = text.find('@');
    RequestId id;
    if (separator != std::string::npos) id.controller = text.substr(separator + 1);
    try {
        id.number = std::stoull(text.substr(0, separator));
    } catch (const std::logic_error&) {
        throw trace::TraceError("'" + text + "' is neither a request's NUMBER nor NUMBER@CONTROLLER");
    }
    return id;
}

/// Returns the numbers that the request may have in the trace; none if it belongs to another controller. In a merged
/// trace of n controllers, request k of the controller at index i has the number k * n + i.
std::vector<std::uint64_t> request_numbers(const ControllerTrace& trace, const trace_analysis::NameTable& names,
                                           const RequestId& id) {
    const std::vector<std::string>& merged_controllers = names.controllers();
    if (merged_controllers.empty()) {
        if (!id.controller.empty() && trace.controller() != id.controller) return {};
        return {id.number};
    }
    std::vector<std::uint64_t> numbers;
    for (std::size_t i = 0; i < merged_controllers.size(); ++i)
        if (id.controller.empty() || merged_controllers[i] == id.controller)
            numbers.push_back(id.number * merged_controllers.size() + i);
    return numbers;
}

std::vector<Record> read_request_records(const ControllerTrace& trace, std::uint64_t request) {
    std::vector<Record> records;
    for (const auto& file : trace.files())
        file.reader->for_each_of_request(request, [&](const Record& record) {
            records.push_back(record);
            return true;
        });
    return records;
}

/// Returns the request's records, with the recorded state transitions replaced by those of a replay, which contain the
/// candidate invokers.
std::vector<Record> with_replayed_transitions(ControllerTrace& trace, std::uint64_t request) {
    std::vector<Record> records;
    std::size_t pending_transitions = 0;  // recorded transitions that are not yet replayed
    for (const Record& record : read_request_records(trace, request)) {
        if (record.type == trace::transition)
            ++pending_transitions;
        else if (record.type != trace::actions)
            records.push_back(record);
    }
    trace::Replayer replayer({}, [&](const Record& record) {
        if (record.request == request) records.push_back(record);
    });
    Progress progress("replaying");
    trace.rewind();
    while (pending_transitions > 0) {
        const auto record = trace.next();
        if (!record) break;
        replayer.feed(*record);
        if (record->request == request && record->type == trace::transition) --pending_transitions;
        progress.update(trace.progress());
    }
    if (replayer.compare().first)
        fmt::print(
            stderr,
            "plumkeel: this build decides differently from the one that recorded the trace; the candidates shown "
            "may not be the original ones\n");
    // The sort is stable: among records of the same time, calls stay before the transitions that they caused.
    std::stable_sort(records.begin(), records.end(), [](const Record& a, const Record& b) { return a.at < b.at; });
    return records;
}

struct DisplayResult {
    bool found{}, has_candidates{};
};

void show_request_in_trace(ControllerTrace& trace, const RequestId& id, bool replay, DisplayResult& result) {
    trace_analysis::NameTable names(true);
    trace_analysis::HistoryBuilder builder(
        [&](const RequestHistory& history) {
            result.found = true;
            for (const trace_analysis::StateTransition& state_transition : history.transitions)
                result.has_candidates = result.has_candidates || !state_transition.transition.candidates.empty();
            std::cout << trace_analysis::format_history(history, names);
        },
        true);
    for (const auto& file : trace.files())
        file.reader->for_each_name([&](const Record& record) {
            if (record.type == trace::function_released) return true;
            names.feed(record);
            builder.feed(record);
            return true;
        });
    for (const std::uint64_t request : request_numbers(trace, names, id))
        for (const Record& record :
             replay ? with_replayed_transitions(trace, request) : read_request_records(trace, request))
            builder.feed(record);
    builder.finish();
}

}  // namespace

int show_request(const TraceOptions& options) {
    TraceInput input(options);
    const RequestId id = parse_request_id(options.request);
    DisplayResult result;
    for (const auto& trace : input.traces()) show_request_in_trace(*trace, id, options.show_candidates, result);
    if (!result.found) {
        fmt::print(stderr, "plumkeel: the traces contain no record of request {}\n", options.request);
        return 1;
    }
    if (!result.has_candidates && !options.show_candidates)
        fmt::print("The candidate invokers were not recorded; --reasons finds them by a replay.\n");
    return 0;
}

}  // namespace plumkeel::cli
