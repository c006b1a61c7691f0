/// Names in the records of the emulator's processes, which are files of JSON lines that the auditor reads. The strings
/// are part of the file format.
#pragma once

#include <string_view>

namespace plumkeel::emulator {

/// Kinds of processes that write records; the first part of the record file's name.
namespace source {
inline constexpr std::string_view client = "clients";
inline constexpr std::string_view consul = "list";
inline constexpr std::string_view invoker = "invoker";
inline constexpr std::string_view scenario = "scenario";
}  // namespace source

/// Values of `key::event`.
namespace event {
inline constexpr std::string_view lag = "lag";
// Events of the clients.
inline constexpr std::string_view sent = "sent";
inline constexpr std::string_view answer = "answer";  // invokers write an event of this name too
inline constexpr std::string_view idle = "quiet";
// Events of the invokers.
inline constexpr std::string_view start = "start";
inline constexpr std::string_view attempt_received = "hop";
inline constexpr std::string_view run = "run";
inline constexpr std::string_view duplicate_ignored = "repeat";
inline constexpr std::string_view response_lost = "lost";
inline constexpr std::string_view connection_cut = "cut";
inline constexpr std::string_view caller_gone = "gone";
inline constexpr std::string_view overloaded = "fell";
inline constexpr std::string_view load_started = "load";
inline constexpr std::string_view load_failed = "load_broke";
inline constexpr std::string_view preload = "order";
inline constexpr std::string_view fault = "fault";
// Events of the function store.
inline constexpr std::string_view fetch = "fetch";
inline constexpr std::string_view fetch_rejected = "fetch_turned_away";
// Events of the Consul emulator.
inline constexpr std::string_view endpoints_sent = "told";
// Events of the remote write receiver.
inline constexpr std::string_view mode = "mood";
inline constexpr std::string_view violation = "breach";
inline constexpr std::string_view series = "series";
inline constexpr std::string_view summary = "sum";
// Events of the scenario runner.
inline constexpr std::string_view controller_started = "controller_started";
inline constexpr std::string_view controller_killed = "controller_killed";
inline constexpr std::string_view controller_frozen = "controller_frozen";
}  // namespace event

/// Keys of an event's fields. Names of durations end in `_us`, `_ms` or `_s`.
namespace key {
inline constexpr std::string_view time = "t";  // in microseconds of the machine's monotonic clock
inline constexpr std::string_view event = "e";
inline constexpr std::string_view duration_us = "us";
inline constexpr std::string_view name = "name";
inline constexpr std::string_view address = "address";
// Fields of a client's try, and of an attempt that an invoker received.
inline constexpr std::string_view id = "id";
inline constexpr std::string_view origin = "origin";  // identifies a client's request; the same in all its tries
inline constexpr std::string_view try_number = "try";
inline constexpr std::string_view to = "to";
inline constexpr std::string_view request_class = "use";
inline constexpr std::string_view function = "function";
inline constexpr std::string_view tenant = "tenant";
inline constexpr std::string_view remaining_us = "left_us";
inline constexpr std::string_view latency_target_us = "promised_us";
inline constexpr std::string_view outcome = "outcome";
inline constexpr std::string_view rejection_reason = "objection";
inline constexpr std::string_view status = "status";
inline constexpr std::string_view controller = "controller";
inline constexpr std::string_view request = "job";
inline constexpr std::string_view attempts = "hops";
inline constexpr std::string_view attempt = "hop";
inline constexpr std::string_view error = "why";
inline constexpr std::string_view idempotency_key = "mark";
inline constexpr std::string_view result = "word";
inline constexpr std::string_view copies = "copies";
// Fields of an invoker's start and overload events.
inline constexpr std::string_view cold = "cold";
inline constexpr std::string_view capacity = "capacity";
inline constexpr std::string_view cold_share = "cold_share";
inline constexpr std::string_view slow_start_us = "cold_us";
inline constexpr std::string_view rate_multiple = "multiple";
inline constexpr std::string_view window_us = "span_us";
inline constexpr std::string_view mean_run_time_ms = "mean_work_ms";
inline constexpr std::string_view deduplication_us = "remembers_us";
inline constexpr std::string_view load_s = "work_s";
// Fields of a fault that a command switched on or off.
inline constexpr std::string_view verb = "verb";
inline constexpr std::string_view on = "on";
// Fields of events of the function store, the Consul emulator and the remote write receiver.
inline constexpr std::string_view fetching = "fetching";
inline constexpr std::string_view endpoints = "list";
inline constexpr std::string_view mode = "mood";
inline constexpr std::string_view description = "what";
inline constexpr std::string_view labels = "labels";
inline constexpr std::string_view timestamps_ms = "ms";
inline constexpr std::string_view values = "values";
inline constexpr std::string_view series = "series";
inline constexpr std::string_view samples = "samples";
inline constexpr std::string_view repeated = "repeated";
inline constexpr std::string_view violations = "breaches";
inline constexpr std::string_view requests = "questions";
}  // namespace key

/// How a try ended for the client, in `key::outcome`. The first three values come from the controller's response.
namespace client_outcome {
inline constexpr std::string_view succeeded = "honoured";
inline constexpr std::string_view rejected = "bounced";
inline constexpr std::string_view failed = "written-off";
inline constexpr std::string_view malformed = "objected";
inline constexpr std::string_view abandoned = "left";
inline constexpr std::string_view unreachable = "unreachable";
inline constexpr std::string_view no_response = "nothing";
inline constexpr std::string_view connection_lost = "cut";
}  // namespace client_outcome

/// An invoker's response to an attempt, in `key::result`.
namespace attempt_result {
inline constexpr std::string_view succeeded = "honoured";
inline constexpr std::string_view rejected = "turned-away";
inline constexpr std::string_view load_failed = "not-loaded";
}  // namespace attempt_result

/// States of the endpoints in `key::endpoints`.
namespace endpoint_state {
inline constexpr std::string_view ready = "ready";
inline constexpr std::string_view draining = "drains";
}  // namespace endpoint_state

}  // namespace plumkeel::emulator
