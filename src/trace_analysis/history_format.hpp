/// \file
/// Histories of requests as text for a person.
#pragma once

#include <string>

#include "trace_analysis/request_history.hpp"

namespace plumkeel::trace_analysis {

/// Several lines: the request, then what happened to it in order, and its outcome. Times are since the request was
/// received.
std::string format_history(const RequestHistory& history, const NameTable& names);
/// One line, without its end.
std::string format_line(const RequestHistory& history, const NameTable& names);

}  // namespace plumkeel::trace_analysis
