/// plumkeel's own protocol over HTTP/1.1 (docs/protocol.md): names and values of its header fields beside the terms
/// that the code uses, and what an invoker's response proves. Free of I/O.
#pragma once

#include <string_view>

#include "http/http.hpp"
#include "orca/orca.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::protocol {

/// Names of header fields.
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

/// The fields of this protocol in one message, as views into it; empty where a field is absent.
struct OwnFields {
    // Of a client's request. Times in ms, memory in MB.
    std::string_view request_class, tenant, remaining, concurrency, memory, load_time, idempotency_key, client_retry;
    // Of an invoker's response.
    std::string_view load_event, concurrent_requests, never_ran, copies, report;
};

/// The member for a header field, or null. Names are compared without regard to case.
inline std::string_view* find_own_field(OwnFields& own, std::string_view name) {
    static constexpr std::pair<std::string_view, std::string_view OwnFields::*> members[] = {
        {field::request_class, &OwnFields::request_class},
        {field::tenant, &OwnFields::tenant},
        {field::remaining, &OwnFields::remaining},
        {field::concurrency, &OwnFields::concurrency},
        {field::memory, &OwnFields::memory},
        {field::load_time, &OwnFields::load_time},
        {field::idempotency_key, &OwnFields::idempotency_key},
        {field::client_retry, &OwnFields::client_retry},
        {field::load_event, &OwnFields::load_event},
        {field::concurrent_requests, &OwnFields::concurrent_requests},
        {field::never_ran, &OwnFields::never_ran},
        {field::copies, &OwnFields::copies},
        {orca::header_name, &OwnFields::report}};
    for (const auto& [known, member] : members)
        if (known.size() == name.size() && http::equals_ignoring_case(known, name)) return &(own.*member);
    return nullptr;
}

/// Reads all fields in one pass. Of a field that appears twice the first one counts. With `forwarded`, the lines of the
/// fields that are passed on to the other side are appended to it.
template <class Message>
OwnFields read_own_fields(const Message& message, std::string* forwarded = nullptr) {
    OwnFields own;
    for (const auto& each : message) {
        const std::string_view name = http::to_string_view(each.name_string());
        std::string_view* member = find_own_field(own, name);
        if (member && member->empty()) *member = http::to_string_view(each.value());
        if (forwarded && !member && http::is_forwarded_header(name))
            forwarded->append(name).append(": ").append(http::to_string_view(each.value())).append("\r\n");
    }
    return own;
}

/// The value of field::outcome in a response to a client.
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

/// From the value of field::load_event.
constexpr LoadEvent parse_load_event(std::string_view word) {
    if (word == "stood-loaded") return LoadEvent::was_loaded;
    if (word == "began-load") return LoadEvent::started_load;
    if (word == "joined-load") return LoadEvent::joined_load;
    if (word == "load-broke") return LoadEvent::load_failed;
    return LoadEvent::none;
}

/// What a complete response of an invoker says of its attempt. `never_ran`: the value of field::never_ran. Only that
/// field proves that the attempt never ran: a bare 503 may come from a proxy in front of an invoker that ran it.
constexpr AttemptOutcome outcome_of(unsigned status, std::string_view never_ran) {
    if (never_ran == "turned-away" || never_ran == "draining") return AttemptOutcome::rejected;
    if (never_ran == "not-loaded") return AttemptOutcome::load_failed;
    return status >= 200 && status < 500 ? AttemptOutcome::succeeded : AttemptOutcome::failed;
}

}  // namespace plumkeel::protocol
