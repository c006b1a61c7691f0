#include "invoker_protocol/codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "platform_settings/settings.hpp"

namespace plumkeel::invoker_protocol {
namespace {

template <class Number>
std::optional<Number> number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return {};
    return value;
}

// The value of a name in "a=1,b=2", or empty.
std::string_view value_of(std::string_view fields, std::string_view name) {
    while (!fields.empty()) {
        const auto end = std::min(fields.find(','), fields.size());
        const std::string_view field = fields.substr(0, end);
        fields.remove_prefix(std::min(end + 1, fields.size()));
        if (field.size() > name.size() && field.starts_with(name) && field[name.size()] == '=')
            return field.substr(name.size() + 1);
    }
    return {};
}

std::string_view take_word(std::string_view& line) {
    const auto end = std::min(line.find(' '), line.size());
    const std::string_view word = line.substr(0, end);
    line.remove_prefix(std::min(end + 1, line.size()));
    return word;
}

constexpr std::string_view known_words[] = {"data", "absent", "full", "failed", "moot", "well", "ill"};

}  // namespace

std::string encode_run(std::string_view id, std::string_view request_class, std::string_view function,
                       std::string_view idempotency_key, std::int64_t patience_ms, std::size_t body_bytes) {
    return fmt::format("RUN {} sort={},asset={}{}{},patience={} {}\r\n", id, request_class, function,
                       idempotency_key.empty() ? "" : ",op=", idempotency_key, std::max<std::int64_t>(1, patience_ms),
                       body_bytes);
}

std::string encode_stop(std::string_view id) {
    return fmt::format("STOP {}\r\n", id);
}

std::string encode_probe(std::string_view tag, bool with_report) {
    return fmt::format("{} {}\r\n", with_report ? "INFO" : "NOOP", tag);
}

const char* name_of(ResponseError broken) {
    static constexpr const char* words[] = {"none", "line_too_long", "not_a_line", "length", "too_big", "no_end"};
    return words[static_cast<int>(broken)];
}

bool ResponseDecoder::next(std::string_view& bytes, ResponseMessage& answer) {
    if (error_ != ResponseError::none) return false;
    while (!bytes.empty()) {
        if (!in_body_) {
            const auto end = bytes.find('\n');
            const std::string_view part = bytes.substr(0, end == std::string_view::npos ? bytes.size() : end + 1);
            if (line_.size() + part.size() > max_line_) return fault(ResponseError::line_too_long);
            line_ += part;
            bytes.remove_prefix(part.size());
            if (end == std::string_view::npos) return false;
            if (!read_line()) return false;
            continue;
        }
        const std::size_t wanted = body_left_ > body_end.size() ? body_left_ - body_end.size() : 0;
        if (wanted > 0) {
            const std::string_view part = bytes.substr(0, wanted);
            pending_.body += part;
            body_left_ -= part.size();
            bytes.remove_prefix(part.size());
            continue;
        }
        // Only where its line end stands does the length fit: what stops short or runs over is never an answer.
        if (bytes[0] != body_end[body_end.size() - body_left_]) return fault(ResponseError::no_end);
        bytes.remove_prefix(1);
        if (--body_left_ > 0) continue;
        in_body_ = false;
        answer = std::move(pending_);
        pending_ = {};
        return true;
    }
    return false;
}

bool ResponseDecoder::read_line() {
    std::string_view line = line_;
    if (!line.ends_with("\r\n")) return fault(ResponseError::not_a_line);
    line.remove_suffix(2);
    const bool printable = std::all_of(line.begin(), line.end(), [](char c) { return c > 0x1f && c < 0x7f; });
    const std::string_view id = take_word(line), word = take_word(line), fields = take_word(line),
                           length = take_word(line);
    const bool known = std::find(std::begin(known_words), std::end(known_words), word) != std::end(known_words);
    if (!printable || id.empty() || !known || fields.empty() || !line.empty()) return fault(ResponseError::not_a_line);
    const auto bytes = number<std::uint64_t>(length);
    if (!bytes) return fault(ResponseError::length);
    if (*bytes > max_body_) return fault(ResponseError::too_big);
    pending_.id = id;
    pending_.result = word;
    pending_.fields = fields;
    body_left_ = static_cast<std::size_t>(*bytes) + body_end.size();
    in_body_ = true;
    line_.clear();
    return true;
}

AttemptOutcome parse_outcome(std::string_view word) {
    if (word == "data") return AttemptOutcome::succeeded;
    if (word == "absent") return AttemptOutcome::load_failed;
    if (word == "full") return AttemptOutcome::rejected;
    if (word == "moot") return AttemptOutcome::never_sent;
    return AttemptOutcome::failed;
}

LoadEvent parse_load_event(std::string_view fields) {
    const std::string_view word = value_of(fields, "n");
    if (word == "reused") return LoadEvent::was_loaded;
    if (word == "init") return LoadEvent::started_load;
    if (word == "shared_init") return LoadEvent::joined_load;
    if (word == "init_error") return LoadEvent::load_failed;
    return LoadEvent::none;
}

int parse_concurrency(std::string_view fields) {
    return std::clamp(number<int>(value_of(fields, "peers_in")).value_or(0), 0, 1000);
}

LoadReport parse_report(std::string_view fields, const std::vector<std::string>& names) {
    LoadReport out;
    std::string_view list = value_of(fields, "l");
    while (!list.empty()) {
        const auto end = std::min(list.find(';'), list.size());
        const std::string_view each = list.substr(0, end);
        list.remove_prefix(std::min(end + 1, list.size()));
        const auto colon = std::min(each.find(':'), each.size());
        const auto value = number<double>(each.substr(std::min(colon + 1, each.size())));
        const std::string name(each.substr(0, colon));
        if (value && *value >= 0 && *value < 1e9 && std::find(names.begin(), names.end(), name) != names.end())
            platform_settings::set_report_field(out, name, *value);
    }
    return out;
}

}  // namespace plumkeel::invoker_protocol
