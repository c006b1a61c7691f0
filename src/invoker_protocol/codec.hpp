// The lines that controllers and invokers of the platform exchange: hops, stops and probes as bytes, and bytes of
// answers as messages or a named fault. Free of I/O and clocks. All words of that protocol end here.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler/types.hpp"

namespace plumkeel::invoker_protocol {

// Ids, use cases, functions and keys must hold no space, comma, equals sign or line end: the clients' edge sees to it.
// The idempotency key of a request that has none is empty.
std::string encode_run(std::string_view id, std::string_view request_class, std::string_view function,
                       std::string_view idempotency_key, std::int64_t patience_ms, std::size_t body_bytes);
std::string encode_stop(std::string_view id);
std::string encode_probe(std::string_view tag, bool with_report);
constexpr std::string_view body_end = "\r\n";

struct ResponseMessage {
    std::string id, result, fields, body;
};

enum class ResponseError { none, line_too_long, not_a_line, length, too_big, no_end };
const char* name_of(ResponseError broken);

class ResponseDecoder {
public:
    // A line or a body beyond these is a fault.
    ResponseDecoder(std::size_t line_most, std::size_t body_most) : max_line_(line_most), max_body_(body_most) {}

    // Takes bytes until an answer is whole, and removes them from `bytes`. True: `answer` holds it.
    bool next(std::string_view& bytes, ResponseMessage& answer);
    ResponseError error() const { return error_; }
    bool in_response() const { return !line_.empty() || in_body_; }

private:
    bool read_line();
    bool fault(ResponseError broken) {
        error_ = broken;
        return false;
    }

    const std::size_t max_line_, max_body_;
    std::string line_;
    ResponseMessage pending_;
    bool in_body_{};
    std::size_t body_left_{};  // of the body and its line end
    ResponseError error_{};
};

// What an answer says of its hop.
AttemptOutcome parse_outcome(std::string_view word);
LoadEvent parse_load_event(std::string_view fields);
int parse_concurrency(std::string_view fields);
// Under the names of report fields that the settings give.
LoadReport parse_report(std::string_view fields, const std::vector<std::string>& names);

}  // namespace plumkeel::invoker_protocol
