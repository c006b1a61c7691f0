#include "http/headers.hpp"

#include <algorithm>
#include <array>

namespace plumkeel::http {
namespace {

constexpr std::string_view protocol_prefix = "plumkeel-";

constexpr std::array<std::string_view, 13> unforwarded_headers{
    "connection",        "keep-alive", "proxy-authenticate",    "proxy-authorization", "te",   "trailer",
    "transfer-encoding", "upgrade",    "endpoint-load-metrics", "content-length",      "host", "expect",
    "proxy-connection"};

}  // namespace

std::string status_line(unsigned status) {
    return "HTTP/1.1 " + std::to_string(status) + " " +
           std::string(to_string_view(beast_http::obsolete_reason(beast_http::int_to_status(status))));
}

bool is_forwarded_header(std::string_view name) {
    if (equals_ignoring_case(name.substr(0, protocol_prefix.size()), protocol_prefix)) return false;
    return std::ranges::none_of(unforwarded_headers,
                                [name](std::string_view header) { return equals_ignoring_case(name, header); });
}

}  // namespace plumkeel::http
