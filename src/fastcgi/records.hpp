/// Codec for the records of a FastCGI 1.0 application in the role Responder: headers, name-value pairs and response
/// records (FastCGI Specification 1.0, sections 3 to 5). Free of I/O and clocks.
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

/// The protocolStatus field of an FCGI_END_REQUEST record.
enum class ProtocolStatus : std::uint8_t { request_complete = 0, overloaded = 2, unknown_role = 3 };

constexpr std::uint8_t protocol_version = 1;
constexpr std::uint16_t responder_role = 1;
constexpr std::uint8_t keep_connection_flag = 1;  // FCGI_KEEP_CONN in an FCGI_BEGIN_REQUEST record
constexpr std::size_t header_bytes = 8, begin_body_bytes = 8;
constexpr std::size_t max_content_bytes = 65535;

struct RecordHeader {
    RecordType type{};           // may hold a value that the enum does not name
    std::uint16_t request_id{};  // 0 marks a management record
    std::size_t content_length{}, padding_length{};

    /// Decodes exactly header_bytes bytes; empty if the version is not protocol_version.
    static std::optional<RecordHeader> decode(std::string_view bytes);
};

/// Decodes a 16-bit number in network byte order.
std::uint16_t decode_uint16(std::string_view bytes, std::size_t offset);

using NameValuePairs = std::vector<std::pair<std::string_view, std::string_view>>;
/// Parses name-value pairs into views of `text`; empty if the text is malformed.
std::optional<NameValuePairs> parse_pairs(std::string_view text);

/// Encodes response text as FCGI_STDOUT records of at most max_content_bytes each; no record for empty text.
std::string encode_stdout(std::uint16_t request_id, std::string_view text);
/// Encodes FCGI_END_REQUEST, preceded by an empty FCGI_STDOUT record if `close_stdout` is set.
std::string encode_end_request(std::uint16_t request_id, std::uint32_t app_status, ProtocolStatus protocol_status,
                               bool close_stdout);
/// Encodes FCGI_GET_VALUES_RESULT with the values of the supported names in `requested` (name-value pairs).
std::string encode_values(std::string_view requested, std::size_t max_connections, std::size_t max_requests);
std::string encode_unknown_type(std::uint8_t type);

}  // namespace plumkeel::fastcgi
