/// Reading and writing the head of HTTP messages.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace plumkeel::http {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

inline std::string_view to_string_view(beast::string_view text) {
    return {text.data(), text.size()};
}

/// Returns the value of a header field, or an empty text if the message does not have the field.
template <class Message>
std::string_view field(const Message& message, std::string_view name) {
    const auto it = message.find(beast::string_view(name.data(), name.size()));
    return it == message.end() ? std::string_view() : to_string_view(it->value());
}

/// Compares ASCII text ignoring case, as is required for names of header fields.
inline bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

/// Parses a number; empty unless the whole text is a number in the range of the type.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return {};
    return value;
}

/// Writes the head of an HTTP message. Names and values must not contain line breaks; parsed ones never do.
class HeadWriter {
public:
    explicit HeadWriter(std::string_view first_line) {
        text_.reserve(typical_head_bytes);
        text_.append(first_line).append("\r\n");
    }
    HeadWriter& add(std::string_view name, std::string_view value) {
        text_.append(name).append(": ").append(value).append("\r\n");
        return *this;
    }
    HeadWriter& add(std::string_view name, std::int64_t value) { return add(name, std::to_string(value)); }

    /// Adds complete header lines, each of which ends with a line break.
    HeadWriter& add_raw_lines(std::string_view lines) {
        text_ += lines;
        return *this;
    }

    /// Returns the head including the empty line at its end. The writer must not be used afterwards.
    std::string finish() { return std::move(text_ += "\r\n"); }

private:
    static constexpr std::size_t typical_head_bytes = 512;

    std::string text_;
};

/// Returns a status line with the standard reason phrase, without a line break.
std::string status_line(unsigned status);

/// Returns whether the gateway passes the header field on between client and invoker. It does not pass on fields that
/// concern a single connection (RFC 9110, 7.6.1), fields that it writes itself, and fields of its own protocol
/// (`plumkeel-`).
bool is_forwarded_header(std::string_view name);

}  // namespace plumkeel::http
