/// The invokers that a controller knows, and the few of them that its periodic work has to visit, kept in step with
/// every change: so that a sweep costs what has happened and not the size of the fleet. Plain data; nothing is decided
/// here.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace plumkeel {

struct Invoker;

/// What one invoker adds to the totals of the fleet.
struct FleetContribution {
    bool ready{};                   ///< listed, and takes new attempts
    bool healthy{};                 ///< accepts requests by its health, and has few errors
    bool warm{};                    ///< healthy, and not in slow start
    bool needs_sweep{};             ///< the sweep has to visit it
    std::size_t attempts{};         ///< own ones in flight there, where it is ready
    std::int64_t micro_capacity{};  ///< its capacity in millionths, where it is ready: sums of integers do not depend
                                    ///< on their order
};

struct FleetTotals {
    std::size_t ready{}, healthy{}, attempts{};
    std::int64_t ready_micro_capacity{}, warm_micro_capacity{};
};

/// Kept by the table in each invoker.
struct FleetTableEntry {
    std::uint64_t number{};  ///< in the order in which invokers were added, from 1
    std::size_t position{};
    FleetContribution contribution;
    std::chrono::microseconds last_used_at{}, slow_start_since{}, delisted_at{};
    bool in_slow_start{}, is_delisted{};
};

class FleetTable {
public:
    using Moment = std::chrono::microseconds;

    void add(Invoker& invoker);
    void remove(Invoker& invoker);
    std::size_t size() const { return all_.size(); }
    /// Every invoker, in no particular order: for what has to touch the whole fleet.
    template <class What>
    void for_each(What what) {
        examined_ += all_.size();
        for (Invoker* invoker : all_) what(*invoker);
    }

    /// Replaces what the invoker contributes, and when it was last sent something.
    void set_contribution(Invoker& invoker, const FleetContribution& contribution, Moment last_used_at);
    const FleetTotals& totals() const { return totals_; }

    /// Those the sweep has to visit, in the order in which they were added.
    std::vector<Invoker*> to_sweep();
    /// Ready ones, those used last first, then in the order in which they were added; `what` returns false to stop.
    template <class What>
    void for_recently_used(What what) {
        for (const auto& [key, invoker] : recent_) {
            ++examined_;
            if (!what(*invoker)) return;
        }
    }

    /// In slow start since then.
    void set_slow_start(Invoker& invoker, Moment since);
    void clear_slow_start(Invoker& invoker);
    Invoker* oldest_slow_start(Moment since_at_most) const;

    /// Off the endpoint list, in the order in which they were added.
    void set_delisted(Invoker& invoker, bool is_delisted);
    std::vector<Invoker*> delisted();

    std::uint64_t examined() const { return examined_; }  ///< invokers visited, over the table's life

private:
    using Number = std::uint64_t;
    static FleetTableEntry& entry_of(Invoker& invoker);
    std::pair<Moment, Number> recent_key(const FleetTableEntry& place) const {
        return {-place.last_used_at, place.number};
    }
    void add_to_totals(const FleetContribution& contribution, std::int64_t sign);

    std::vector<Invoker*> all_;
    std::map<Number, Invoker*> to_sweep_, delisted_;
    std::map<std::pair<Moment, Number>, Invoker*> recent_, slow_start_;
    FleetTotals totals_;
    Number numbers_{};
    std::uint64_t examined_{};
};

}  // namespace plumkeel
