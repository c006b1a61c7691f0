#include "trace/records.hpp"

#include "trace/record_codec.hpp"

// Each apply_codec() passes the fields of one struct to the codec in their stored order. The functions are found by
// argument-dependent lookup and therefore are in the namespace of their struct.
namespace plumkeel {

template <class Codec>
void apply_codec(Codec& codec, RequestClass& value) {
    codec.fields(value.latency_target, value.idempotency, value.deduplication_scope, value.deduplication_window);
}
template <class Codec>
void apply_codec(Codec& codec, SafetyRules& value) {
    codec.fields(value.slow_start_duration, value.slow_start_initial_share, value.slow_start_rate_multiple,
                 value.slow_start_window, value.load_budget_window, value.load_budget_base,
                 value.load_budget_per_request);
}
template <class Codec>
void apply_codec(Codec& codec, Capabilities& value) {
    codec.fields(value.cancellation, value.health_checks, value.hedging, value.retry_after, value.preload,
                 value.subscribes_endpoints, value.on_demand_loading, value.stable_capacity, value.max_attempts,
                 value.controller_count, value.max_retry_after, value.keep_alive, value.clock_resolution,
                 value.memory_price);
}
template <class Codec>
void apply_codec(Codec& codec, LoadReport& value) {
    codec.fields(value.in_flight, value.queued);
}

}  // namespace plumkeel

namespace plumkeel::trace {

template <class Codec>
void apply_codec(Codec& codec, SchedulerSettings& value) {
    codec.fields(value.name, value.seed, value.rules, value.capabilities, value.request_classes, value.tenants);
    codec.optional_trailing_field(value.capabilities.health_check_price);
}
template <class Codec>
void apply_codec(Codec& codec, NameRecord& value) {
    codec.fields(value.number, value.name);
}
template <class Codec>
void apply_codec(Codec& codec, FunctionReleased& value) {
    codec.fields(value.number);
}
template <class Codec>
void apply_codec(Codec& codec, Gap& value) {
    codec.fields(value.records, value.bytes);
}
template <class Codec>
void apply_codec(Codec& codec, Resumed& value) {
    codec.fields(value.earlier_records, value.repeated_names, value.derivation);
}
template <class Codec>
void apply_codec(Codec& codec, MergedControllers& value) {
    codec.fields(value.controllers);
}
template <class Codec>
void apply_codec(Codec& codec, NestedRecord& value) {
    codec.fields(value.at, value.type, value.body);
}
template <class Codec>
void apply_codec(Codec& codec, SampledRequest& value) {
    codec.fields(value.records);
}
template <class Codec>
void apply_codec(Codec& codec, RequestSubmitted& value) {
    codec.fields(value.request_class, value.tenant, value.function, value.concurrency, value.declared_load_time,
                 value.remaining, value.is_client_retry);
}
template <class Codec>
void apply_codec(Codec& codec, ResponseStarted& value) {
    codec.fields(value.attempt);
}
template <class Codec>
void apply_codec(Codec& codec, AttemptEnded& value) {
    codec.fields(value.attempt, value.outcome, value.load_event, value.concurrent_requests, value.report);
}
template <class Codec>
void apply_codec(Codec& codec, EndpointRecord& value) {
    codec.fields(value.invoker, value.ready, value.capacity, value.zone, value.type, value.cell, value.started_at);
}
template <class Codec>
void apply_codec(Codec& codec, EndpointsChanged& value) {
    codec.fields(value.complete, value.controller, value.changed);
}
template <class Codec>
void apply_codec(Codec& codec, HealthCheckEnded& value) {
    codec.fields(value.invoker, value.answered, value.report);
}
template <class Codec>
void apply_codec(Codec& codec, PreloadEnded& value) {
    codec.fields(value.function, value.invoker, value.outcome, value.copies);
}
template <class Codec>
void apply_codec(Codec& codec, ActionsRecord::CancelledAttempt& value) {
    codec.fields(value.request, value.attempt);
}
template <class Codec>
void apply_codec(Codec& codec, ActionsRecord::CompletedRequest& value) {
    codec.fields(value.request, value.state, value.retry_after);
}
template <class Codec>
void apply_codec(Codec& codec, ActionsRecord::SentAttempt& value) {
    codec.fields(value.request, value.attempt, value.invoker, value.timeout);
}
template <class Codec>
void apply_codec(Codec& codec, ActionsRecord::Preload& value) {
    codec.fields(value.function, value.invoker, value.copies);
}
template <class Codec>
void apply_codec(Codec& codec, ActionsRecord& value) {
    codec.fields(value.to_cancel, value.completed, value.to_send, value.to_probe, value.to_preload,
                 value.released_functions, value.subscribe_endpoints, value.next_wake);
}
template <class Codec>
void apply_codec(Codec& codec, TransitionRecord::SentAttempt& value) {
    codec.fields(value.attempt, value.invoker, value.starts_load, value.warm);
}
template <class Codec>
void apply_codec(Codec& codec, TransitionRecord::Candidate& value) {
    codec.fields(value.invoker, value.exclusion);
    if (value.exclusion == ExclusionReason::none) codec.fields(value.finish, value.contention, value.warm);
}
template <class Codec>
void apply_codec(Codec& codec, TransitionRecord& value) {
    codec.fields(value.to, value.reason, value.retry_after, value.sent, value.candidates);
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
    // apply_codec() serves both encoding and decoding, so it takes a non-const reference. Encoding modifies nothing.
    apply_codec(codec, const_cast<T&>(value));
}

template <class T>
T unpack(std::string_view body) {
    BodyReader reader(body);
    FieldCodec<BodyReader> codec(reader);
    T value;
    apply_codec(codec, value);
    if (!reader.at_end()) throw TraceError("a record has extra bytes after its last field");
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
PLUMKEEL_RECORD_TYPE(MergedControllers)
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
