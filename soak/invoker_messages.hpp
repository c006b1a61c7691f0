/// Messages between controllers and invokers, taken out of a stream of bytes: a line, and the body whose length is its
/// last word. Free of I/O.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::soak {

// First words of a controller's messages.
constexpr std::string_view run_message = "RUN", cancel_message = "STOP", load_message = "INFO", ping_message = "NOOP";

struct Message {
    std::vector<std::string> words;
    std::string bytes;  // the whole of it, as it came
};

inline std::vector<std::string> split_words(std::string_view line) {
    std::vector<std::string> words;
    while (!line.empty()) {
        const auto end = std::min(line.find(' '), line.size());
        words.emplace_back(line.substr(0, end));
        line.remove_prefix(std::min(end + 1, line.size()));
    }
    return words;
}

/// Takes the first message off the front of `buffer` once it is complete. `has_body` says of a message's words whether
/// the last of them is a length.
template <class HasBody>
std::optional<Message> take_message(std::string& buffer, HasBody has_body) {
    const auto line_end = buffer.find("\r\n");
    if (line_end == std::string::npos) return {};
    Message message{split_words(std::string_view(buffer).substr(0, line_end)), {}};
    std::size_t size = line_end + 2;
    if (!message.words.empty() && has_body(message.words)) {
        std::size_t length = 0;
        const std::string& digits = message.words.back();
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
        size += length + 2;
    }
    if (buffer.size() < size) return {};
    message.bytes = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

/// The next complete message of a controller.
inline std::optional<Message> take_controller_message(std::string& buffer) {
    return take_message(buffer, [](const std::vector<std::string>& words) { return words.front() == run_message; });
}

/// The client's id in a message's id; 0 where it has none.
inline std::uint64_t request_id(const std::string& id) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value, 16);
    return error == std::errc{} && end == id.data() + id.size() ? value : 0;
}

/// The number behind `prefix`, such as "name=", among a message's fields; -1 where it has none.
inline int number_field(std::string_view fields, std::string_view prefix) {
    const auto at = fields.find(prefix);
    int value = -1;
    if (at != std::string_view::npos)
        std::from_chars(fields.data() + at + prefix.size(), fields.data() + fields.size(), value);
    return value;
}

}  // namespace plumkeel::soak
