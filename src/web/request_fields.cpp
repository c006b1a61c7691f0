#include "web/request_fields.hpp"

#include <algorithm>

#include "web/protocol.hpp"

namespace plumkeel::web {

using gateway::IncomingRequest;

namespace {

constexpr int max_concurrency = 100'000, max_memory_mb = 100'000'000, max_load_time_ms = 3'600'000;

RejectionReason check_names(const IncomingRequest& request, const AdmissionLimits& limits) {
    if (request.request_class->idempotency == Idempotency::deduplicated && request.idempotency_key.empty())
        return RejectionReason::idempotency_key_missing;
    if (request.idempotency_key.size() > limits.max_name_bytes || request.tenant.size() > limits.max_name_bytes)
        return RejectionReason::bad_field;
    return RejectionReason::none;
}

// Parses a header value; empty if the header field is absent. Sets `is_valid` to false unless the value is a whole
// number from 0 to `maximum`.
std::optional<int> parse_number(std::string_view digits, int maximum, bool& is_valid) {
    if (digits.empty()) return {};
    const auto value = http::parse_number<int>(digits);
    is_valid = is_valid && value && *value >= 0 && *value <= maximum;
    return value;
}

RejectionReason parse_optional_fields(const protocol::ProtocolFields& fields, IncomingRequest& request) {
    bool is_valid = true;
    if (const auto concurrency = parse_number(fields.concurrency, max_concurrency, is_valid))
        request.concurrency = std::max(1, *concurrency);
    request.memory = parse_number(fields.memory, max_memory_mb, is_valid);
    if (const auto load_time = parse_number(fields.load_time, max_load_time_ms, is_valid))
        request.declared_load_time = std::chrono::milliseconds(*load_time);
    is_valid = is_valid && (fields.client_retry.empty() || fields.client_retry == "0" || fields.client_retry == "1");
    request.is_client_retry = fields.client_retry == "1";
    return is_valid ? RejectionReason::none : RejectionReason::bad_field;
}

}  // namespace

RejectionReason parse_request(const RequestParser& parser, const GatewayConfig& config, const Admission& admission,
                              IncomingRequest& request) {
    const protocol::ProtocolFields fields = protocol::read_protocol_fields(parser.get(), &request.forwarded_headers);
    if (admission.check_name(request.function) != RejectionReason::none) return RejectionReason::bad_function;
    const auto request_class = config.request_classes.find(fields.request_class);
    if (request_class == config.request_classes.end()) return RejectionReason::no_such_request_class;
    request.request_class = &request_class->second;
    request.tenant = fields.tenant;
    request.idempotency_key = fields.idempotency_key;
    if (const auto reason = check_names(request, admission.limits()); reason != RejectionReason::none) return reason;
    if (const auto reason = admission.parse_remaining_time(fields.remaining, request.remaining);
        reason != RejectionReason::none)
        return reason;
    return parse_optional_fields(fields, request);
}

}  // namespace plumkeel::web
