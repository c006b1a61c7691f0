/// Codec of the invoker protocol: encodes runs, stops and probes, and decodes responses to messages or a ResponseError.
/// Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler/types.hpp"

namespace plumkeel::invoker_protocol {

/// Terminator of each body.
constexpr std::string_view body_end = "\r\n";

/// Encodes a RUN line, which the body and body_end follow. Ids, request classes, functions and keys must not contain a
/// space, comma, equals sign or line end; the client protocols check that. An empty idempotency key is omitted. A
/// remaining time below 1 ms is sent as 1 ms.
std::string encode_run(std::string_view id, std::string_view request_class, std::string_view function,
                       std::string_view idempotency_key, std::int64_t remaining_ms, std::size_t body_bytes);
std::string encode_stop(std::string_view id);
std::string encode_probe(std::string_view tag, bool with_report);

/// Result of an attempt or probe, as stated in the response.
enum class ResponseResult {
    succeeded,
    load_failed,  // the function could not be loaded
    rejected,     // the invoker is full
    failed,
    never_ran,
    healthy,    // probes only
    unhealthy,  // probes only
};
/// The result's name in the protocol.
std::string_view wire_name(ResponseResult result);
bool is_probe_result(ResponseResult result);
AttemptOutcome outcome_of(ResponseResult result);

struct ResponseMessage {
    std::string id;  // request id, or a probe's tag
    ResponseResult result{};
    std::string fields;  // such as "name=value,name=value"
    std::string body;
};

/// Why an invoker's input is malformed.
enum class ResponseError { none, line_too_long, malformed_line, malformed_length, body_too_long, body_end_missing };
/// Name of the error for logs.
const char* name_of(ResponseError error);

/// Decodes an invoker's byte stream, which may be split anywhere. After an error nothing more is decoded.
class ResponseDecoder {
public:
    /// `max_line` and `max_body` are in bytes; exceeding them is an error.
    ResponseDecoder(std::size_t max_line, std::size_t max_body) : max_line_(max_line), max_body_(max_body) {}

    /// Removes bytes from `bytes` until a response is complete; returns true if `response` holds it.
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
    std::string line_;         // part of the response line received so far
    ResponseMessage pending_;  // response whose body is being read
    bool in_body_{};
    std::size_t body_bytes_left_{};  // including body_end
    ResponseError error_{};
};

/// The load event in a response's fields; LoadEvent::none if absent or unknown.
LoadEvent parse_load_event(std::string_view fields);
int parse_concurrency(std::string_view fields);
/// The load report in a response's fields, limited to the report fields in `names`.
LoadReport parse_report(std::string_view fields, const std::vector<std::string>& names);

}  // namespace plumkeel::invoker_protocol
