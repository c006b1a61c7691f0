// Hosts the decision module on sockets: feeds one Controller what happens and carries out what it decides. One
// process, one Controller, one thread. Nothing is decided here that the module, the door or the follower decide.
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "charter/charter.hpp"
#include "dispatch/controller.hpp"
#include "admission/admission.hpp"
#include "fleet/follower.hpp"
#include "gateway/edges.hpp"
#include "gateway/invariants.hpp"
#include "gateway/start_clock.hpp"
#include "log/log.hpp"
#include "metrics/meters.hpp"
#include "net/world.hpp"
#include "trace/calls.hpp"

namespace plumkeel::gateway {

class HopErrand;

// What a client asked for, as the door has checked it.
struct Wanted {
    const StatedUseCase* use_case{};
    std::string name;         // the job's, with its client; empty where the protocol has none
    std::uint64_t place{};    // by which its visit knows it
    std::string function, tenant, mark, passed;  // `passed`: the fields that go on to the invoker
    Time left{};    // when it came
    Time waited{};  // since then, unread
    std::optional<Time> read_at;
    int lanes = 1;
    std::optional<int> memory;
    std::optional<Time> told_load;
    bool again{};
    std::string body;
    std::size_t held{};  // bytes of it counted at the door; they are the job's from now on
};

// A job as the gateway holds it: the module's part and what is needed to send it and to answer.
struct Ward : Job {
    std::shared_ptr<Visit> visit;  // until the answer has begun, or the client has left
    std::string name, mark, passed;  // as wanted, as are the next
    std::uint64_t place{};
    int lanes{};
    std::optional<int> memory;
    std::string tail;              // kept by the invokers' edge: what its hops have in common
    std::shared_ptr<const std::string> body;
    std::size_t held{};  // bytes counted at the door
    std::string_view tenant_name;  // empty: none that the settings name
    std::vector<std::shared_ptr<HopErrand>> errands;
    const HopErrand* streams{};  // whose answer is being passed on
};

struct Post : Invoker {
    std::unique_ptr<ConnectionPool> pool;
    std::optional<Time> drains_since;
    std::optional<Time> told_start;  // since the Unix epoch, as the list told it: by this a restart is known
};

struct Tally {
    std::uint64_t taken{}, honoured{}, bounced{}, written_off{}, abandoned{}, streamed{}, hops{}, late{}, probes{},
        orders{};
};

class Gateway {
public:
    // `recorded` is told every call into the module and its answer, for traces.
    Gateway(net::World& world, Charter charter, Log& log, std::uint64_t seed, PoolFor pool_for, trace::Recorded recorded = {});
    ~Gateway();

    void begin();
    // Takes no more jobs; calls `then` once every open one has its answer.
    void close(std::function<void()> then);

    // For the clients' edge. Null: the job is answered already.
    Ward* take(Wanted wanted, std::shared_ptr<Visit> visit);
    void client_left(Ward& ward);
    // How long what an edge reads now may have stood in its socket at the most: above 0 after a pause of the process.
    // `late`: what its read was told of that.
    Time waited_unread(Time late = {}) const;
    // For the edge that follows the list; with `complete`, all others are gone.
    void fleet_told(const std::vector<fleet::Entry>& changed, bool complete);
    void fleet_gone(const std::vector<std::string>& names);
    void list_told_by(std::function<std::optional<Time>()> told) { list_told_ = std::move(told); }

    net::World& world() { return world_; }
    const Charter& charter() const { return charter_; }
    Admission& admission() { return admission_; }
    Log& log() { return log_; }
    const std::string& incarnation() const { return incarnation_; }
    void tell_spoilt(decltype(ConnectionCounts::tell_spoilt) tell) { connection_counts_.tell_spoilt = std::move(tell); }
    Invariants& invariants() { return invariants_; }
    boost::json::object status() const;
    // For each invoker what the module believes, beside what is on the connections.
    boost::json::array believed() const;
    // Null where the settings want no measurements. Levels are those of the last look.
    metrics::Meters* meters() { return meters_.get(); }
    // What others count, told with each look.
    void measure_also(std::function<void(metrics::Levels&)> also) { measure_also_ = std::move(also); }

private:
    friend class HopErrand;
    friend class ProbeErrand;
    friend class OrderErrand;

    void hop_ended(HopErrand& errand, Outcome outcome);
    bool hop_begins(HopErrand& errand, unsigned status, const std::string& passed);
    std::optional<Time> list_told() const { return list_told_ ? list_told_() : std::nullopt; }

    void look_at_clocks();
    void pulse();
    void withdraw(Post& post);
    void let_go(Post& post);
    void see_off(std::shared_ptr<Post> post);
    void carry_out(const Results& results);
    void send_hop(Hop& hop);
    void check_leaving(const HopErrand& errand);
    void check_answer(const Ward& ward);
    void send_probe(Post& post);
    void send_order(const CopyOrder& order);
    void answer(Ward& ward);
    void count(const Ward& ward);
    void let_on(Ward& ward);
    void drop_if_closed(Ward& ward);
    void see_whether_done();
    void look();
    metrics::Levels levels() const;
    void dispatch(std::shared_ptr<Errand> errand, Post& post, Time within);
    // Every call into the module goes through here.
    template <class Call>
    void feed(Call call);

    net::World& world_;
    const Charter charter_;
    Log& log_;
    const PoolFor pool_for_;
    Admission admission_;
    std::string incarnation_;  // name and start, told with each hop
    std::map<std::string, Tenant> tenants_;
    std::map<std::string, Kind> kinds_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Ward>> jobs_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::map<std::string, std::unique_ptr<Post>> posts_;
    ConnectionCounts connection_counts_;
    Tally tally_;
    StartClock start_clock_;
    trace::Watched controller_;
    Invariants invariants_;
    std::function<std::optional<Time>()> list_told_;
    std::unique_ptr<metrics::Meters> meters_;
    std::function<void(metrics::Levels&)> measure_also_;
    net::World::Ticket look_{}, pulse_{};
    Time look_at_{};
    std::uint64_t looks_{};
    std::uint64_t ids_{};
    net::World::Ticket wake_{};
    Time wake_at_ = Time::max();
    bool feeding_{};
    Time fed_at_{};  // when the module was called last: what it decided is counted from then
    std::function<void()> then_;
};

}  // namespace plumkeel::gateway
