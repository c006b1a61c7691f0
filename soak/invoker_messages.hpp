/// Parses messages between controllers and invokers from a stream of bytes. A message is a line of words; in some
/// types, the last word is the length of a body that follows the line. Does no I/O.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::soak {

// The first word of a controller's message is its type.
constexpr std::string_view run_message = "RUN", cancel_message = "STOP", load_message = "INFO", ping_message = "NOOP";

struct Message {
    std::vector<std::string> words;
    std::string bytes;  // the message as received, with line ends and body
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

/// Removes the first message from `buffer` and returns it; returns nothing while the message is incomplete. `has_body`
/// is called with the words of the line and returns whether the last word is the length of a body.
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

/// Takes the next complete message of a controller; only run messages have a body.
inline std::optional<Message> take_controller_message(std::string& buffer) {
    return take_message(buffer, [](const std::vector<std::string>& words) { return words.front() == run_message; });
}

/// Returns the client's request ID that is encoded in a message's ID, or 0 if the ID isn't a hexadecimal number.
inline std::uint64_t request_id(const std::string& id) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value, 16);
    return error == std::errc{} && end == id.data() + id.size() ? value : 0;
}

/// Returns the number that follows `prefix` (such as "name=") in a message's fields, or -1 if the prefix isn't found.
inline int number_field(std::string_view fields, std::string_view prefix) {
    const auto prefix_position = fields.find(prefix);
    int value = -1;
    if (prefix_position != std::string_view::npos)
        std::from_chars(fields.data() + prefix_position + prefix.size(), fields.data() + fields.size(), value);
    return value;
}

}  // namespace plumkeel::soak
