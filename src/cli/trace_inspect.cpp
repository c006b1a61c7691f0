/// \file
/// `plumkeel trace verify`, which checks trace files, and `find`, which lists requests.
#include <fmt/format.h>

#include <cstdio>
#include <iostream>

#include "cli/progress.hpp"
#include "cli/trace_input.hpp"
#include "trace/file.hpp"
#include "trace/reader.hpp"
#include "trace/records.hpp"
#include "trace_analysis/history_format.hpp"

namespace plumkeel::cli {
namespace {

using trace::Record;
using trace::Time;

struct FileContents {
    std::uint64_t records{}, gaps{};
    std::optional<Time> first_at;
    Time last_at{};
    std::string derivation;
};

FileContents read_contents(const std::string& name, trace::Reader& reader) {
    FileContents contents;
    Progress progress(name);
    for (std::size_t block = 0; block < reader.blocks().size();) {
        for (const Record& record : reader.next_block(block)) {
            ++contents.records;
            if (!contents.first_at) contents.first_at = record.at;
            contents.last_at = record.at;
            contents.gaps += record.type == trace::gap;
            if (record.type == trace::resumed)
                contents.derivation = trace::unpack<trace::Resumed>(record.body).derivation;
        }
        progress.update(static_cast<double>(block) / static_cast<double>(reader.blocks().size()));
    }
    return contents;
}

}  // namespace

int verify_traces(const TraceOptions& options) {
    int status = 0;
    for (const std::string& name : options.files) {
        const trace::FileSource source(name);
        trace::Reader reader(source);
        const FileContents contents = read_contents(name, reader);
        fmt::print("{}: {} records in {} blocks, {:.3f} to {:.3f} s, {}{}{}\n", name, contents.records,
                   reader.blocks().size(), to_seconds(contents.first_at.value_or(Time{})), to_seconds(contents.last_at),
                   reader.finished() ? "finished" : "not finished",
                   contents.derivation.empty() ? "" : ", " + contents.derivation,
                   contents.gaps ? fmt::format(", {} gaps where the recorder dropped records", contents.gaps) : "");
        std::fflush(stdout);
        print_damage(name, reader);
        if (!reader.damage().empty()) status = 1;
    }
    return status;
}

int find_requests(const TraceOptions& options) {
    const trace_analysis::HistoryFilter filter = make_filter(options);
    TraceInput input(options, filter.from);
    std::size_t found_requests = 0;
    for_each_history(input, filter, "finding",
                     [&](const trace_analysis::RequestHistory& history, const trace_analysis::NameTable& names) {
                         std::cout << trace_analysis::format_line(history, names) << '\n';
                         return ++found_requests < options.max_requests;
                     });
    fmt::print("{} requests{}\n", found_requests,
               found_requests == options.max_requests ? ", and perhaps more: see --limit" : "");
    return found_requests ? 0 : 1;
}

}  // namespace plumkeel::cli
