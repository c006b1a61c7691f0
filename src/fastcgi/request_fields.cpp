#include "fastcgi/request_fields.hpp"

#include <algorithm>
#include <charconv>

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;
using gateway::IncomingRequest;

namespace {

constexpr std::size_t id_digits = 16;  // length of a request id or function key, in hexadecimal digits
constexpr double max_concurrency = 1000, max_memory_mb = 100'000'000, max_load_time_ms = 3'600'000;
constexpr double max_content_length = 1e12;
constexpr double microseconds_per_ms = 1000;

bool is_hex_id(std::string_view text) {
    return text.size() == id_digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

// Whether the text can be a field value in the RUN line sent to an invoker.
bool is_field_value(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != ',' && c != '='; });
}

// Parses a decimal number from 0 to `maximum`, without exponent.
std::optional<double> parse_number(std::string_view text, double maximum) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (error != std::errc{} || end != text.data() + text.size() || !(value >= 0 && value <= maximum)) return {};
    return value;
}

Time from_milliseconds(double milliseconds) {
    return Time(static_cast<Time::rep>(milliseconds * microseconds_per_ms));
}

bool apply_tag(std::string_view name, std::string_view value, IncomingRequest& request) {
    if (name == "lanes") {
        const auto concurrency = parse_number(value, max_concurrency);
        if (!concurrency || *concurrency < 1) return false;
        request.concurrency = static_cast<int>(*concurrency);
    } else if (name == "memory_mb") {
        const auto memory = parse_number(value, max_memory_mb);
        if (!memory) return false;
        request.memory = static_cast<int>(*memory);
    } else if (name == "load_ms") {
        const auto load_time = parse_number(value, max_load_time_ms);
        if (!load_time) return false;
        request.declared_load_time = from_milliseconds(*load_time);
    }
    return true;  // unknown tags are ignored
}

// Applies a list of tags such as "memory_mb:512;lanes:2"; returns false if it is malformed.
bool parse_tags(std::string_view text, IncomingRequest& request) {
    while (!text.empty()) {
        const auto end = std::min(text.find(';'), text.size());
        const std::string_view tag = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto colon = tag.find(':');
        if (colon == std::string_view::npos) return false;
        if (!apply_tag(tag.substr(0, colon), tag.substr(colon + 1), request)) return false;
    }
    return true;
}

RejectionReason check_names(const RequestFields& fields, const GatewayConfig& config, const AdmissionLimits& limits,
                            Idempotency idempotency) {
    if (!is_hex_id(fields.request_id)) return RejectionReason::bad_field;
    if (!is_hex_id(fields.function)) return RejectionReason::bad_function;
    if (!config.tenants.empty() && !config.tenants.count(std::string(fields.tenant))) return RejectionReason::bad_field;
    // Invokers deduplicate attempts by this key: without it the request could take effect twice.
    if (idempotency == Idempotency::deduplicated && fields.idempotency_key.empty())
        return RejectionReason::idempotency_key_missing;
    if (!is_field_value(fields.idempotency_key) || fields.idempotency_key.size() > limits.max_name_bytes)
        return RejectionReason::bad_field;
    return RejectionReason::none;
}

RejectionReason parse_remaining(std::string_view text, const AdmissionLimits& limits, Time& remaining) {
    const auto milliseconds = parse_number(text, static_cast<double>(limits.max_remaining_time / 1ms));
    if (!milliseconds)
        return text.empty() ? RejectionReason::remaining_time_missing : RejectionReason::remaining_time_invalid;
    remaining = from_milliseconds(*milliseconds);
    return remaining < limits.min_remaining_time ? RejectionReason::no_time_remaining : RejectionReason::none;
}

bool is_flag(std::string_view text) {
    return text.empty() || text == "0" || text == "1";
}

bool is_body_length(std::string_view content_length, std::size_t body_bytes) {
    return content_length.empty() ||
           parse_number(content_length, max_content_length) == static_cast<double>(body_bytes);
}

}  // namespace

std::optional<RequestFields> parse_fields(std::string_view params) {
    static constexpr std::pair<std::string_view, std::string_view RequestFields::*> known_fields[] = {
        {"SCRIPT_NAME", &RequestFields::path},
        {"HTTP_REQUEST_ID", &RequestFields::request_id},
        {"HTTP_RESOURCE_KEY", &RequestFields::function},
        {"HTTP_ACCOUNT", &RequestFields::tenant},
        {"HTTP_BUDGET_MS", &RequestFields::remaining_ms},
        {"HTTP_X_TAGS", &RequestFields::tags},
        {"HTTP_ATTEMPT_AGAIN", &RequestFields::client_retry},
        {"CONTENT_LENGTH", &RequestFields::content_length},
        {"HTTP_ONCE_KEY", &RequestFields::idempotency_key}};
    const auto pairs = parse_pairs(params);
    if (!pairs) return {};
    RequestFields fields;
    for (const auto& [name, value] : *pairs) {
        for (const auto& [known_name, member] : known_fields) {
            if (name != known_name) continue;
            std::string_view& field = fields.*member;
            if (field.data()) return {};  // the parameter appears twice
            field = value;
        }
    }
    return fields;
}

RejectionReason parse_request(const RequestFields& fields, std::string_view class_name, std::size_t body_bytes,
                              const GatewayConfig& config, const AdmissionLimits& limits, IncomingRequest& request) {
    const auto request_class = config.request_classes.find(class_name);
    if (request_class == config.request_classes.end()) return RejectionReason::no_such_request_class;
    request.request_class = &request_class->second;
    const RejectionReason name_error = check_names(fields, config, limits, request_class->second.idempotency);
    if (name_error != RejectionReason::none) return name_error;
    const RejectionReason remaining_error = parse_remaining(fields.remaining_ms, limits, request.remaining);
    if (remaining_error != RejectionReason::none) return remaining_error;
    if (!is_flag(fields.client_retry) || !is_body_length(fields.content_length, body_bytes) ||
        !parse_tags(fields.tags, request))
        return RejectionReason::bad_field;
    request.is_client_retry = fields.client_retry == "1";
    request.name = fields.request_id;
    request.function = fields.function;
    request.idempotency_key = fields.idempotency_key;
    request.tenant = fields.tenant;
    return RejectionReason::none;
}

}  // namespace plumkeel::fastcgi
