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
#include "door/door.hpp"
#include "fleet/roster.hpp"
#include "gateway/lines.hpp"
#include "log/log.hpp"
#include "metrics/meters.hpp"
#include "net/world.hpp"
#include "trace/calls.hpp"

namespace plumkeel::gateway {

class Visit;
class HopErrand;

// What a client asked for, as the door has checked it.
struct Wanted {
    const StatedUseCase* use_case{};
    std::string function, tenant, mark, passed;  // `passed`: the fields that go on to the invoker
    Time left{};
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
    std::string tail;              // the head of its hops, but for what differs from hop to hop
    std::shared_ptr<const std::string> body;
    std::size_t held{};  // bytes counted at the door
    std::string_view tenant_name;  // empty: none that the settings name
    std::vector<std::shared_ptr<HopErrand>> errands;
    const HopErrand* streams{};  // whose answer is being passed on
};

struct Post : Invoker {
    std::unique_ptr<Lines> lines;
    std::optional<Time> drains_since;
};

struct Tally {
    std::uint64_t taken{}, honoured{}, bounced{}, written_off{}, abandoned{}, streamed{}, hops{}, late{}, probes{},
        orders{};
};

class Gateway {
public:
    // `recorded` is told every call into the module and its answer, for traces.
    Gateway(net::World& world, Charter charter, Log& log, std::uint64_t seed, trace::Recorded recorded = {});
    ~Gateway();

    // Takes jobs from now on; the error of the listen, if it did not come about.
    net::Error open();
    // Takes no more; calls `then` once every open job has its answer and every answer has left.
    void close(std::function<void()> then);
    net::Address address() const { return listener_->address(); }
    boost::json::object status() const;
    // Null where the settings want no measurements. Levels are those of the last look.
    metrics::Meters* meters() { return meters_.get(); }
    // What others count, told with each look.
    void measure_also(std::function<void(metrics::Levels&)> also) { measure_also_ = std::move(also); }

private:
    friend class Visit;
    friend class HopErrand;
    friend class ProbeErrand;
    friend class OrderErrand;

    net::Task<> accept();
    net::Task<> turn_back(std::shared_ptr<net::Stream> stream, Objection objection);
    Ward* take(Wanted wanted, std::shared_ptr<Visit> visit);
    void client_left(Ward& ward);
    void hop_ended(HopErrand& errand, Outcome outcome);
    bool hop_begins(HopErrand& errand, unsigned status, const std::string& passed);
    void fleet_told(const std::vector<fleet::Entry>& changed, bool complete);

    void carry_out(const Results& results);
    void send_hop(Hop& hop);
    void send_probe(Post& post);
    void send_order(const CopyOrder& order);
    void answer(Ward& ward);
    void count(const Ward& ward);
    void let_on(Ward& ward);
    void drop_if_closed(Ward& ward);
    void visit_gone(const std::shared_ptr<Visit>& visit);
    void see_whether_done();
    void look();
    metrics::Levels levels() const;
    void fill(Errand& errand, std::string head, Time within);
    // Every call into the module goes through here.
    template <class Call>
    void feed(Call call);

    net::World& world_;
    const Charter charter_;
    Log& log_;
    Door door_;
    std::string incarnation_;  // name and start, told with each hop
    std::map<std::string, Tenant> tenants_;
    std::map<std::string, Kind> kinds_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Ward>> jobs_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::map<std::string, std::unique_ptr<Post>> posts_;
    LineCounts line_counts_;
    Tally tally_;
    trace::Watched controller_;
    fleet::Roster roster_;
    std::unique_ptr<metrics::Meters> meters_;
    std::function<void(metrics::Levels&)> measure_also_;
    net::World::Ticket look_{};
    Time look_at_{};
    std::uint64_t looks_{};
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Visit>> visits_;  // in the order in which they came
    std::uint64_t visit_numbers_{};
    std::uint64_t ids_{};
    net::World::Ticket wake_{};
    Time wake_at_ = Time::max();
    bool feeding_{};
    int turning_back_{};
    std::function<void()> then_;
};

}  // namespace plumkeel::gateway
