/// Bytes of the platform's protocols as the controllers' peers write and read them: FastCGI of clients, and discovery's
/// frames. Independent of the codecs of src, so that tests and emulated peers check these.
#pragma once

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plumkeel::bytes {

/// A FastCGI record.
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

/// A FastCGI name and value.
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

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string params_of(const Fields& fields) {
    std::string out;
    for (const auto& [name, value] : fields) out += pair(name, value);
    return out;
}

/// A whole FastCGI request, its parameters and body split into padded records of at most `piece` bytes.
inline std::string message(int number, const Fields& fields, std::string_view body = "", std::size_t piece = 1000,
                           int padding = 3) {
    std::string out = record(1, number, std::string_view("\0\1\1\0\0\0\0\0", 8));
    const std::string params = params_of(fields);
    for (std::size_t at = 0; at < params.size(); at += piece)
        out += record(4, number, std::string_view(params).substr(at, piece), padding);
    out += record(4, number, "");
    for (std::size_t at = 0; at < body.size(); at += piece) out += record(5, number, body.substr(at, piece), padding);
    return out + record(5, number, "");
}

/// Parameters of a request for the function `key`.
inline Fields request_fields(const std::string& id, const std::string& key, int left_ms = 2000) {
    return {{"SCRIPT_NAME", "/invoke/preview"}, {"HTTP_REQUEST_ID", id},    {"HTTP_BUDGET_MS", std::to_string(left_ms)},
            {"HTTP_ACCOUNT", "acme"},           {"HTTP_RESOURCE_KEY", key}, {"HTTP_X_TAGS", "memory_mb:512;lanes:1"}};
}

inline std::string hex16(std::uint64_t value) {
    return fmt::format("{:016x}", value);
}

/// A FastCGI response.
struct FastcgiResponse {
    std::string text;       // of its output records
    int protocol_status{};  // of its end record
    int end_records{};      // how many end records came
    std::string status() const { return text.size() > 11 && text.starts_with("Status: ") ? text.substr(8, 3) : ""; }
    std::string body() const {
        const auto at = text.find("\r\n\r\n");
        return at == std::string::npos ? "" : text.substr(at + 4);
    }
};

/// The responses in a controller's bytes, by request number; nothing where these are malformed.
inline std::optional<std::map<int, FastcgiResponse>> parse_responses(std::string_view got) {
    std::map<int, FastcgiResponse> out;
    while (!got.empty()) {
        if (got.size() < 8 || got[0] != 1) return {};
        const auto at = [&](std::size_t i) { return static_cast<std::size_t>(static_cast<unsigned char>(got[i])); };
        const int type = static_cast<int>(at(1)), number = static_cast<int>(at(2) << 8 | at(3));
        const std::size_t length = at(4) << 8 | at(5), padding = at(6);
        if (got.size() < 8 + length + padding) return {};
        const std::string_view content = got.substr(8, length);
        if (type == 6) out[number].text += content;
        if (type == 3) {
            ++out[number].end_records;
            out[number].protocol_status = content[4];
        }
        got.remove_prefix(8 + length + padding);
    }
    return out;
}

inline std::string big_endian(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 255);
    return out;
}

/// An endpoint in a frame of changes.
struct EndpointEntry {
    std::uint32_t id;
    std::string address;  // IPv4, dotted
    int port = 7001, state = 0;
    std::uint64_t started = 0;  // Unix milliseconds; 0: long ago
};

inline std::string encode_endpoint(const EndpointEntry& it) {
    std::string out = big_endian(it.id, 4);
    std::string_view left = it.address;
    for (int i = 0; i < 4; ++i) {
        out += static_cast<char>(std::stoi(std::string(left.substr(0, left.find('.')))));
        left.remove_prefix(std::min(left.find('.') + 1, left.size()));
    }
    return out + big_endian(static_cast<std::uint64_t>(it.port), 2) + static_cast<char>(it.state) + '\0' + '\0' +
           big_endian(0, 2) + big_endian(5000, 4) + big_endian(it.started, 8);
}

/// A discovery frame: `kind` 0 is a heartbeat, 2 holds changes.
inline std::string frame(std::uint64_t number, int kind, const std::vector<EndpointEntry>& rows = {}) {
    std::string payload;
    for (const EndpointEntry& each : rows) payload += encode_endpoint(each);
    return big_endian(9 + payload.size(), 4) + big_endian(number, 8) + static_cast<char>(kind) + payload;
}

}  // namespace plumkeel::bytes
