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

/// Value of the named field, or empty if the message has none.
template <class Message>
std::string_view field(const Message& message, std::string_view name) {
    const auto it = message.find(beast::string_view(name.data(), name.size()));
    return it == message.end() ? std::string_view() : to_string_view(it->value());
}

/// Compares ASCII text without regard to case, as for field names.
inline bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

/// The number that makes up the whole text; empty if it is none or out of range.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return {};
    return value;
}

/// Writes a message head. Names and values must not contain line breaks; those that a parser read contain none.
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

    /// Adds field lines that are complete, each with its line break.
    HeadWriter& add_raw_lines(std::string_view lines) {
        text_ += lines;
        return *this;
    }

    /// Returns the head with the empty line that ends it. The writer must not be used afterwards.
    std::string finish() { return std::move(text_ += "\r\n"); }

private:
    static constexpr std::size_t typical_head_bytes = 512;

    std::string text_;
};

/// Status line without its line break, with the standard reason phrase.
std::string status_line(unsigned status);

/// Whether a proxy passes the field on. Not passed on are fields that concern a single connection (RFC 9110, 7.6.1),
/// fields that the gateway writes itself, and those of its own protocol (`plumkeel-`).
bool is_forwarded_header(std::string_view name);

}  // namespace plumkeel::http
