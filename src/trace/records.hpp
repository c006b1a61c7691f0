// What the records of a trace tell: a struct each kind, packed into a record's body and unpacked from it. The one
// place that knows the bodies of docs/trace-format.md. Unpacking throws Fault where the body is not as it should
// be, and allocates no more than the body holds.
#pragma once

#include "scheduler/types.hpp"
#include "trace/format.hpp"

namespace plumkeel::trace {

// Kinds of records. 1 to 7 are needed to understand the others: the index knows the blocks that hold any.
enum RecordType : std::uint8_t {
    settings = 1,
    function_known = 2,
    gap = 3,
    function_released = 4,
    invoker_known = 5,
    resumed = 6,
    merged = 7,
    sampled_request = 9,
    submit = 10,
    response_started,
    attempt_ended,
    client_disconnected,
    endpoints_changed,
    endpoint_stream_lost,
    health_check_ended,
    preload_ended,
    wake,
    actions = 30,     // the Results of the call before it
    transition = 31,  // a job's change of state in the call before it, and why
};

// What the controller was given at its start, in the order in which the records number them.
struct Start {
    std::string name;
    std::uint64_t seed{};
    SafetyRules rules;
    Capabilities capabilities;
    std::vector<std::pair<std::string, RequestClass>> request_classes;
    std::vector<std::pair<std::string, double>> tenants;  // with their shares
};

struct NameRecord {  // a function or an invoker
    std::uint64_t number{};
    std::string name;
};

struct FunctionReleased {
    std::uint64_t number{};
};

struct Gap {  // what the recorder dropped
    std::uint64_t records{}, bytes{};
};

// The file goes on from an earlier one, or is a part of one: names told again follow.
struct Resumed {
    std::uint64_t before{};  // records of this trace in earlier files
    std::uint64_t again{};   // how many records of names, told again, follow; not counted elsewhere
    std::string part;        // empty: whole; else how it was made of others, and that it can't be decided again
};

// The trace holds the records of several controllers; a job's number is its own there, times their count, plus
// the controller's place in the list.
struct Merged {
    std::vector<std::string> controllers;
};

struct NestedRecord {
    Time at{};
    std::uint8_t type{};
    std::string body;
};

struct SampledRequest {  // a sampled job's records, told when it ended
    std::vector<NestedRecord> records;
};

struct RequestSubmitted {
    std::uint64_t request_class{}, tenant{}, function{};  // tenant: 0 for none, else its number and 1
    int concurrency{};
    std::optional<Time> declared_load_time;
    Time remaining{};
    bool is_client_retry{};
};

struct ResponseStarted {
    std::uint64_t attempt{};
};

struct AttemptEnded {
    std::uint64_t attempt{};
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    int concurrent_requests{};
    LoadReport report;
};

struct EndpointRecord {
    std::uint64_t invoker{};
    bool ready{};
    double capacity{};
    std::string zone;
    std::uint64_t type{};
    int cell{};
    std::optional<Time> started_at;
};

struct EndpointsChanged {
    bool complete{};
    std::uint64_t controller{};  // in a merged trace, which one was told; else 0
    std::vector<EndpointRecord> changed;
};

struct HealthCheckEnded {
    std::uint64_t invoker{};
    bool answered{};
    LoadReport report;
};

struct PreloadEnded {
    std::uint64_t function{}, invoker{};
    AttemptOutcome outcome{};
    int copies{};
};

struct ActionsRecord {
    struct Cancelled {
        std::uint64_t request{}, attempt{};
    };
    struct Completed {
        std::uint64_t request{};
        RequestState state{};
        Time retry_after{};
    };
    struct Sent {
        std::uint64_t request{}, attempt{}, invoker{};
        Time timeout{};
    };
    struct Preloaded {
        std::uint64_t function{}, invoker{};
        int copies{};
    };
    std::vector<Cancelled> to_cancel;
    std::vector<Completed> completed;
    std::vector<Sent> to_send;
    std::vector<std::uint64_t> to_probe;
    std::vector<Preloaded> to_preload;
    std::vector<std::uint64_t> released_functions;
    bool subscribe_endpoints{};
    Time next_wake{};
};

struct TransitionRecord {
    struct Sent {
        std::uint64_t attempt{}, invoker{};
        bool starts_load{}, warm{};  // it brings its function's one load; a copy was taken to stand there
    };
    struct Candidate {
        std::uint64_t invoker{};
        Time finish{}, contention{};
        bool warm{};
        ExclusionReason exclusion{};
    };
    RequestState to{};
    DecisionReason reason{};
    Time retry_after{};  // a bounce's retry-after
    std::optional<Sent> sent;
    std::vector<Candidate> candidates;
};

// One pair for each of the above.
template <class T>
std::string pack(const T& told);
// The same into a string that is used again and again: nothing is allocated once it is large enough.
template <class T>
void pack_into(std::string& body, const T& told);
template <class T>
T unpack(std::string_view body);

}  // namespace plumkeel::trace
