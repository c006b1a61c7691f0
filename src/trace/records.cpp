#include "trace/records.hpp"

#include "trace/record_codec.hpp"

// The fields of each struct in the order in which they are stored. Found by argument-dependent lookup, hence each in
// the namespace of its struct.
namespace plumkeel {

template <class Codec>
void encode_fields(Codec& codec, RequestClass& value) {
    codec.all(value.latency_target, value.idempotency, value.deduplication_scope, value.deduplication_window);
}
template <class Codec>
void encode_fields(Codec& codec, SafetyRules& value) {
    codec.all(value.slow_start_duration, value.slow_start_initial_share, value.slow_start_rate_multiple,
              value.slow_start_window, value.load_budget_window, value.load_budget_base, value.load_budget_per_request);
}
template <class Codec>
void encode_fields(Codec& codec, Capabilities& value) {
    codec.all(value.cancellation, value.health_checks, value.hedging, value.retry_after, value.preload,
              value.subscribes_endpoints, value.on_demand_loading, value.stable_capacity, value.max_attempts,
              value.controller_count, value.max_retry_after, value.keep_alive, value.clock_resolution,
              value.memory_price);
}
template <class Codec>
void encode_fields(Codec& codec, LoadReport& value) {
    codec.all(value.in_flight, value.queued);
}

}  // namespace plumkeel

namespace plumkeel::trace {

template <class Codec>
void encode_fields(Codec& codec, SchedulerSettings& value) {
    codec.all(value.name, value.seed, value.rules, value.capabilities, value.request_classes, value.tenants);
    codec.optional_last(value.capabilities.health_check_price);
}
template <class Codec>
void encode_fields(Codec& codec, NameRecord& value) {
    codec.all(value.number, value.name);
}
template <class Codec>
void encode_fields(Codec& codec, FunctionReleased& value) {
    codec.all(value.number);
}
template <class Codec>
void encode_fields(Codec& codec, Gap& value) {
    codec.all(value.records, value.bytes);
}
template <class Codec>
void encode_fields(Codec& codec, Resumed& value) {
    codec.all(value.earlier_records, value.repeated_names, value.derivation);
}
template <class Codec>
void encode_fields(Codec& codec, Merged& value) {
    codec.all(value.controllers);
}
template <class Codec>
void encode_fields(Codec& codec, NestedRecord& value) {
    codec.all(value.at, value.type, value.body);
}
template <class Codec>
void encode_fields(Codec& codec, SampledRequest& value) {
    codec.all(value.records);
}
template <class Codec>
void encode_fields(Codec& codec, RequestSubmitted& value) {
    codec.all(value.request_class, value.tenant, value.function, value.concurrency, value.declared_load_time,
              value.remaining, value.is_client_retry);
}
template <class Codec>
void encode_fields(Codec& codec, ResponseStarted& value) {
    codec.all(value.attempt);
}
template <class Codec>
void encode_fields(Codec& codec, AttemptEnded& value) {
    codec.all(value.attempt, value.outcome, value.load_event, value.concurrent_requests, value.report);
}
template <class Codec>
void encode_fields(Codec& codec, EndpointRecord& value) {
    codec.all(value.invoker, value.ready, value.capacity, value.zone, value.type, value.cell, value.started_at);
}
template <class Codec>
void encode_fields(Codec& codec, EndpointsChanged& value) {
    codec.all(value.complete, value.controller, value.changed);
}
template <class Codec>
void encode_fields(Codec& codec, HealthCheckEnded& value) {
    codec.all(value.invoker, value.answered, value.report);
}
template <class Codec>
void encode_fields(Codec& codec, PreloadEnded& value) {
    codec.all(value.function, value.invoker, value.outcome, value.copies);
}
template <class Codec>
void encode_fields(Codec& codec, ActionsRecord::Cancelled& value) {
    codec.all(value.request, value.attempt);
}
template <class Codec>
void encode_fields(Codec& codec, ActionsRecord::Completed& value) {
    codec.all(value.request, value.state, value.retry_after);
}
template <class Codec>
void encode_fields(Codec& codec, ActionsRecord::Sent& value) {
    codec.all(value.request, value.attempt, value.invoker, value.timeout);
}
template <class Codec>
void encode_fields(Codec& codec, ActionsRecord::Preloaded& value) {
    codec.all(value.function, value.invoker, value.copies);
}
template <class Codec>
void encode_fields(Codec& codec, ActionsRecord& value) {
    codec.all(value.to_cancel, value.completed, value.to_send, value.to_probe, value.to_preload,
              value.released_functions, value.subscribe_endpoints, value.next_wake);
}
template <class Codec>
void encode_fields(Codec& codec, TransitionRecord::Sent& value) {
    codec.all(value.attempt, value.invoker, value.starts_load, value.warm);
}
template <class Codec>
void encode_fields(Codec& codec, TransitionRecord::Candidate& value) {
    codec.all(value.invoker, value.exclusion);
    if (value.exclusion == ExclusionReason::none) codec.all(value.finish, value.contention, value.warm);
}
template <class Codec>
void encode_fields(Codec& codec, TransitionRecord& value) {
    codec.all(value.to, value.reason, value.retry_after, value.sent, value.candidates);
}

template <class T>
std::string pack(const T& value) {
    std::string body;
    pack_into(body, value);
    return body;
}

template <class T>
void pack_into(std::string& body, const T& value) {
    body.clear();
    BodyWriter writer(body);
    FieldCodec<BodyWriter> codec(writer);
    // One function describes the fields for both directions; writing changes nothing.
    encode_fields(codec, const_cast<T&>(value));
}

template <class T>
T unpack(std::string_view body) {
    BodyReader reader(body);
    FieldCodec<BodyReader> codec(reader);
    T value;
    encode_fields(codec, value);
    if (!reader.at_end()) throw TraceError("a record is longer than its type allows");
    return value;
}

#define PLUMKEEL_RECORD_TYPE(T)                         \
    template std::string pack<T>(const T&);             \
    template void pack_into<T>(std::string&, const T&); \
    template T unpack<T>(std::string_view);
PLUMKEEL_RECORD_TYPE(SchedulerSettings)
PLUMKEEL_RECORD_TYPE(NameRecord)
PLUMKEEL_RECORD_TYPE(FunctionReleased)
PLUMKEEL_RECORD_TYPE(Gap)
PLUMKEEL_RECORD_TYPE(Resumed)
PLUMKEEL_RECORD_TYPE(Merged)
PLUMKEEL_RECORD_TYPE(SampledRequest)
PLUMKEEL_RECORD_TYPE(RequestSubmitted)
PLUMKEEL_RECORD_TYPE(ResponseStarted)
PLUMKEEL_RECORD_TYPE(AttemptEnded)
PLUMKEEL_RECORD_TYPE(EndpointsChanged)
PLUMKEEL_RECORD_TYPE(HealthCheckEnded)
PLUMKEEL_RECORD_TYPE(PreloadEnded)
PLUMKEEL_RECORD_TYPE(ActionsRecord)
PLUMKEEL_RECORD_TYPE(TransitionRecord)
#undef PLUMKEEL_RECORD_TYPE

}  // namespace plumkeel::trace
