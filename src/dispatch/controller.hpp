// The interface of the decision module: one Controller for each controller, sharing nothing with others.
// Its decisions are in controller.cpp. Every call says what happened and when, and returns what to do.
#pragma once

#include <map>

#include "types.hpp"

namespace plumkeel {

class Controller {
public:
    Controller(std::uint64_t seed, Rulebook rules, Allowances may);

    // From now on Results tell so much of the reasons; it changes nothing that is decided.
    void tell(Tell how_much) { tell_ = how_much; }
    std::size_t parked() const { return parked_; }

    Results take(Time now, Job& job);
    Results hop_accepted(Time now, Hop& hop);
    Results hop_ended(Time now, Hop& hop, Ending ending, Note note, int company, const Report& report);
    Results client_left(Time now, Job& job);
    // Invokers whose facts changed; with `complete`, all others are gone.
    Results fleet_changed(Time now, const std::vector<Invoker*>& changed, bool complete);
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
    Choice choose(Job& job);
    const std::vector<Invoker*>& shared_order(Function& function);
    bool erred_there(const Job& job, const Invoker& invoker) const;
    double estimate(const Function& function, const Invoker& invoker, const Belief* belief,
                    Choice& choice) const;

    bool may_hop(const Job& job, const Invoker& invoker) const;
    bool may_bounce(const Job& job) const;
    bool may_send_to(Invoker& invoker);
    void begin_cold(Invoker& invoker, Time since);
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
    void leave_list(Invoker& invoker);
    void forget(Invoker& invoker);
    void sweep();
    void release_gone();
    bool points_to(const Job& job, const Invoker& invoker) const;
    void unload_spare(Function& function);
    double rank(const Function& function, const Invoker& invoker) const;
    void set_due(Ticket& slot, Time at, Due what);
    void drop_due(Ticket& slot);
    void clock_due(Function& function);

    void meet(Function& function);
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
    std::vector<Invoker*> fleet_;
    std::vector<Function*> functions_;
    std::map<Ticket, Due> due_;
    std::uint64_t tickets_{};
    Time sweep_at_{}, back_at_{};
    double own_crowd_{};               // own jobs for each unit of an invoker, on the mean
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
    double shares_{};  // of all tenants met, in jobs a second
    double pushed_out_{};              // of the hops to a copy taken to stand, the part that found none
    int list_{};                       // how often the list has changed
    std::deque<Time> taken_, orders_;  // kept for the ration only
};

}  // namespace plumkeel
