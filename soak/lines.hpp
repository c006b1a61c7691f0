// Messages between controllers and invokers, cut out of a stream of bytes: a line, and the body that its last word
// gives the length of. Free of I/O.
#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::soak {

struct Message {
    std::vector<std::string> words;
    std::string bytes;  // the whole of it, as it came
};

inline std::vector<std::string> words_of(std::string_view line) {
    std::vector<std::string> out;
    while (!line.empty()) {
        const auto end = std::min(line.find(' '), line.size());
        out.emplace_back(line.substr(0, end));
        line.remove_prefix(std::min(end + 1, line.size()));
    }
    return out;
}

// Takes the first message off the front of `got` once it is there whole. `has_body` says of its words whether the last
// is a length.
template <class HasBody>
std::optional<Message> take_message(std::string& got, HasBody has_body) {
    const auto end = got.find("\r\n");
    if (end == std::string::npos) return {};
    Message out{words_of(std::string_view(got).substr(0, end)), {}};
    std::size_t whole = end + 2;
    if (!out.words.empty() && has_body(out.words)) {
        std::size_t length = 0;
        const std::string& digits = out.words.back();
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
        whole += length + 2;
    }
    if (got.size() < whole) return {};
    out.bytes = got.substr(0, whole);
    got.erase(0, whole);
    return out;
}

inline std::uint64_t request_of(const std::string& id) {
    std::uint64_t out = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), out, 16);
    return error == std::errc{} && end == id.data() + id.size() ? out : 0;
}

// The figure behind `name=` among a message's fields; -1 where it has none.
inline int figure_of(std::string_view fields, std::string_view name) {
    const auto at = fields.find(name);
    int out = -1;
    if (at != std::string_view::npos)
        std::from_chars(fields.data() + at + name.size(), fields.data() + fields.size(), out);
    return out;
}

}  // namespace plumkeel::soak
