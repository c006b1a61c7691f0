// Judges a day from what passed on the stand-ins' sockets alone: the five rules, one final answer for each job
// before its expiry and nothing sent after it, the hops allowed, none at once where that is forbidden. Free of
// I/O: it reads lines of the records and knows nothing of the controllers' own logs.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plumkeel::emulator {

// What the deployment stated, in microseconds where not said otherwise.
struct Stated {
    std::int64_t drain_grace = 2'000'000;
    std::int64_t slack = 60'000;  // for the ways between processes on one machine
    int attempts = 5;
    bool second_copies = true;
    std::int64_t load_span{};
    double free_loads{}, loads_per_job{};
    struct Use {
        std::string repeat = "replayable", reach = "everywhere";
        std::int64_t remembered{};
    };
    std::map<std::string, Use> request_classes;
    struct Place {
        std::string zone;
        int cell{};
    };
    std::map<std::string, Place> places;  // of the invokers by name
};

struct Breach {
    std::string rule, request, what;
    std::int64_t at{};  // since the day's first line
};

struct Verdict {
    std::uint64_t requests{}, honoured{}, bounced{}, written_off{}, late{}, left{}, lost_with_controller{},
        turned_back{}, attempts{}, effects{};
    std::vector<Breach> breaches;
    double nearest_push{};  // the largest part of a cold invoker's budget that was used
    std::string line() const;
};

class Auditor {
public:
    explicit Auditor(Stated stated) : stated_(std::move(stated)) {}
    // `source` is the stand-in's kind and name, such as "invoker i3", "clients c1", "list l", "day".
    void read(const std::string& kind, const std::string& name, const boost::json::object& line);
    Verdict judge();

private:
    struct Event {
        std::int64_t t{};
        std::string kind, name;
        boost::json::object line;
        std::string text(const char* key) const;
        std::int64_t figure(const char* key) const;
        double real(const char* key) const;
    };
    struct Hop {
        std::int64_t number{}, arrived{}, ended{};  // `ended`: it was answered, cut, or its line closed
        std::string invoker, word, mark;
        bool ran{};
    };
    struct Job {
        std::string use, controller, origin;
        std::vector<Hop> attempts;
        const Event* answer{};  // its client's, where it was seen
    };

    void breach(const std::string& rule, const std::string& request, std::int64_t at, const std::string& what);
    void gather();
    void check_answers();
    void check_effects();
    void check_hops(const std::string& name, const Job& request);
    void check_drains();
    void check_cold();
    void check_loads();
    std::int64_t lag_near(const std::string& kind, const std::string& name, std::int64_t t) const;
    // How long past `t` a controller that stood still then may answer; it owes nothing while it can't run.
    std::int64_t frozen_past(const std::string& address, std::int64_t t) const;
    bool controller_died(const std::string& address, std::int64_t from, std::int64_t to) const;

    const Stated stated_;
    std::vector<Event> events_;
    std::map<std::string, Job> jobs_;  // by controller/incarnation and number
    using Spans = std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>>;
    Spans lags_;    // of stand-ins: when, and for how long
    Spans deaths_;  // of controllers, by address: from the blow to when it was surely dead
    Spans frozen_;
    Verdict verdict_;
};

}  // namespace plumkeel::emulator
