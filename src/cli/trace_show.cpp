/// \file
/// `plumkeel trace show`.
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
    std::string controller;  // empty: any
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

/// The numbers that the request may have in the trace; none if it is another controller's.
std::vector<std::uint64_t> numbers_in(const ControllerTrace& trace, const trace_analysis::NameTable& names,
                                      const RequestId& id) {
    const std::vector<std::string>& merged = names.controllers();
    if (merged.empty()) {
        if (!id.controller.empty() && trace.controller() != id.controller) return {};
        return {id.number};
    }
    std::vector<std::uint64_t> numbers;
    for (std::size_t i = 0; i < merged.size(); ++i)
        if (id.controller.empty() || merged[i] == id.controller) numbers.push_back(id.number * merged.size() + i);
    return numbers;
}

std::vector<Record> recorded(const ControllerTrace& trace, std::uint64_t request) {
    std::vector<Record> records;
    for (const auto& file : trace.files())
        file.reader->for_each_of_request(request, [&](const Record& record) {
            records.push_back(record);
            return true;
        });
    return records;
}

/// The request's records, with the transitions of a replay in place of those recorded: they hold the candidates.
std::vector<Record> with_replayed_transitions(ControllerTrace& trace, std::uint64_t request) {
    std::vector<Record> records;
    std::size_t transitions = 0;  // still to be replayed
    for (const Record& record : recorded(trace, request)) {
        if (record.type == trace::transition)
            ++transitions;
        else if (record.type != trace::actions)
            records.push_back(record);
    }
    trace::Replayer replayer({}, [&](const Record& record) {
        if (record.request == request) records.push_back(record);
    });
    Progress progress("replaying");
    trace.rewind();
    while (transitions > 0) {
        const auto record = trace.next();
        if (!record) break;
        replayer.feed(*record);
        if (record->request == request && record->type == trace::transition) --transitions;
        progress.update(trace.progress());
    }
    if (replayer.compare().first)
        fmt::print(stderr,
                   "plumkeel: this build decides differently from the one that recorded the trace; the reasons shown "
                   "may not be the original ones\n");
    // At the same time, calls come before the transitions that they caused.
    std::stable_sort(records.begin(), records.end(), [](const Record& a, const Record& b) { return a.at < b.at; });
    return records;
}

struct Shown {
    bool any{}, candidates{};
};

void show_from(ControllerTrace& trace, const RequestId& id, bool replay, Shown& shown) {
    trace_analysis::NameTable names(true);
    trace_analysis::HistoryBuilder builder(
        [&](const RequestHistory& history) {
            shown.any = true;
            for (const trace_analysis::StateTransition& each : history.transitions)
                shown.candidates = shown.candidates || !each.transition.candidates.empty();
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
    for (const std::uint64_t request : numbers_in(trace, names, id))
        for (const Record& record : replay ? with_replayed_transitions(trace, request) : recorded(trace, request))
            builder.feed(record);
    builder.finish();
}

}  // namespace

int show_request(const TraceOptions& options) {
    TraceInput input(options);
    const RequestId id = parse_request_id(options.request);
    Shown shown;
    for (const auto& trace : input.traces()) show_from(*trace, id, options.reasons, shown);
    if (!shown.any) {
        fmt::print(stderr, "plumkeel: no record of request {}\n", options.request);
        return 1;
    }
    if (!shown.candidates && !options.reasons)
        fmt::print("The candidate invokers were not recorded; --reasons finds them by a replay.\n");
    return 0;
}

}  // namespace plumkeel::cli
