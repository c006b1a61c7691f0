// HTTP/1.1 on our streams: Beast parses and writes the text, this reads it piece by piece within bounds.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::http {

namespace beast = boost::beast;
namespace bh = boost::beast::http;

inline std::string_view view(beast::string_view text) {
    return {text.data(), text.size()};
}

template <class Message>
std::string_view field(const Message& message, std::string_view name) {
    const auto it = message.find(beast::string_view(name.data(), name.size()));
    return it == message.end() ? std::string_view() : view(it->value());
}

inline bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

// A whole number, if all of the text is one.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return {};
    return value;
}

// Writes a head. Names and values must hold no line ends; those read by a parser hold none.
class HeadWriter {
public:
    explicit HeadWriter(std::string_view first_line) {
        text_.reserve(512);  // most heads fit
        text_.append(first_line).append("\r\n");
    }
    HeadWriter& add(std::string_view name, std::string_view value) {
        text_.append(name).append(": ").append(value).append("\r\n");
        return *this;
    }
    HeadWriter& add(std::string_view name, std::int64_t value) { return add(name, std::to_string(value)); }
    HeadWriter& add_raw_lines(std::string_view whole) {  // each already ended
        text_ += whole;
        return *this;
    }
    std::string finish() { return std::move(text_ += "\r\n"); }

private:
    std::string text_;
};

std::string status_line(unsigned status);

// Fields that concern one connection alone, by RFC 9110, or that our own protocol writes anew.
bool is_forwarded_header(std::string_view name);
// Bytes that came in and were not parsed yet, of one connection. Holds at most `most`.
class ReadBuffer {
public:
    explicit ReadBuffer(std::shared_ptr<net::Stream> stream, std::size_t most = 128 * 1024)
        : stream_(std::move(stream)), buffer_(most) {}

    // Waits for more bytes. No room left is no_buffer_space.
    net::Task<net::Error> read_more();
    std::size_t size() const { return buffer_.size(); }
    void discard() { buffer_.consume(buffer_.size()); }

    // Hands the parser what is there. True when it has consumed something or wants no more.
    template <class Parser>
    net::Error feed(Parser& parser) {
        net::Error error;
        const std::size_t used = parser.put(buffer_.data(), error);
        buffer_.consume(used);
        if (error == bh::error::need_more) error = {};
        return error;
    }

private:
    std::shared_ptr<net::Stream> stream_;
    beast::flat_buffer buffer_;
};

// The path's parts behind the leading slash, percent-decoded; empty where the target is malformed.
std::vector<std::string> path_segments(std::string_view target);
// Its inverse for one part.
std::string percent_encode(std::string_view part);
// What stands behind the question mark, as name and value pairs.
std::vector<std::pair<std::string, std::string>> query_parameters(std::string_view target);

}  // namespace plumkeel::http
