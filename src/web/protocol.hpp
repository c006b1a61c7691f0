/// Header fields of plumkeel's protocol over HTTP/1.1 (docs/protocol.md), the conversion of their values, and the
/// outcome of an attempt that an invoker's response stands for. Does no I/O.
#pragma once

#include <string_view>

#include "http/http.hpp"
#include "orca/orca.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::protocol {

/// Names of the header fields in requests and responses. They are fixed by the protocol, in which `job` means a
/// request, `hop` an attempt, `mark` an idempotency key, `lanes` the concurrency of a copy, `company` the number of
/// concurrent requests, and `objection` the reason of a rejection.
namespace field {
constexpr std::string_view request_class = "plumkeel-use-case", tenant = "plumkeel-tenant",
                           remaining = "plumkeel-time-left", concurrency = "plumkeel-lanes", memory = "plumkeel-memory",
                           load_time = "plumkeel-load-time", idempotency_key = "plumkeel-mark",
                           client_retry = "plumkeel-again", outcome = "plumkeel-outcome",
                           rejection_reason = "plumkeel-objection", request = "plumkeel-job",
                           attempts = "plumkeel-hops", attempt = "plumkeel-hop", timeout = "plumkeel-limit",
                           controller = "plumkeel-controller", load_event = "plumkeel-note",
                           concurrent_requests = "plumkeel-company", never_ran = "plumkeel-never-ran",
                           copies = "plumkeel-copies", retry_after_ms = "plumkeel-retry-after-ms";
}

/// Values of the protocol's header fields in one message, as views into that message; empty where a field is absent.
struct ProtocolFields {
    // Fields of a client's request. Times are in ms, memory is in MB.
    std::string_view request_class, tenant, remaining, concurrency, memory, load_time, idempotency_key, client_retry;
    // Fields of an invoker's response.
    std::string_view load_event, concurrent_requests, never_ran, copies, load_report;
};

/// Returns the member of `fields` for the header field `name`, or null for other fields. Ignores the case of `name`.
inline std::string_view* find_protocol_field(ProtocolFields& fields, std::string_view name) {
    static constexpr std::pair<std::string_view, std::string_view ProtocolFields::*> members[] = {
        {field::request_class, &ProtocolFields::request_class},
        {field::tenant, &ProtocolFields::tenant},
        {field::remaining, &ProtocolFields::remaining},
        {field::concurrency, &ProtocolFields::concurrency},
        {field::memory, &ProtocolFields::memory},
        {field::load_time, &ProtocolFields::load_time},
        {field::idempotency_key, &ProtocolFields::idempotency_key},
        {field::client_retry, &ProtocolFields::client_retry},
        {field::load_event, &ProtocolFields::load_event},
        {field::concurrent_requests, &ProtocolFields::concurrent_requests},
        {field::never_ran, &ProtocolFields::never_ran},
        {field::copies, &ProtocolFields::copies},
        {orca::header_name, &ProtocolFields::load_report}};
    for (const auto& [known_name, member] : members)
        if (known_name.size() == name.size() && http::equals_ignoring_case(known_name, name)) return &(fields.*member);
    return nullptr;
}

/// Reads the protocol's header fields of a message; if a field appears twice, its first value counts. If `forwarded`
/// is given, the header lines that the gateway passes on unchanged are appended to it.
template <class Message>
ProtocolFields read_protocol_fields(const Message& message, std::string* forwarded = nullptr) {
    ProtocolFields fields;
    for (const auto& header : message) {
        const std::string_view name = http::to_string_view(header.name_string());
        std::string_view* member = find_protocol_field(fields, name);
        if (member && member->empty()) *member = http::to_string_view(header.value());
        if (forwarded && !member && http::is_forwarded_header(name))
            forwarded->append(name).append(": ").append(http::to_string_view(header.value())).append("\r\n");
    }
    return fields;
}

/// Returns the value of the header field `plumkeel-outcome` in a response to a client.
constexpr std::string_view outcome_name(RequestState state) {
    switch (state) {
        case RequestState::succeeded:
        case RequestState::streaming:
            return "honoured";
        case RequestState::rejected:
            return "bounced";
        default:
            return "written-off";
    }
}

/// Parses the value of the header field `plumkeel-note`; LoadEvent::none if it is absent or unknown.
constexpr LoadEvent parse_load_event(std::string_view value) {
    if (value == "stood-loaded") return LoadEvent::was_loaded;
    if (value == "began-load") return LoadEvent::started_load;
    if (value == "joined-load") return LoadEvent::joined_load;
    if (value == "load-broke") return LoadEvent::load_failed;
    return LoadEvent::none;
}

/// Returns the outcome of an attempt from the invoker's complete response. `never_ran` is the value of the header field
/// `plumkeel-never-ran`. Only that field proves that the function did not run: a status 503 alone may come from a proxy
/// in front of an invoker that did run it.
constexpr AttemptOutcome outcome_of(unsigned status, std::string_view never_ran) {
    if (never_ran == "turned-away" || never_ran == "draining") return AttemptOutcome::rejected;
    if (never_ran == "not-loaded") return AttemptOutcome::load_failed;
    return status >= 200 && status < 500 ? AttemptOutcome::succeeded : AttemptOutcome::failed;
}

}  // namespace plumkeel::protocol
