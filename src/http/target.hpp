/// Parses and encodes HTTP request targets in origin form (RFC 9112, 3.2.1).
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plumkeel::http {

/// Returns the percent-decoded segments of the path; empty if the target is malformed.
std::vector<std::string> path_segments(std::string_view target);

/// Percent-encodes a path segment or a query parameter.
std::string percent_encode(std::string_view text);

/// Returns the percent-decoded names and values of the query parameters; empty if the target is malformed.
std::vector<std::pair<std::string, std::string>> query_parameters(std::string_view target);

}  // namespace plumkeel::http
