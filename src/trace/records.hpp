/// \file
/// The contents of a trace's records: a struct for each type, packed into a record's body and unpacked from it. The
/// only code that knows the bodies of docs/trace-format.md. Functions, invokers, request classes and tenants are
/// referred to by the numbers under which earlier records introduced them.
#pragma once

#include "scheduler/types.hpp"
#include "trace/format.hpp"

namespace plumkeel::trace {

/// The types of records. Those up to last_name_type are needed to interpret the others.
enum RecordType : std::uint8_t {
    settings = 1,
    function_known = 2,
    gap = 3,
    function_released = 4,
    invoker_known = 5,
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
    // What came of the call before.
    actions = 30,
    transition = 31,
};

/// What the scheduler was given at its start; request classes and tenants in the order that numbers them.
struct SchedulerSettings {
    std::string name;  ///< Of the controller.
    std::uint64_t seed{};
    SafetyRules rules;
    Capabilities capabilities;
    std::vector<std::pair<std::string, RequestClass>> request_classes;
    std::vector<std::pair<std::string, double>> tenants;  ///< With their quotas per second.
};

/// Introduces a function or an invoker.
struct NameRecord {
    std::uint64_t number{};
    std::string name;
};

/// The scheduler has forgotten a function; its number is not used again.
struct FunctionReleased {
    std::uint64_t number{};
};

/// Records that the recorder dropped, or that the disk did not store, are missing here.
struct Gap {
    std::uint64_t records{}, bytes{};
};

/// The first record of a file that continues an earlier one, or was derived from others.
struct Resumed {
    std::uint64_t earlier_records{};  ///< Records of this trace in earlier files.
    std::uint64_t repeated_names{};   ///< How many records follow that repeat names; they are counted nowhere else.
    std::string derivation;           ///< Empty, or how the file was derived; it then cannot be replayed.
};

/// The trace holds several controllers' records. A request's number is its own one times their count, plus the
/// controller's index in the list.
struct Merged {
    std::vector<std::string> controllers;
};

struct NestedRecord {
    Time at{};
    std::uint8_t type{};
    std::string body;
};

/// All records of one request, written when it ended, in a trace that holds a sample.
struct SampledRequest {
    std::vector<NestedRecord> records;
};

struct RequestSubmitted {
    std::uint64_t request_class{};
    std::uint64_t tenant{};  ///< 0 for none, else its number plus 1.
    std::uint64_t function{};
    int concurrency{};  ///< Requests that one loaded copy of the function runs at a time.
    std::optional<Time> declared_load_time;
    Time remaining{};  ///< Until the client gives up.
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
    std::optional<Time> started_at;  ///< Absent if long ago.
};

struct EndpointsChanged {
    bool complete{};             ///< The whole list; else only the endpoints that changed.
    std::uint64_t controller{};  ///< In a merged trace the receiving controller's index, else 0.
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

/// The scheduler's Actions, by number instead of by pointer.
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

/// A request's change of state, with the scheduler's reason.
struct TransitionRecord {
    struct Sent {
        std::uint64_t attempt{}, invoker{};
        bool starts_load{};  ///< The attempt makes the invoker load the function.
        bool warm{};         ///< The invoker was estimated to have a loaded copy.
    };
    /// An invoker that was considered. The fields after `invoker` but for `exclusion` are set only if it is eligible.
    struct Candidate {
        std::uint64_t invoker{};
        Time finish{};      ///< Estimated time to the response.
        Time contention{};  ///< The part of it caused by other requests.
        bool warm{};
        ExclusionReason exclusion{};
    };
    RequestState to{};
    DecisionReason reason{};
    Time retry_after{};  ///< Of a rejection.
    std::optional<Sent> sent;
    std::vector<Candidate> candidates;
};

/// Encodes any of the structs above that is a record's whole body.
template <class T>
std::string pack(const T& value);
/// The same into a string that is reused: nothing is allocated once it is large enough.
template <class T>
void pack_into(std::string& body, const T& value);
/// Throws TraceError if the body is malformed; allocates no more than the body accounts for.
template <class T>
T unpack(std::string_view body);

}  // namespace plumkeel::trace
