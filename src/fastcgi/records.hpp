/// Records of FastCGI 1.0 as an application in the role Responder exchanges them: headers, name-value pairs and the
/// records of a response. Free of I/O and clocks.
///
/// Source: FastCGI Specification 1.0, sections 3 to 5. The record types and flags of that protocol are named here only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plumkeel::fastcgi {

enum class RecordType : std::uint8_t {
    begin_request = 1,
    abort_request = 2,
    end_request = 3,
    params = 4,
    standard_input = 5,
    standard_output = 6,
    get_values = 9,
    get_values_result = 10,
    unknown_type = 11,
};

/// How a request ended, as the protocol knows it (FCGI_END_REQUEST).
enum class ProtocolStatus : std::uint8_t { request_complete = 0, overloaded = 2, unknown_role = 3 };

constexpr std::uint8_t protocol_version = 1;
constexpr std::uint16_t responder_role = 1;
constexpr std::uint8_t keep_connection_flag = 1;  // of a begin record
constexpr std::size_t header_bytes = 8, begin_body_bytes = 8;
constexpr std::size_t max_content_bytes = 65535;

struct RecordHeader {
    RecordType type{};           // any byte: not all values are named
    std::uint16_t request_id{};  // 0 in management records
    std::size_t content_length{}, padding_length{};

    /// From exactly header_bytes bytes; nothing where the version is not protocol_version.
    static std::optional<RecordHeader> decode(std::string_view bytes);
};

/// A 16 bit number in network byte order.
std::uint16_t decode_uint16(std::string_view bytes, std::size_t offset);

using NameValuePairs = std::vector<std::pair<std::string_view, std::string_view>>;
/// Views into `text`; nothing where it is malformed.
std::optional<NameValuePairs> parse_pairs(std::string_view text);

/// Output records of a response; text longer than max_content_bytes takes several, empty text none.
std::string encode_stdout(std::uint16_t request_id, std::string_view text);
/// The record that ends a request, behind an empty output record where `close_stdout` is set.
std::string encode_end_request(std::uint16_t request_id, std::uint32_t app_status, ProtocolStatus protocol_status,
                               bool close_stdout);
/// The answer to FCGI_GET_VALUES: of the names in `requested` (name-value pairs) those that are known.
std::string encode_values(std::string_view requested, std::size_t max_connections, std::size_t max_requests);
std::string encode_unknown_type(std::uint8_t type);

}  // namespace plumkeel::fastcgi
