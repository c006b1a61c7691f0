#include "invoker_protocol/codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "platform_settings/settings.hpp"

namespace plumkeel::invoker_protocol {
namespace {

constexpr int max_concurrency = 1000;
constexpr double max_report_value = 1e9;

constexpr std::pair<std::string_view, ResponseResult> result_words[] = {
    {"data", ResponseResult::succeeded}, {"absent", ResponseResult::load_failed}, {"full", ResponseResult::rejected},
    {"failed", ResponseResult::failed},  {"moot", ResponseResult::never_ran},     {"well", ResponseResult::healthy},
    {"ill", ResponseResult::unhealthy},
};

std::optional<ResponseResult> parse_result(std::string_view word) {
    for (const auto& [known_word, result] : result_words)
        if (known_word == word) return result;
    return {};
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return {};
    return value;
}

// Removes the text up to and including the first separator and returns it without the separator.
std::string_view take_until(std::string_view& text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const std::string_view taken = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return taken;
}

// Returns the value of `name` in fields such as "a=1,b=2"; empty if absent.
std::string_view value_of(std::string_view fields, std::string_view name) {
    while (!fields.empty()) {
        const std::string_view field = take_until(fields, ',');
        if (field.size() > name.size() && field.starts_with(name) && field[name.size()] == '=')
            return field.substr(name.size() + 1);
    }
    return {};
}

}  // namespace

std::string encode_run(std::string_view id, std::string_view request_class, std::string_view function,
                       std::string_view idempotency_key, std::int64_t remaining_ms, std::size_t body_bytes) {
    return fmt::format("RUN {} sort={},asset={}{}{},patience={} {}\r\n", id, request_class, function,
                       idempotency_key.empty() ? "" : ",op=", idempotency_key, std::max<std::int64_t>(1, remaining_ms),
                       body_bytes);
}

std::string encode_stop(std::string_view id) {
    return fmt::format("STOP {}\r\n", id);
}

std::string encode_probe(std::string_view tag, bool with_report) {
    return fmt::format("{} {}\r\n", with_report ? "INFO" : "NOOP", tag);
}

std::string_view wire_name(ResponseResult result) {
    for (const auto& [word, known_result] : result_words)
        if (known_result == result) return word;
    return {};
}

bool is_probe_result(ResponseResult result) {
    return result == ResponseResult::healthy || result == ResponseResult::unhealthy;
}

AttemptOutcome outcome_of(ResponseResult result) {
    switch (result) {
        case ResponseResult::succeeded:
        case ResponseResult::healthy:
            return AttemptOutcome::succeeded;
        case ResponseResult::load_failed:
            return AttemptOutcome::load_failed;
        case ResponseResult::rejected:
            return AttemptOutcome::rejected;
        case ResponseResult::never_ran:
            return AttemptOutcome::never_sent;
        case ResponseResult::failed:
        case ResponseResult::unhealthy:
            break;
    }
    return AttemptOutcome::failed;
}

const char* name_of(ResponseError error) {
    switch (error) {
        case ResponseError::none:
            return "none";
        case ResponseError::line_too_long:
            return "line_too_long";
        case ResponseError::malformed_line:
            return "malformed_line";
        case ResponseError::malformed_length:
            return "malformed_length";
        case ResponseError::body_too_long:
            return "body_too_long";
        case ResponseError::body_end_missing:
            return "body_end_missing";
    }
    return "unknown";
}

bool ResponseDecoder::next(std::string_view& bytes, ResponseMessage& response) {
    if (error_ != ResponseError::none) return false;
    while (!bytes.empty()) {
        if (!in_body_) {
            if (!read_line(bytes)) return false;
            continue;
        }
        if (read_body(bytes)) continue;
        // If body_end does not follow the body, the length field was wrong and the response is malformed.
        if (bytes[0] != body_end[body_end.size() - body_bytes_left_]) return fail(ResponseError::body_end_missing);
        bytes.remove_prefix(1);
        if (--body_bytes_left_ > 0) continue;
        in_body_ = false;
        response = std::move(pending_);
        pending_ = {};
        return true;
    }
    return false;
}

// Returns false if the line is incomplete or malformed.
bool ResponseDecoder::read_line(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end == std::string_view::npos ? bytes.size() : end + 1);
    if (line_.size() + part.size() > max_line_) return fail(ResponseError::line_too_long);
    line_ += part;
    bytes.remove_prefix(part.size());
    return end != std::string_view::npos && parse_line();
}

// Parses the line "<id> <result> <fields> <body length>".
bool ResponseDecoder::parse_line() {
    std::string_view line = line_;
    if (!line.ends_with("\r\n")) return fail(ResponseError::malformed_line);
    line.remove_suffix(2);
    const bool is_printable = std::all_of(line.begin(), line.end(), [](char c) { return c > 0x1f && c < 0x7f; });
    const std::string_view id = take_until(line, ' ');
    const auto result = parse_result(take_until(line, ' '));
    const std::string_view fields = take_until(line, ' ');
    const std::string_view length = take_until(line, ' ');
    if (!is_printable || id.empty() || !result || fields.empty() || !line.empty())
        return fail(ResponseError::malformed_line);
    const auto body_bytes = parse_number<std::uint64_t>(length);
    if (!body_bytes) return fail(ResponseError::malformed_length);
    if (*body_bytes > max_body_) return fail(ResponseError::body_too_long);
    pending_.id = id;
    pending_.result = *result;
    pending_.fields = fields;
    body_bytes_left_ = static_cast<std::size_t>(*body_bytes) + body_end.size();
    in_body_ = true;
    line_.clear();
    return true;
}

// Returns false once the body is complete and only body_end remains to be read.
bool ResponseDecoder::read_body(std::string_view& bytes) {
    if (body_bytes_left_ <= body_end.size()) return false;
    const std::string_view part = bytes.substr(0, body_bytes_left_ - body_end.size());
    pending_.body += part;
    body_bytes_left_ -= part.size();
    bytes.remove_prefix(part.size());
    return true;
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
    return std::clamp(parse_number<int>(value_of(fields, "peers_in")).value_or(0), 0, max_concurrency);
}

// Parses the field "l", a list such as "name:value;name:value".
LoadReport parse_report(std::string_view fields, const std::vector<std::string>& names) {
    LoadReport report;
    std::string_view list = value_of(fields, "l");
    while (!list.empty()) {
        std::string_view entry = take_until(list, ';');
        const std::string name(take_until(entry, ':'));
        const auto value = parse_number<double>(entry);
        const bool is_valid = value && *value >= 0 && *value < max_report_value;
        if (is_valid && std::find(names.begin(), names.end(), name) != names.end())
            platform_settings::set_report_field(report, name, *value);
    }
    return report;
}

}  // namespace plumkeel::invoker_protocol
