/// \file
/// The subcommands of `plumkeel trace`. Each returns the exit status and throws trace::TraceError or ConfigError.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "trace_analysis/history_filter.hpp"

namespace plumkeel::cli {

/// Options of the `trace` subcommands; each subcommand uses only the options that it accepts.
struct TraceOptions {
    std::vector<std::string> files;
    std::vector<std::string> setting_changes;  ///< Arguments of --change: NAME=VALUE.
    std::vector<std::string> clock_offsets;    ///< Arguments of --offset: CONTROLLER=DURATION.
    std::string request;                       ///< The request to show: NUMBER or NUMBER@CONTROLLER.
    std::string from, to, outcome;             ///< Texts of --from, --to and --outcome; make_filter parses them.
    std::string output, svg_file, key_file, format = "json", step = "10s";
    trace_analysis::HistoryFilter filter;  ///< Without `from`, `to` and `outcome`, which make_filter adds.
    std::size_t max_requests = 1000;       ///< Greatest number of requests that `find` prints.
    std::size_t max_rows = 15;             ///< Greatest number of rows in each table of `summarise`.
    bool show_candidates{};                ///< `show` replays the trace to find the candidate invokers.
};

/// Returns `options.filter` with the parsed values of --from, --to and --outcome added.
trace_analysis::HistoryFilter make_filter(const TraceOptions& options);

int verify_traces(const TraceOptions& options);
int show_request(const TraceOptions& options);
int find_requests(const TraceOptions& options);
int cut_trace(const TraceOptions& options);
int merge_controllers(const TraceOptions& options);
int pseudonymize_trace(const TraceOptions& options);
int summarize_trace(const TraceOptions& options);
int export_requests(const TraceOptions& options);
int replay_traces(const TraceOptions& options);

}  // namespace plumkeel::cli
