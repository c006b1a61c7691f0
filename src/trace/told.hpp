// What the records of a trace tell: a struct each kind, packed into a record's body and unpacked from it. The one
// place that knows the bodies of docs/trace-format.md. Unpacking throws Fault where the body is not as it should
// be, and allocates no more than the body holds.
#pragma once

#include "dispatch/types.hpp"
#include "trace/format.hpp"

namespace plumkeel::trace {

// Kinds of records. 1 to 7 are needed to understand the others: the index knows the blocks that hold any.
enum Told : std::uint8_t {
    settings = 1,
    function_known = 2,
    gap = 3,
    function_forgotten = 4,
    invoker_known = 5,
    resumed = 6,
    merged = 7,
    story = 9,
    take = 10,
    hop_accepted,
    hop_ended,
    client_left,
    fleet_changed,
    list_broke,
    probe_answered,
    load_answered,
    wake,
    answered = 30,  // the Results of the call before it
    turned = 31,    // a job's change of state in the call before it, and why
};

// What the controller was given at its start, in the order in which the records number them.
struct Start {
    std::string name;
    std::uint64_t seed{};
    Rulebook rules;
    Allowances may;
    std::vector<std::pair<std::string, UseCase>> use_cases;
    std::vector<std::pair<std::string, double>> tenants;  // with their shares
};

struct Known {  // a function or an invoker
    std::uint64_t number{};
    std::string name;
};

struct Forgotten {
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

struct Nested {
    Time at{};
    std::uint8_t kind{};
    std::string body;
};

struct Story {  // a sampled job's records, told when it ended
    std::vector<Nested> records;
};

struct Taken {
    std::uint64_t use_case{}, tenant{}, function{};  // tenant: 0 for none, else its number and 1
    int lanes{};
    std::optional<Time> told_load;
    Time time_left{};
    bool again{};
};

struct HopAccepted {
    std::uint64_t hop{};
};

struct HopEnded {
    std::uint64_t hop{};
    Ending ending{};
    Note note{};
    int company{};
    Report report;
};

struct ListEntry {
    std::uint64_t invoker{};
    bool ready{};
    double units{};
    std::string zone;
    std::uint64_t kind{};
    int cell{};
    std::optional<Time> started;
};

struct FleetChanged {
    bool complete{};
    std::uint64_t controller{};  // in a merged trace, which one was told; else 0
    std::vector<ListEntry> changed;
};

struct ProbeAnswered {
    std::uint64_t invoker{};
    bool came{};
    Report report;
};

struct LoadAnswered {
    std::uint64_t function{}, invoker{};
    Ending ending{};
    int copies{};
};

struct Answer {
    struct CalledOff {
        std::uint64_t job{}, hop{};
    };
    struct Answered {
        std::uint64_t job{};
        JobState state{};
        Time pause{};
    };
    struct Started {
        std::uint64_t job{}, hop{}, invoker{};
        Time limit{};
    };
    struct Ordered {
        std::uint64_t function{}, invoker{};
        int copies{};
    };
    std::vector<CalledOff> called_off;
    std::vector<Answered> answered;
    std::vector<Started> started;
    std::vector<std::uint64_t> probed;
    std::vector<Ordered> ordered;
    std::vector<std::uint64_t> forgotten;
    bool follow_list{};
    Time next_wake{};
};

struct TurnedTo {
    struct Sent {
        std::uint64_t hop{}, invoker{};
        bool loads{}, warm{};  // it brings its function's one load; a copy was taken to stand there
    };
    struct Candidate {
        std::uint64_t invoker{};
        Time finish{}, wait{};
        bool warm{};
        Bar bar{};
    };
    JobState to{};
    Why why{};
    Time pause{};  // a bounce's retry-after
    std::optional<Sent> sent;
    std::vector<Candidate> weighed;
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
