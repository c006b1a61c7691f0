// The interface of the decision module: one Controller for each controller, sharing nothing with others.
// Its decisions are in controller.cpp. Every call says what happened and when, and returns what to do.
#pragma once

#include <map>

#include "dispatch/types.hpp"

namespace plumkeel {

// Counts of what decisions cost, over the controller's life: of invokers looked at, which do not depend on the machine.
struct DecisionWork {
    std::uint64_t choices{};
    std::uint64_t visited{};  // asked whether they may be sent anything
    std::uint64_t weighed{};  // of these, how soon they would answer
    std::uint64_t hashed{};   // ranked for a function
    std::uint64_t swept{};    // looked at by periodic work or because of a list
};

class Controller {
public:
    Controller(std::uint64_t seed, Rulebook rules, Allowances may);

    // From now on Results tell so much of the reasons; it changes nothing that is decided.
    void tell(Tell how_much) { tell_ = how_much; }
    std::size_t parked() const { return parked_; }
    std::size_t functions() const { return functions_.size(); }
    DecisionWork work() const;

    Results take(Time now, Job& job);
    Results hop_accepted(Time now, Hop& hop);
    Results hop_ended(Time now, Hop& hop, Ending ending, Note note, int company, const Report& report);
    Results client_left(Time now, Job& job);
    // Invokers whose facts changed; with `complete`, all others are gone.
    Results fleet_changed(Time now, const std::vector<Invoker*>& changed, bool complete);
    // Invokers that are gone; all others stay as they are.
    Results fleet_left(Time now, const std::vector<Invoker*>& gone);
    Results list_broke(Time now);
    Results probe_answered(Time now, Invoker& invoker, bool answered, const Report& report);
    Results load_answered(Time now, Function& function, Invoker& invoker, Ending ending, int copies);
    Results wake(Time now);

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
        Job* job{};
        Function* function{};
    };

    void enter(Time now);
    Results done();
    void place(Job& job);
    void turn(Job& job, JobState to, Why why, Hop* started = nullptr);
    void give_up(Job& job, Why why);
    void park(Job& job, Why why);
    void release(Function& function);
    void start_hop(Job& job, const Choice& choice, Why why);
    void expect_load(Function& function);
    void load_over(Function& function);
    // A choice under way.
    struct Search {
        Job& job;
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
    Choice choose(Job& job);
    Search start_search(Job& job) const;
    void look_at_homes(Search& search);
    void look_at_beliefs(Search& search);
    void look_for_calm(Search& search);
    Invoker* visit(Search& search, std::size_t place);
    bool usable(Search& search, Invoker& invoker);
    Bar bar_of(Invoker& invoker);
    void weigh_home(Search& search, Invoker* invoker);
    bool weigh(Search& search, Invoker& invoker, double bias, bool kept);
    void tell_weighed(const Choice& choice, Bar bar);
    bool room_is_short();
    bool erred_there(const Job& job, const Invoker& invoker) const;
    double estimate(const Function& function, const Invoker& invoker, const Belief* belief, Choice& choice) const;

    bool may_hop(const Job& job, const Invoker& invoker) const;
    bool may_bounce(const Job& job) const;
    bool may_send_to(Invoker& invoker);
    void begin_cold(Invoker& invoker, Time since);
    void end_cold(Invoker& invoker);
    void end_cold_starts();
    bool may_order();

    void blame(const Hop& hop);
    void learn(const Hop& hop, Note note, int company);
    double ratio_at(const Hop& hop) const;
    void learn_ratio(const Hop& hop, double took);
    void hear(Invoker& invoker, const Report& report);
    int moved(Invoker& invoker, int change);
    void probe(Invoker& invoker);
    bool overdue(const Invoker& invoker) const;
    void mistrust(Invoker& invoker, bool certain);
    void answered_well(Invoker& invoker);
    void turned_away(Invoker& invoker, bool stood);
    bool stood_free(const Hop& hop, int company) const;
    void rescue(Invoker& invoker);
    void take_up(Invoker& invoker);
    void leave_list(Invoker& invoker);
    void list_changed();
    void forget(Invoker& invoker);
    void recount(Invoker& invoker);
    void set_standing(Invoker& invoker, Standing standing);
    void sweep();
    void review(Invoker& invoker);
    void ask_for_reports();
    void review(Function& function);
    void release_gone();
    void let_go(Invoker& invoker);
    void mark_named();
    void mark_named(const Job& job);
    void unload_spare(Function& function);
    double weight_of(const Invoker& invoker) const;
    void set_due(Ticket& slot, Time at, Due what);
    void drop_due(Ticket& slot);
    void clock_due(Function& function);

    void meet(Function& function);
    void make_room();
    void drop(Function& function);
    void set_loading(Function& function, Invoker* invoker);
    void set_ticking(Function& function, bool ticking);
    void set_until(Function& function, Belief& belief, Time until);
    bool believed(const Belief* belief) const;
    Belief* belief_of(Function& function, const Invoker& invoker) const;
    Belief& believe(Function& function, Invoker& invoker);
    double load_time(const Function& function) const;
    double pace_of(const Invoker& invoker) const { return invoker.kind->pace * invoker.pace; }
    double press_of(const Invoker& invoker) const { return invoker.kind->press * invoker.press; }
    double others_a_job() const;
    double crowd_at(const Invoker& invoker) const;
    double chance();

    const Rulebook rules_;
    const Allowances may_;
    std::uint64_t dice_;
    Time now_{};
    Results results_;
    Tell tell_{};
    std::vector<Weighed> weighed_;  // by the last choose(), to be told
    FleetTable fleet_;
    FunctionTable functions_;
    PlacementIndex index_;
    std::vector<Invoker*> no_room_;  // that turned something away a moment ago
    DecisionWork work_;
    std::uint64_t sweeps_{};
    std::map<Ticket, Due> due_;
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
