// The interface of the decision module: one Controller for each controller, sharing nothing with others.
// Its decisions are in controller.cpp. Every call says what happened and when, and returns what to do.
#pragma once

#include <map>

#include "scheduler/types.hpp"

namespace plumkeel {

// Counts of what decisions cost, over the controller's life: of invokers looked at, which do not depend on the machine.
struct DecisionWork {
    std::uint64_t placements{};
    std::uint64_t examined{};  // asked whether they may be sent anything
    std::uint64_t scored{};    // of these, how soon they would answer
    std::uint64_t hashed{};    // ranked for a function
    std::uint64_t swept{};     // looked at by periodic work or because of a list
};

class Scheduler {
public:
    Scheduler(std::uint64_t seed, SafetyRules rules, Capabilities may);

    // From now on Results tell so much of the reasons; it changes nothing that is decided.
    void set_trace_detail(TraceDetail how_much) { tell_ = how_much; }
    std::size_t parked_count() const { return parked_; }
    std::size_t function_count() const { return functions_.size(); }
    DecisionWork work() const;

    Actions submit(Time now, Request& request);
    Actions response_started(Time now, Attempt& attempt);
    Actions attempt_ended(Time now, Attempt& attempt, AttemptOutcome ending, LoadEvent note, int concurrent_requests,
                          const LoadReport& report);
    Actions client_disconnected(Time now, Request& request);
    // Invokers whose facts changed; with `complete`, all others are gone.
    Actions endpoints_changed(Time now, const std::vector<Invoker*>& changed, bool complete);
    // Invokers that are gone; all others stay as they are.
    Actions endpoints_removed(Time now, const std::vector<Invoker*>& gone);
    Actions endpoint_stream_lost(Time now);
    Actions health_check_ended(Time now, Invoker& invoker, bool answered, const LoadReport& report);
    Actions preload_ended(Time now, Function& function, Invoker& invoker, AttemptOutcome ending, int copies);
    Actions wake(Time now);

private:
    struct Choice {
        Invoker* invoker{};
        double finish{};  // seconds from now
        double wait{};    // of these, caused by others' jobs
        bool warm{};
        bool full{};      // warm, but for all lanes being taken
        Invoker* calm{};  // where a further copy would find room, if all candidates are crowded
    };
    struct Due {
        Request* request{};
        Function* function{};
    };

    void enter(Time now);
    Actions done();
    void place(Request& request);
    void turn(Request& request, RequestState to, DecisionReason why, Attempt* started = nullptr);
    void give_up(Request& request, DecisionReason why);
    void park(Request& request, DecisionReason why);
    void release(Function& function);
    void start_hop(Request& request, const Choice& choice, DecisionReason why);
    void expect_load(Function& function);
    void load_over(Function& function);
    // A choice under way.
    struct Search {
        Request& request;
        Function& function;
        std::size_t shared{}, wanted{};  // homes that all controllers use; homes to be weighed
        bool kept{};                     // the shared ones are taken to hold the function
        double near{};                   // seconds that make no difference
        bool bounded{};                  // the fleet is too large for all of it to be visited
        std::size_t visits_left{};
        std::size_t looked{}, found{};   // homes that could be weighed; of these, that can take the job
        std::size_t next{};              // place in the shared order from which on none was visited
        std::vector<Invoker*> usable{};  // of those visited, in the shared order
        Choice best{};
        int ties{};
    };
    Choice choose(Request& request);
    Search start_search(Request& request) const;
    void look_at_homes(Search& search);
    void look_at_beliefs(Search& search);
    void look_for_calm(Search& search);
    Invoker* sink(Search& search, std::size_t place);
    bool usable(Search& search, Invoker& invoker);
    ExclusionReason bar_of(Invoker& invoker);
    void weigh_home(Search& search, Invoker* invoker);
    bool weigh(Search& search, Invoker& invoker, double bias, bool kept);
    void tell_weighed(const Choice& choice, ExclusionReason bar);
    bool room_is_short();
    bool erred_there(const Request& request, const Invoker& invoker) const;
    double estimate(const Function& function, const Invoker& invoker, const CachedFunction* cached,
                    Choice& choice) const;

    bool may_hop(const Request& request, const Invoker& invoker) const;
    bool may_bounce(const Request& request) const;
    bool may_send_to(Invoker& invoker);
    void begin_cold(Invoker& invoker, Time since);
    void end_cold(Invoker& invoker);
    void end_cold_starts();
    bool may_order();

    void blame(const Attempt& attempt);
    void learn(const Attempt& attempt, LoadEvent note, int concurrent_requests);
    double ratio_at(const Attempt& attempt) const;
    void learn_ratio(const Attempt& attempt, double took);
    void hear(Invoker& invoker, const LoadReport& report);
    int moved(Invoker& invoker, int change);
    void probe(Invoker& invoker);
    bool overdue(const Invoker& invoker) const;
    void mistrust(Invoker& invoker, bool certain);
    void answered_well(Invoker& invoker);
    void turned_away(Invoker& invoker, bool stood);
    bool stood_free(const Attempt& attempt, int concurrent_requests) const;
    void rescue(Invoker& invoker);
    void take_up(Invoker& invoker);
    void leave_list(Invoker& invoker);
    void list_changed();
    void forget(Invoker& invoker);
    void recount(Invoker& invoker);
    void set_standing(Invoker& invoker, HealthState standing);
    void sweep();
    void review(Invoker& invoker);
    void ask_for_reports();
    void review(Function& function);
    void release_gone();
    void let_go(Invoker& invoker);
    void mark_named();
    void mark_named(const Request& request);
    void unload_spare(Function& function);
    double weight_of(const Invoker& invoker) const;
    void set_due(TimerKey& slot, Time at, Due what);
    void drop_due(TimerKey& slot);
    void clock_due(Function& function);

    void meet(Function& function);
    void make_room();
    void drop(Function& function);
    void set_loading(Function& function, Invoker* invoker);
    void set_ticking(Function& function, bool ticking);
    void set_until(Function& function, CachedFunction& cached, Time until);
    bool believed(const CachedFunction* cached) const;
    CachedFunction* belief_of(Function& function, const Invoker& invoker) const;
    CachedFunction& believe(Function& function, Invoker& invoker);
    double load_time(const Function& function) const;
    double pace_of(const Invoker& invoker) const { return invoker.type->slowdown_factor * invoker.slowdown_factor; }
    double press_of(const Invoker& invoker) const {
        return invoker.type->contention_factor * invoker.contention_factor;
    }
    double others_a_job() const;
    double crowd_at(const Invoker& invoker) const;
    double chance();

    const SafetyRules rules_;
    const Capabilities may_;
    std::uint64_t dice_;
    Time now_{};
    Actions results_;
    TraceDetail tell_{};
    std::vector<Candidate> weighed_;  // by the last choose(), to be told
    FleetTable fleet_;
    FunctionTable functions_;
    PlacementIndex index_;
    std::vector<Invoker*> no_room_;  // that turned something away a moment ago
    DecisionWork work_;
    std::uint64_t sweeps_{};
    std::map<TimerKey, Due> due_;
    std::uint64_t tickets_{};
    Time sweep_at_{}, back_at_{};
    double own_crowd_{};                 // own jobs for each unit of an invoker, on the mean
    double told_own_{}, told_others_{};  // means of that and of others' jobs, when reports came
    int reports_{};
    bool doubting_{};  // nearly all invokers look bad: the judgement is doubted, not the fleet
    std::size_t parked_{};
    double run_{}, load_{};  // learned over all functions, in seconds
    double rate_{};          // honoured hops a second for each unit of trusted invokers
    double crowd_{};         // others' jobs for each unit of an invoker, on the mean
    int honoured_lately_{};
    double probes_left_{}, probes_a_job_{};
    double level_{}, level_span_{};  // a fading count of arrivals, and over how many seconds
    Time seen_{};
    double shares_{};                  // of all tenants met, in jobs a second
    double pushed_out_{};              // of the hops to a copy taken to stand, the part that found none
    std::uint64_t list_{};             // how often the list has changed
    std::deque<Time> taken_, orders_;  // kept for the ration only
};

}  // namespace plumkeel
