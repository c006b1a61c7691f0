// The invokers that a controller knows, and the few of them that its periodic work has to look at, kept ready as things
// change: so that a sweep costs what has happened and not the size of the fleet. Plain data; nothing is decided here.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace plumkeel {

struct Invoker;

// What one invoker adds to the totals of the fleet.
struct InvokerShare {
    bool ready{};            // listed, and takes new attempts
    bool good{};             // ready, and nothing speaks against it
    bool warm{};             // ready, trusted, and not in a cold start
    bool watched{};          // the sweep has to look at it
    std::size_t attempts{};  // own ones out there, where it is ready
    std::int64_t
        micro_units{};  // its units in millionths, where it is ready: sums of integers do not depend on their order
};

struct FleetTotals {
    std::size_t ready{}, good{}, attempts{};
    std::int64_t ready_micro_units{}, warm_micro_units{};
};

// Kept by the table in each invoker.
struct InvokerPlace {
    std::uint64_t number{};  // in the order in which invokers were met, from 1
    std::size_t position{};
    InvokerShare share;
    std::chrono::microseconds used{}, cold_since{}, left{};
    bool is_cold{}, has_left{};
};

class FleetTable {
public:
    using Moment = std::chrono::microseconds;

    void add(Invoker& invoker);
    void remove(Invoker& invoker);
    std::size_t size() const { return all_.size(); }
    // Every invoker, in no order that means anything: for what has to touch the whole fleet.
    template <class What>
    void for_each(What what) {
        visited_ += all_.size();
        for (Invoker* invoker : all_) what(*invoker);
    }

    // Its share from now on, and when it was last sent something.
    void set_share(Invoker& invoker, const InvokerShare& share, Moment used);
    const FleetTotals& totals() const { return totals_; }

    // Those the sweep has to look at, in the order in which they were met.
    std::vector<Invoker*> watched();
    // Ready ones, those used last first, then in the order in which they were met; `what` returns false to stop.
    template <class What>
    void for_recently_used(What what) {
        for (const auto& [key, invoker] : recent_) {
            ++visited_;
            if (!what(*invoker)) return;
        }
    }

    // In a cold start since then; the oldest first.
    void set_cold(Invoker& invoker, Moment since);
    void set_warm(Invoker& invoker);
    Invoker* coldest_first(Moment since_at_most) const;

    // Off the list, in the order in which they were met.
    void set_left(Invoker& invoker, bool left);
    std::vector<Invoker*> left();

    std::uint64_t visited() const { return visited_; }  // invokers looked at, over the table's life

private:
    using Number = std::uint64_t;
    static InvokerPlace& place_of(Invoker& invoker);
    std::pair<Moment, Number> recent_key(const InvokerPlace& place) const { return {-place.used, place.number}; }
    void add_to_totals(const InvokerShare& share, std::int64_t sign);

    std::vector<Invoker*> all_;
    std::map<Number, Invoker*> watched_, left_;
    std::map<std::pair<Moment, Number>, Invoker*> recent_, cold_;
    FleetTotals totals_;
    Number numbers_{};
    std::uint64_t visited_{};
};

}  // namespace plumkeel
