/// \file
/// The commands of `plumkeel trace`. Each returns the exit status and throws trace::TraceError or ConfigError.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "trace_analysis/history_filter.hpp"

namespace plumkeel::cli {

/// What the command line said; each command uses the options that it has.
struct TraceOptions {
    std::vector<std::string> files;
    std::vector<std::string> changes;  ///< NAME=VALUE
    std::vector<std::string> offsets;  ///< CONTROLLER=DURATION
    std::string request;               ///< NUMBER or NUMBER@CONTROLLER
    std::string from, to, outcome;     ///< As given; see filter_of.
    std::string output, svg, key_file, format = "json", step = "10s";
    trace_analysis::HistoryFilter filter;  ///< But for `from`, `to` and `outcome`.
    std::size_t limit = 1000;
    std::size_t top = 15;
    bool reasons{};
};

/// The filter with all that the options say.
trace_analysis::HistoryFilter filter_of(const TraceOptions& options);

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
