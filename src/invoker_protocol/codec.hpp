/// The lines that controllers and invokers of the platform exchange: runs, stops and probes as bytes, and bytes of
/// responses as messages or a ResponseError. Free of I/O and clocks. The words of that protocol stand here only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler/types.hpp"

namespace plumkeel::invoker_protocol {

/// Ends each body.
constexpr std::string_view body_end = "\r\n";

/// A RUN line; the body and body_end follow it. Ids, request classes, functions and keys must not contain a space,
/// comma, equals sign or line end: the gateway's side towards clients checks that. The idempotency key of a request
/// that has none is empty. A remaining time below 1 ms is sent as 1 ms.
std::string encode_run(std::string_view id, std::string_view request_class, std::string_view function,
                       std::string_view idempotency_key, std::int64_t remaining_ms, std::size_t body_bytes);
std::string encode_stop(std::string_view id);
std::string encode_probe(std::string_view tag, bool with_report);

/// What a response says of the attempt or probe that it answers.
enum class ResponseResult {
    succeeded,
    load_failed,  // the function could not be loaded
    rejected,     // the invoker is full
    failed,
    never_ran,
    healthy,    // of a probe
    unhealthy,  // of a probe
};
/// The word on the wire.
std::string_view wire_name(ResponseResult result);
bool is_probe_result(ResponseResult result);
AttemptOutcome outcome_of(ResponseResult result);

struct ResponseMessage {
    std::string id;  // of the request, or the probe's tag
    ResponseResult result{};
    std::string fields;  // "name=value,..."
    std::string body;
};

/// Why the bytes of an invoker can't be read further.
enum class ResponseError { none, line_too_long, malformed_line, malformed_length, body_too_long, body_end_missing };
/// For logs.
const char* name_of(ResponseError error);

/// Splits an invoker's bytes into responses. After an error nothing more is decoded.
class ResponseDecoder {
public:
    /// Limits in bytes; a line or body over its limit is an error.
    ResponseDecoder(std::size_t max_line, std::size_t max_body) : max_line_(max_line), max_body_(max_body) {}

    /// Removes bytes from `bytes` until a response is complete. True: `response` holds it.
    bool next(std::string_view& bytes, ResponseMessage& response);
    ResponseError error() const { return error_; }
    /// Whether a response has begun and is not complete.
    bool in_response() const { return !line_.empty() || in_body_; }

private:
    bool read_line(std::string_view& bytes);
    bool parse_line();
    bool read_body(std::string_view& bytes);
    bool fail(ResponseError error) {
        error_ = error;
        return false;
    }

    const std::size_t max_line_, max_body_;
    std::string line_;         // as far as it has arrived
    ResponseMessage pending_;  // whose body is arriving
    bool in_body_{};
    std::size_t body_bytes_left_{};  // with its body_end
    ResponseError error_{};
};

/// From the fields of a response.
LoadEvent parse_load_event(std::string_view fields);
int parse_concurrency(std::string_view fields);
/// `names`: the report fields that the settings name; others are ignored.
LoadReport parse_report(std::string_view fields, const std::vector<std::string>& names);

}  // namespace plumkeel::invoker_protocol
