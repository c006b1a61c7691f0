/// \file
/// The contents of trace records: one struct for each record type, with functions that encode it into a record's body
/// and decode it (docs/trace-format.md). Records refer to functions, invokers, request classes and tenants by numbers,
/// which earlier records of the trace assign to their names.
#pragma once

#include "scheduler/types.hpp"
#include "trace/format.hpp"

namespace plumkeel::trace {

/// Record types; stored in trace files. Types up to last_name_type define names and settings that other records use.
enum RecordType : std::uint8_t {
    settings = 1,
    function_defined = 2,
    gap = 3,
    function_released = 4,
    invoker_defined = 5,
    resumed = 6,
    merged = 7,
    sampled_request = 9,
    // Calls into the scheduler.
    submit = 10,
    response_started,
    attempt_ended,
    client_disconnected,
    endpoints_changed,
    endpoint_stream_lost,
    health_check_ended,
    preload_ended,
    wake,
    // Results of the preceding scheduler call.
    actions = 30,
    transition = 31,
};

/// Configuration of the recorded scheduler. Records refer to a request class or tenant by its index in these lists.
struct SchedulerSettings {
    std::string name;  ///< Name of the controller.
    std::uint64_t seed{};
    SafetyRules rules;
    Capabilities capabilities;
    std::vector<std::pair<std::string, RequestClass>> request_classes;
    std::vector<std::pair<std::string, double>> tenants;  ///< Name and requests per second.
};

/// Assigns a number to the name of a function or an invoker.
struct NameRecord {
    std::uint64_t number{};
    std::string name;
};

/// The scheduler has deleted its state of a function. The function's number is not reused.
struct FunctionReleased {
    std::uint64_t number{};
};

/// Records are missing at this position of the trace: the recorder dropped them, or writing them to disk failed.
struct Gap {
    std::uint64_t records{}, bytes{};
};

/// The first record of a file that continues an earlier file, or that a tool derived from other trace files.
struct Resumed {
    std::uint64_t earlier_records{};  ///< Number of records of this trace in earlier files.
    std::uint64_t repeated_names{};   ///< Number of following records that repeat settings and names of earlier files.
    std::string derivation;           ///< How the file was derived, or empty. Derived files cannot be replayed.
};

/// The trace contains the records of several controllers. Request numbers are changed to be unique:
/// original number * number of controllers + index of the controller in `controllers`.
struct MergedControllers {
    std::vector<std::string> controllers;
};

struct NestedRecord {
    Time at{};
    std::uint8_t type{};
    std::string body;
};

/// All records of one request, written when the request has ended, in a trace that contains a sample of the requests.
struct SampledRequest {
    std::vector<NestedRecord> records;
};

struct RequestSubmitted {
    std::uint64_t request_class{};
    std::uint64_t tenant{};  ///< 0 for a request without tenant, else the tenant's number plus 1.
    std::uint64_t function{};
    int concurrency{};  ///< Number of requests that one loaded copy of the function runs concurrently.
    std::optional<Time> declared_load_time;
    Time remaining{};  ///< Time until the request's deadline.
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
    std::optional<Time> started_at;  ///< Absent if the invoker started long ago.
};

struct EndpointsChanged {
    bool complete{};             ///< Whether `changed` lists all endpoints, not only those that changed.
    std::uint64_t controller{};  ///< Index of the controller that received the list; 0 if the trace is not merged.
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

/// The Actions that the scheduler returned, with numbers in place of pointers.
struct ActionsRecord {
    struct CancelledAttempt {
        std::uint64_t request{}, attempt{};
    };
    struct CompletedRequest {
        std::uint64_t request{};
        RequestState state{};
        Time retry_after{};
    };
    struct SentAttempt {
        std::uint64_t request{}, attempt{}, invoker{};
        Time timeout{};
    };
    struct Preload {
        std::uint64_t function{}, invoker{};
        int copies{};
    };
    std::vector<CancelledAttempt> to_cancel;
    std::vector<CompletedRequest> completed;
    std::vector<SentAttempt> to_send;
    std::vector<std::uint64_t> to_probe;
    std::vector<Preload> to_preload;
    std::vector<std::uint64_t> released_functions;
    bool subscribe_endpoints{};
    Time next_wake{};
};

/// A state transition of a request, with the scheduler's reason.
struct TransitionRecord {
    struct SentAttempt {
        std::uint64_t attempt{}, invoker{};
        bool starts_load{};  ///< Whether the attempt makes the invoker load the function.
        bool warm{};         ///< Whether the scheduler expected a loaded copy at the invoker.
    };
    /// An invoker that the scheduler considered for the attempt. `finish`, `contention` and `warm` are set only if
    /// `exclusion` is ExclusionReason::none.
    struct Candidate {
        std::uint64_t invoker{};
        Time finish{};      ///< Estimated time until the response.
        Time contention{};  ///< Part of `finish` that is spent waiting for other requests.
        bool warm{};
        ExclusionReason exclusion{};
    };
    RequestState to{};
    DecisionReason reason{};
    Time retry_after{};  ///< Retry-After time sent with a rejection; 0 for other states.
    std::optional<SentAttempt> sent;
    std::vector<Candidate> candidates;
};

/// Encodes a record struct, such as AttemptEnded, into a record body.
template <class T>
std::string pack(const T& value);
/// Encodes a record struct into `body`, replacing its content and reusing its memory.
template <class T>
void pack_into(std::string& body, const T& value);
/// Decodes a record body. Throws TraceError if it is malformed. Memory use is bounded by the size of the body.
template <class T>
T unpack(std::string_view body);

}  // namespace plumkeel::trace
