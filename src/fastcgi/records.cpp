#include "fastcgi/records.hpp"

#include <algorithm>

namespace plumkeel::fastcgi {
namespace {

constexpr unsigned char long_length_flag = 0x80;  // set in the first byte of a length encoded in four bytes
constexpr std::size_t long_length_bytes = 4;
constexpr std::size_t end_request_body_bytes = 8, end_request_reserved_bytes = 3;
constexpr std::size_t unknown_type_body_bytes = 8;

std::string encode_header(RecordType type, std::uint16_t request_id, std::size_t content_length) {
    return {static_cast<char>(protocol_version),
            static_cast<char>(type),
            static_cast<char>(request_id >> 8),
            static_cast<char>(request_id & 255),
            static_cast<char>(content_length >> 8),
            static_cast<char>(content_length & 255),
            0,
            0};
}

// Decodes the length of a name or value (one byte, or four with the top bit set) and removes it from `text`.
std::optional<std::size_t> take_length(std::string_view& text) {
    if (text.empty()) return {};
    const auto first = static_cast<unsigned char>(text[0]);
    if (first < long_length_flag) {
        text.remove_prefix(1);
        return first;
    }
    if (text.size() < long_length_bytes) return {};
    const std::size_t high = decode_uint16(text, 0) & 0x7fffu, low = decode_uint16(text, 2);
    text.remove_prefix(long_length_bytes);
    return high << 16 | low;
}

}  // namespace

std::uint16_t decode_uint16(std::string_view bytes, std::size_t offset) {
    return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[offset]) << 8 |
                                      static_cast<unsigned char>(bytes[offset + 1]));
}

std::optional<RecordHeader> RecordHeader::decode(std::string_view bytes) {
    if (bytes[0] != protocol_version) return {};
    return RecordHeader{.type = static_cast<RecordType>(bytes[1]),
                        .request_id = decode_uint16(bytes, 2),
                        .content_length = decode_uint16(bytes, 4),
                        .padding_length = static_cast<unsigned char>(bytes[6])};
}

std::optional<NameValuePairs> parse_pairs(std::string_view text) {
    NameValuePairs encoded;
    while (!text.empty()) {
        const auto name_length = take_length(text);
        if (!name_length) return {};
        const auto value_length = take_length(text);
        if (!value_length) return {};
        if (*name_length > text.size() || *value_length > text.size() - *name_length) return {};
        encoded.emplace_back(text.substr(0, *name_length), text.substr(*name_length, *value_length));
        text.remove_prefix(*name_length + *value_length);
    }
    return encoded;
}

std::string encode_stdout(std::uint16_t request_id, std::string_view text) {
    std::string encoded;
    encoded.reserve(text.size() + header_bytes * (text.size() / max_content_bytes + 1));
    while (!text.empty()) {
        const std::string_view content = text.substr(0, max_content_bytes);
        encoded += encode_header(RecordType::standard_output, request_id, content.size());
        encoded += content;
        text.remove_prefix(content.size());
    }
    return encoded;
}

std::string encode_end_request(std::uint16_t request_id, std::uint32_t app_status, ProtocolStatus protocol_status,
                               bool close_stdout) {
    std::string encoded;
    if (close_stdout) encoded += encode_header(RecordType::standard_output, request_id, 0);
    encoded += encode_header(RecordType::end_request, request_id, end_request_body_bytes);
    for (int shift = 24; shift >= 0; shift -= 8) encoded += static_cast<char>(app_status >> shift & 255);
    encoded += static_cast<char>(protocol_status);
    encoded.append(end_request_reserved_bytes, '\0');
    return encoded;
}

std::string encode_values(std::string_view requested, std::size_t max_connections, std::size_t max_requests) {
    const std::pair<std::string_view, std::string> known_values[] = {
        {"FCGI_MAX_CONNS", std::to_string(max_connections)},
        {"FCGI_MAX_REQS", std::to_string(max_requests)},
        {"FCGI_MPXS_CONNS", "1"}};
    const auto names = parse_pairs(requested).value_or(NameValuePairs{});
    std::string content;
    for (const auto& [name, value] : known_values) {
        const auto has_known_name = [&known_name = name](const auto& pair) { return pair.first == known_name; };
        if (std::ranges::none_of(names, has_known_name)) continue;
        content += static_cast<char>(name.size());
        content += static_cast<char>(value.size());
        content.append(name).append(value);
    }
    return encode_header(RecordType::get_values_result, 0, content.size()) + content;
}

std::string encode_unknown_type(std::uint8_t type) {
    return encode_header(RecordType::unknown_type, 0, unknown_type_body_bytes) + static_cast<char>(type) +
           std::string(unknown_type_body_bytes - 1, '\0');
}

}  // namespace plumkeel::fastcgi
