// Plain data shared by the decision module and whoever hosts it. Nothing is decided here.
//
// The host owns Job, Invoker and Function objects and hands out pointers to them. It fills the part marked
// "set at the door" before the object first crosses the interface; the rest belongs to the module.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/belief_table.hpp"
#include "dispatch/fleet_table.hpp"
#include "dispatch/function_table.hpp"
#include "dispatch/placement_index.hpp"

namespace plumkeel {

using Time = std::chrono::microseconds;         // a span, or a moment as the span since the instance's start
using Ticket = std::pair<Time, std::uint64_t>;  // a place in the controller's ordered list of due times

struct Function;
struct Invoker;
struct Job;

enum class Repeat { replayable, referenced, single_use };
enum class Reach { everywhere, zone, cell };  // how far the mark of a referenced job is known

struct UseCase {
    Time promised{};
    Repeat repeat{};
    Reach reach{};
    Time remembered{};
};

struct Tenant {
    double share_per_s{};  // jobs a second, over all controllers; 0: none stated
    double level{};        // the module's fading count of arrivals
    Time seen{};
};

// What the deployment forbids.
struct Rulebook {
    Time cold_for{};
    double cold_share{};
    double push_multiple{};
    Time push_span{};
    Time load_span{};
    double free_loads{};
    double loads_per_job{};
};

// What the deployment lets a controller do, and tells it.
struct Allowances {
    bool call_off{};
    bool probe{};
    bool second_copies{};
    bool retry_after{};
    bool order_copies{};
    bool ask_for_list{};  // the list of invokers has to be followed on order
    bool loads_on_demand{};
    bool steady_units{};  // an invoker's units stay the same from list to list
    int hops{};
    int controllers{};
    Time longest_retry_after{};
    Time keep_alive{};
    Time tick{};
    double memory_price{};
    double probe_price{};  // in parts of a job's worth; 0: none stated
};

enum class Ending {
    honoured,
    errored,
    turned_away,  // proves that it never ran, as do the next three
    unreachable,
    never_sent,
    not_loaded,
    overdue,
    cut_off,
    called_off,
};

enum class Note { none, stood_loaded, began_load, joined_load, load_broke };

struct Report {  // any figure may be missing
    std::optional<double> held, queued;
};

struct Hop {
    Job* job{};
    Invoker* invoker{};
    int number{};
    Time sent{};
    Time limit{};
    bool out{};
    bool loads{};  // this hop is its function's one load
    bool expected_warm{};
    bool seen_warm{};  // by an answer from there, not by what other controllers are taken to do
    int beside{};      // own jobs of the function there when it left
    double crowd{};    // jobs thought to be there when it left
    std::optional<Ending> ending;
};

enum class JobState { fresh, hopping, parked, streaming, honoured, bounced, written_off, abandoned };

// Why a job was turned to its state.
enum class Why {
    none,
    best_invoker,  // of those weighed
    calm_copy,     // all are crowded: a copy is brought to a calm invoker
    silent_there,  // its invoker does not answer: it goes on to another
    none_usable,   // no invoker may be sent it now
    crowded,       // it would be late only behind others' jobs
    load_out,      // its function's one load is not over
    lanes_taken,   // all lanes of the copies that stand
    load_ordered,
    loads_rationed,
    never_ran,  // its hop came back without having run: the next resend
    hops_used,
    park_full,
    parked_long,
    time_up,
    may_have_run,  // and may not run again anywhere
    answer_came,
    answer_begun,
    answer_cut,
    client_left,
};

struct Job {
    std::uint64_t id{};  // set at the door, down to `again`
    const UseCase* use_case{};
    Tenant* tenant{};
    Function* function{};
    Time time_left{};
    bool again{};  // its client says that it tried before

    JobState state{};
    Time taken{}, promised{}, expires{};
    std::deque<Hop> hops;
    Ticket due{};
    Time retry_after{};
    bool over_share{};
    Why why{};

    bool answered() const { return state >= JobState::honoured; }
    bool closed() const {
        for (const Hop& hop : hops)
            if (hop.out) return false;
        return answered();
    }
};

struct Function {
    std::string name;  // set at the door, down to `told_load`
    int lanes{};
    std::optional<Time> told_load;

    bool known{};
    std::uint64_t print{};
    double run{};   // learned, in seconds on an idle average invoker
    double load{};  // learned, in seconds
    BeliefTable beliefs;
    std::vector<Job*> parked;
    Invoker* loading{};  // where its one load is out
    Time loading_since{};
    bool load_ordered{};
    Time clock{};  // when the budget clock started
    bool ticking{};
    Time delay{}, resend{};
    Ticket due{};
    Time seen{};
    double level{};               // a fading count of arrivals
    PlacementIndex::Homes homes;  // the first invokers, as the controllers rank them for this function
    int jobs{};                   // unclosed
    FunctionPlace place;
};

// What is learned of all invokers of a kind; `pace` and `press` of one are relative to these.
struct Kind {
    double pace{}, press{};
    int paced{}, pressed{};  // how many runs taught these
};

enum class Standing { trusted, suspect, aside, easing };

struct Invoker {
    std::string name;  // set at the door, down to `cell`, and again with each change
    bool ready{};
    double units{};
    std::string zone;
    Kind* kind{};
    int cell{};
    std::optional<Time> started;  // absent: long ago

    bool known{}, listed{};
    Time left_list{};
    std::uint64_t print{};
    std::optional<Time> cold_since, cold_from;
    std::deque<Time> cold_hops;
    double cold_draw{};  // from 0 to 1, at each start: this controller's luck with a part of a hop
    bool down{};         // it was seen to be gone: its next answer comes from a new start
    Standing standing{};
    int missed{}, cuts{}, answered{}, easy{};
    double faulty{};  // fading part of its answers that were errors for jobs which others then honoured
    bool probing{};
    Time probed{}, heard{}, used{}, aside_since{};
    std::vector<Hop*> out;
    double pace{}, press{};  // learned: slowness when idle, and slowness for each job held
    std::optional<double> held;
    double usual{};  // others' jobs there, over its last reports
    Time held_at{};
    int out_then{};                          // own hops out when the report was measured
    std::deque<std::pair<Time, int>> moves;  // lately sent and ended
    int lately{};                            // the sum of these
    Time shun_until{}, no_room_until{};
    std::vector<Function*> holders;                     // functions with a belief of it
    std::uint64_t told_in{}, weighed_in{}, named_in{};  // the last list, choice and sweep in which it came up
    InvokerPlace place;
};

struct CopyOrder {
    Function* function{};
    Invoker* invoker{};
    int copies{};  // 0: unload the idle ones
};

// What kept an invoker from being weighed for a job.
enum class Bar { none, not_ready, cold_budget, doubted, eased, may_not_repeat, turned_away, no_room };

struct Weighed {
    Invoker* invoker{};
    double finish{}, wait{};  // in seconds from now; of these, caused by others' jobs
    bool warm{};
    Bar bar{};  // if any, nothing of the above but the invoker holds
};

// A job's change of state. One that stays parked for the same reason is not told again.
struct Turned {
    Job* job{};
    JobState to{};
    Why why{};
    Hop* hop{};  // that it started
    std::vector<Weighed> weighed;
};

enum class Tell { nothing, turns, weighed };  // how much of its reasons a controller tells

// What came of one call, in the controller's own objects. The host carries out the lists in this order.
struct Results {
    std::vector<Hop*> called_off;
    std::vector<Job*> answered;
    std::vector<Hop*> started;
    std::vector<Invoker*> probed;
    std::vector<CopyOrder> ordered;
    std::vector<Function*> forgotten;  // the host may free these
    std::vector<Invoker*> released;    // and these: long off the list, and nothing points to them any more
    bool follow_list{};
    Time next_wake{};
    std::vector<Turned> turned;  // only as far as the host asks: there is nothing to carry out
};

}  // namespace plumkeel
