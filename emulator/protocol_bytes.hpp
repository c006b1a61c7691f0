/// Encoding and decoding of the platform's protocols for emulated peers of the controllers: FastCGI of the clients, and
/// discovery frames. Independent of the codecs in src, so that tests can find errors in those.
#pragma once

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plumkeel::bytes {

/// Encodes a FastCGI record of the request `number`.
inline std::string record(int type, int number, std::string_view content, int padding = 0) {
    std::string out{1,
                    static_cast<char>(type),
                    static_cast<char>(number >> 8),
                    static_cast<char>(number & 255),
                    static_cast<char>(content.size() >> 8),
                    static_cast<char>(content.size() & 255),
                    static_cast<char>(padding),
                    0};
    return out.append(content).append(static_cast<std::size_t>(padding), '\7');
}

/// Encodes a FastCGI name-value pair.
inline std::string pair(std::string_view name, std::string_view value) {
    std::string out;
    for (const std::string_view each : {name, value}) {
        if (each.size() < 128) {
            out += static_cast<char>(each.size());
        } else {
            out += static_cast<char>(0x80 | each.size() >> 24);
            for (int shift = 16; shift >= 0; shift -= 8) out += static_cast<char>(each.size() >> shift & 255);
        }
    }
    return out.append(name).append(value);
}

/// Names and values of FastCGI parameters.
using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string params_of(const Fields& fields) {
    std::string out;
    for (const auto& [name, value] : fields) out += pair(name, value);
    return out;
}

/// Encodes a complete FastCGI request. Splits its parameters and its body into padded records of at most
/// `max_content_bytes` bytes of content.
inline std::string message(int number, const Fields& fields, std::string_view body = "",
                           std::size_t max_content_bytes = 1000, int padding = 3) {
    std::string out = record(1, number, std::string_view("\0\1\1\0\0\0\0\0", 8));
    const std::string params = params_of(fields);
    for (std::size_t at = 0; at < params.size(); at += max_content_bytes)
        out += record(4, number, std::string_view(params).substr(at, max_content_bytes), padding);
    out += record(4, number, "");
    for (std::size_t at = 0; at < body.size(); at += max_content_bytes)
        out += record(5, number, body.substr(at, max_content_bytes), padding);
    return out + record(5, number, "");
}

/// Parameters of a request for `function` that must be answered within `remaining_ms`.
inline Fields request_fields(const std::string& id, const std::string& function, int remaining_ms = 2000) {
    return {{"SCRIPT_NAME", "/invoke/preview"},
            {"HTTP_REQUEST_ID", id},
            {"HTTP_BUDGET_MS", std::to_string(remaining_ms)},
            {"HTTP_ACCOUNT", "acme"},
            {"HTTP_RESOURCE_KEY", function},
            {"HTTP_X_TAGS", "memory_mb:512;lanes:1"}};
}

/// Formats a number as 16 hexadecimal digits.
inline std::string hex16(std::uint64_t value) {
    return fmt::format("{:016x}", value);
}

/// A decoded FastCGI response.
struct FastcgiResponse {
    std::string text;       // content of the output records
    int protocol_status{};  // protocol status in the last end record
    int end_records{};      // number of end records
    std::string status() const { return text.size() > 11 && text.starts_with("Status: ") ? text.substr(8, 3) : ""; }
    std::string body() const {
        const auto at = text.find("\r\n\r\n");
        return at == std::string::npos ? "" : text.substr(at + 4);
    }
};

/// Decodes the responses that a controller sent, by request number. Returns nothing if `received` is malformed.
inline std::optional<std::map<int, FastcgiResponse>> parse_responses(std::string_view received) {
    std::map<int, FastcgiResponse> out;
    while (!received.empty()) {
        if (received.size() < 8 || received[0] != 1) return {};
        const auto byte_at = [&](std::size_t i) {
            return static_cast<std::size_t>(static_cast<unsigned char>(received[i]));
        };
        const int type = static_cast<int>(byte_at(1)), number = static_cast<int>(byte_at(2) << 8 | byte_at(3));
        const std::size_t length = byte_at(4) << 8 | byte_at(5), padding = byte_at(6);
        if (received.size() < 8 + length + padding) return {};
        const std::string_view content = received.substr(8, length);
        if (type == 6) out[number].text += content;
        if (type == 3) {
            ++out[number].end_records;
            out[number].protocol_status = content[4];
        }
        received.remove_prefix(8 + length + padding);
    }
    return out;
}

/// Encodes the low `byte_count` bytes of an integer in big-endian order.
inline std::string big_endian(std::uint64_t value, int byte_count) {
    std::string out;
    for (int i = byte_count - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 255);
    return out;
}

/// An endpoint in a discovery frame.
struct EndpointEntry {
    std::uint32_t id;
    std::string address;  // IPv4 address in dotted notation
    int port = 7001, state = 0;
    std::uint64_t started_unix_ms = 0;  // start time of the invoker; 0: unknown
};

inline std::string encode_endpoint(const EndpointEntry& endpoint) {
    std::string out = big_endian(endpoint.id, 4);
    std::string_view remaining_address = endpoint.address;
    for (int i = 0; i < 4; ++i) {
        out += static_cast<char>(std::stoi(std::string(remaining_address.substr(0, remaining_address.find('.')))));
        remaining_address.remove_prefix(std::min(remaining_address.find('.') + 1, remaining_address.size()));
    }
    return out + big_endian(static_cast<std::uint64_t>(endpoint.port), 2) + static_cast<char>(endpoint.state) + '\0' +
           '\0' + big_endian(0, 2) + big_endian(5000, 4) + big_endian(endpoint.started_unix_ms, 8);
}

/// Encodes a discovery frame. Kind 0 is a heartbeat, 1 is a complete list, 2 is a list of changes.
inline std::string frame(std::uint64_t number, int kind, const std::vector<EndpointEntry>& endpoints = {}) {
    std::string payload;
    for (const EndpointEntry& each : endpoints) payload += encode_endpoint(each);
    return big_endian(9 + payload.size(), 4) + big_endian(number, 8) + static_cast<char>(kind) + payload;
}

}  // namespace plumkeel::bytes
