/// The invokers that a controller knows. The table keeps totals of the fleet and lists of the invokers that sweeps have
/// to visit, so that the cost of a sweep does not grow with the fleet. Plain data without decisions.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace plumkeel {

struct Invoker;

/// What one invoker contributes to the totals and lists of the fleet.
struct FleetContribution {
    bool ready{};  ///< the invoker is listed and ready for new attempts
    /// The invoker's health state lets it accept requests, and its error rate is low.
    bool healthy{};
    bool warm{};             ///< the invoker is healthy and not in slow start
    bool needs_sweep{};      ///< sweeps have to visit the invoker
    std::size_t attempts{};  ///< attempts of this controller in flight at the invoker
    /// Capacity in millionths. An integer, so that totals do not depend on the order of additions.
    std::int64_t micro_capacity{};
};

struct FleetTotals {
    std::size_t ready{}, healthy{}, attempts{};
    std::int64_t ready_micro_capacity{}, warm_micro_capacity{};
};

/// The table's own data in each invoker.
struct FleetTableEntry {
    /// Invokers are numbered from 1 in the order in which they were added.
    std::uint64_t number{};
    std::size_t position{};
    FleetContribution contribution;
    std::chrono::microseconds last_used_at{}, slow_start_since{}, delisted_at{};
    bool in_slow_start{}, is_delisted{};
};

class FleetTable {
public:
    using TimePoint = std::chrono::microseconds;

    void add(Invoker& invoker);
    void remove(Invoker& invoker);
    std::size_t size() const { return invokers_.size(); }
    /// Visits every invoker, in no particular order.
    template <class Callback>
    void for_each(Callback callback) {
        visited_ += invokers_.size();
        for (Invoker* invoker : invokers_) callback(*invoker);
    }

    /// Replaces the invoker's contribution and the time when it was last sent an attempt.
    void set_contribution(Invoker& invoker, const FleetContribution& contribution, TimePoint last_used_at);
    const FleetTotals& totals() const { return totals_; }

    /// Invokers that a sweep has to visit, in the order in which they were added.
    std::vector<Invoker*> to_sweep();
    /// Visits ready invokers, most recently used first, until `callback` returns false. Invokers last used at the same
    /// time are visited in the order in which they were added.
    template <class Callback>
    void for_each_recently_used(Callback callback) {
        for (const auto& [key, invoker] : by_last_use_) {
            ++visited_;
            if (!callback(*invoker)) return;
        }
    }

    /// Marks the invoker as in slow start since the given time.
    void set_slow_start(Invoker& invoker, TimePoint since);
    void clear_slow_start(Invoker& invoker);
    /// The invoker that has been in slow start for longest, if it started by `latest_start`; else null.
    Invoker* oldest_slow_start(TimePoint latest_start) const;

    /// Records whether the invoker is off the endpoint list.
    void set_delisted(Invoker& invoker, bool is_delisted);
    /// Invokers that are off the endpoint list, in the order in which they were added.
    std::vector<Invoker*> delisted();

    /// Invokers visited through this table, over its life.
    std::uint64_t visited() const { return visited_; }

private:
    using Number = std::uint64_t;
    static FleetTableEntry& entry_of(Invoker& invoker);
    std::pair<TimePoint, Number> last_use_key(const FleetTableEntry& entry) const {
        return {-entry.last_used_at, entry.number};
    }
    void add_to_totals(const FleetContribution& contribution, std::int64_t sign);

    std::vector<Invoker*> invokers_;
    std::map<Number, Invoker*> to_sweep_, delisted_;
    std::map<std::pair<TimePoint, Number>, Invoker*> by_last_use_, slow_start_;
    FleetTotals totals_;
    Number last_number_{};
    std::uint64_t visited_{};
};

}  // namespace plumkeel
