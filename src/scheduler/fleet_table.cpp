#include "scheduler/fleet_table.hpp"

#include "scheduler/types.hpp"

namespace plumkeel {
namespace {

std::vector<Invoker*> values_of(const std::map<std::uint64_t, Invoker*>& map) {
    std::vector<Invoker*> out;
    out.reserve(map.size());
    for (const auto& [number, invoker] : map) out.push_back(invoker);
    return out;
}

}  // namespace

FleetTableEntry& FleetTable::entry_of(Invoker& invoker) {
    return invoker.table_entry;
}

void FleetTable::add(Invoker& invoker) {
    invoker.table_entry = {};
    invoker.table_entry.number = ++numbers_;
    invoker.table_entry.position = all_.size();
    all_.push_back(&invoker);
}

void FleetTable::remove(Invoker& invoker) {
    set_contribution(invoker, {}, {});
    clear_slow_start(invoker);
    set_delisted(invoker, false);
    Invoker* const last = all_.back();
    all_[invoker.table_entry.position] = last;
    last->table_entry.position = invoker.table_entry.position;
    all_.pop_back();
}

void FleetTable::add_to_totals(const FleetContribution& share, std::int64_t sign) {
    if (!share.ready) return;
    totals_.ready += static_cast<std::size_t>(sign);
    totals_.healthy += static_cast<std::size_t>(share.healthy ? sign : 0);
    totals_.attempts += share.attempts * static_cast<std::size_t>(sign);
    totals_.ready_micro_capacity += share.micro_capacity * sign;
    totals_.warm_micro_capacity += share.warm ? share.micro_capacity * sign : 0;
}

void FleetTable::set_contribution(Invoker& invoker, const FleetContribution& share, Moment used) {
    FleetTableEntry& place = entry_of(invoker);
    add_to_totals(place.contribution, -1);
    add_to_totals(share, 1);
    if (share.needs_sweep && !place.contribution.needs_sweep) to_sweep_.emplace(place.number, &invoker);
    if (!share.needs_sweep && place.contribution.needs_sweep) to_sweep_.erase(place.number);
    if (place.contribution.ready && (!share.ready || place.last_used_at != used)) recent_.erase(recent_key(place));
    const bool enters = share.ready && (!place.contribution.ready || place.last_used_at != used);
    place.last_used_at = used;
    place.contribution = share;
    if (enters) recent_.emplace(recent_key(place), &invoker);
}

std::vector<Invoker*> FleetTable::to_sweep() {
    examined_ += to_sweep_.size();
    return values_of(to_sweep_);
}

void FleetTable::set_slow_start(Invoker& invoker, Moment since) {
    clear_slow_start(invoker);
    FleetTableEntry& place = entry_of(invoker);
    place.in_slow_start = true;
    place.slow_start_since = since;
    slow_start_.emplace(std::pair(since, place.number), &invoker);
}

void FleetTable::clear_slow_start(Invoker& invoker) {
    FleetTableEntry& place = entry_of(invoker);
    if (place.in_slow_start) slow_start_.erase({place.slow_start_since, place.number});
    place.in_slow_start = false;
}

Invoker* FleetTable::oldest_slow_start(Moment since_at_most) const {
    return slow_start_.empty() || slow_start_.begin()->first.first > since_at_most ? nullptr
                                                                                   : slow_start_.begin()->second;
}

void FleetTable::set_delisted(Invoker& invoker, bool left) {
    FleetTableEntry& place = entry_of(invoker);
    if (left && !place.is_delisted) delisted_.emplace(place.number, &invoker);
    if (!left && place.is_delisted) delisted_.erase(place.number);
    place.is_delisted = left;
}

std::vector<Invoker*> FleetTable::delisted() {
    examined_ += delisted_.size();
    return values_of(delisted_);
}

}  // namespace plumkeel
