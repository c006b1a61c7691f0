#include "web/call_encoder.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "gateway/gateway.hpp"
#include "http/http.hpp"
#include "web/protocol.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
using gateway::UpstreamCall;
namespace field = protocol::field;

namespace {

constexpr net::Time min_remaining_time = 1ms;  // shortest remaining time that an attempt can state

std::string encode_health_check(const UpstreamCall& call, std::string_view controller_name) {
    return fmt::format("GET /v1/load HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n\r\n", call.invoker, field::controller,
                       controller_name);
}

std::string encode_preload(const UpstreamCall& call, std::string_view controller_name) {
    const std::string copies = call.copies > 0 ? fmt::format("{}: {}\r\n", field::copies, call.copies) : "";
    return fmt::format("{} /v1/copies/{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}Content-Length: 0\r\n\r\n",
                       call.copies > 0 ? "PUT" : "DELETE", http::percent_encode(call.function), call.invoker,
                       field::controller, controller_name, copies);
}

// Encodes the header fields shared by all attempts of a request, and the empty line that ends the head.
std::string encode_common_fields(const gateway::ActiveRequest& request, std::string_view controller_name) {
    http::HeadWriter head("");
    head.add(field::controller, controller_name).add(field::request, static_cast<std::int64_t>(request.id));
    head.add(field::request_class, static_cast<const NamedRequestClass*>(request.request_class)->name);
    if (!request.idempotency_key.empty()) head.add(field::idempotency_key, request.idempotency_key);
    head.add(field::concurrency, static_cast<std::int64_t>(request.concurrency));
    if (request.memory) head.add(field::memory, static_cast<std::int64_t>(*request.memory));
    head.add_raw_lines(request.forwarded_headers)
        .add("Content-Length", static_cast<std::int64_t>(request.body->size()));
    return head.finish().substr(2);  // drops the line break of the empty first line
}

std::string encode_attempt(const UpstreamCall& call, std::string_view controller_name, net::Time now) {
    gateway::ActiveRequest& request = *call.request;
    if (request.encoded_suffix.empty()) request.encoded_suffix = encode_common_fields(request, controller_name);
    const net::Time remaining = std::max(call.deadline - now, min_remaining_time);
    return fmt::format("POST /v1/run/{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n{}",
                       http::percent_encode(request.function->name), call.invoker, field::attempt, call.attempt->number,
                       field::timeout, remaining / 1ms, request.encoded_suffix);
}

}  // namespace

std::string encode_call(UpstreamCall& call, std::string_view controller_name, net::Time now) {
    switch (call.kind) {
        case UpstreamCall::Kind::health_check:
            return encode_health_check(call, controller_name);
        case UpstreamCall::Kind::load_copies:
        case UpstreamCall::Kind::unload_copies:
            return encode_preload(call, controller_name);
        case UpstreamCall::Kind::attempt:
            break;
    }
    return encode_attempt(call, controller_name, now);
}

}  // namespace plumkeel::web
