// The words of plumkeel's own protocol over HTTP/1.1 (docs/protocol.md), and what an invoker's answer proves.
// Free of I/O.
#pragma once

#include <string_view>

#include "http/http.hpp"
#include "orca/orca.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::protocol {

namespace field {
constexpr std::string_view request_class = "plumkeel-use-case", tenant = "plumkeel-tenant",
                           time_left = "plumkeel-time-left", lanes = "plumkeel-lanes", memory = "plumkeel-memory",
                           load_time = "plumkeel-load-time", mark = "plumkeel-mark", again = "plumkeel-again",
                           outcome = "plumkeel-outcome", objection = "plumkeel-objection", request = "plumkeel-job",
                           attempts = "plumkeel-hops", attempt = "plumkeel-hop", limit = "plumkeel-limit",
                           controller = "plumkeel-controller", note = "plumkeel-note",
                           concurrent_requests = "plumkeel-company", never_ran = "plumkeel-never-ran",
                           copies = "plumkeel-copies", retry_after_ms = "plumkeel-retry-after-ms";
}

// Our own fields of a message, read in one walk over it. Views into the message.
struct OwnFields {
    std::string_view request_class, tenant, time_left, lanes, memory, load_time, mark, again;  // of a client's job
    std::string_view note, concurrent_requests, never_ran, copies, report;                     // of an invoker's answer
};

inline std::string_view* own_slot(OwnFields& own, std::string_view name) {
    static constexpr std::pair<std::string_view, std::string_view OwnFields::*> slots[] = {
        {field::request_class, &OwnFields::request_class},
        {field::tenant, &OwnFields::tenant},
        {field::time_left, &OwnFields::time_left},
        {field::lanes, &OwnFields::lanes},
        {field::memory, &OwnFields::memory},
        {field::load_time, &OwnFields::load_time},
        {field::mark, &OwnFields::mark},
        {field::again, &OwnFields::again},
        {field::note, &OwnFields::note},
        {field::concurrent_requests, &OwnFields::concurrent_requests},
        {field::never_ran, &OwnFields::never_ran},
        {field::copies, &OwnFields::copies},
        {orca::header, &OwnFields::report}};
    for (const auto& [known, slot] : slots)
        if (known.size() == name.size() && http::equals_ignoring_case(known, name)) return &(own.*slot);
    return nullptr;
}

// With `passed`, the lines of the fields that go on to the other side are gathered as well. Of a field that
// comes twice the first counts.
template <class Message>
OwnFields read_own(const Message& message, std::string* passed = nullptr) {
    OwnFields own;
    for (const auto& each : message) {
        const std::string_view name = http::view(each.name_string());
        std::string_view* slot = own_slot(own, name);
        if (slot && slot->empty()) *slot = http::view(each.value());
        if (passed && !slot && http::is_forwarded_header(name))
            passed->append(name).append(": ").append(http::view(each.value())).append("\r\n");
    }
    return own;
}

constexpr std::string_view outcome_word(RequestState state) {
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

constexpr LoadEvent note_of(std::string_view word) {
    if (word == "stood-loaded") return LoadEvent::was_loaded;
    if (word == "began-load") return LoadEvent::started_load;
    if (word == "joined-load") return LoadEvent::joined_load;
    if (word == "load-broke") return LoadEvent::load_failed;
    return LoadEvent::none;
}

// What a whole answer of an invoker says of its hop. Only the invoker's own word proves that it never ran: a
// bare 503 may come from anything between, behind an invoker that did the work.
constexpr AttemptOutcome ending_of(unsigned status, std::string_view never_ran) {
    if (never_ran == "turned-away" || never_ran == "draining") return AttemptOutcome::rejected;
    if (never_ran == "not-loaded") return AttemptOutcome::load_failed;
    return status >= 200 && status < 500 ? AttemptOutcome::succeeded : AttemptOutcome::failed;
}

}  // namespace plumkeel::protocol
