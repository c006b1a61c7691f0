#include "scheduler/fleet_table.hpp"

#include "scheduler/types.hpp"

namespace plumkeel {
namespace {

std::vector<Invoker*> invokers_in(const std::map<std::uint64_t, Invoker*>& map) {
    std::vector<Invoker*> result;
    result.reserve(map.size());
    for (const auto& [number, invoker] : map) result.push_back(invoker);
    return result;
}

}  // namespace

FleetTableEntry& FleetTable::entry_of(Invoker& invoker) {
    return invoker.table_entry;
}

void FleetTable::add(Invoker& invoker) {
    invoker.table_entry = {};
    invoker.table_entry.number = ++last_number_;
    invoker.table_entry.position = invokers_.size();
    invokers_.push_back(&invoker);
}

void FleetTable::remove(Invoker& invoker) {
    set_contribution(invoker, {}, {});
    clear_slow_start(invoker);
    set_delisted(invoker, false);
    Invoker* const last_invoker = invokers_.back();
    invokers_[invoker.table_entry.position] = last_invoker;
    last_invoker->table_entry.position = invoker.table_entry.position;
    invokers_.pop_back();
}

void FleetTable::add_to_totals(const FleetContribution& contribution, std::int64_t sign) {
    if (!contribution.ready) return;
    totals_.ready += static_cast<std::size_t>(sign);
    totals_.healthy += static_cast<std::size_t>(contribution.healthy ? sign : 0);
    totals_.attempts += contribution.attempts * static_cast<std::size_t>(sign);
    totals_.ready_micro_capacity += contribution.micro_capacity * sign;
    totals_.warm_micro_capacity += contribution.warm ? contribution.micro_capacity * sign : 0;
}

void FleetTable::set_contribution(Invoker& invoker, const FleetContribution& contribution, TimePoint last_used_at) {
    FleetTableEntry& entry = entry_of(invoker);
    add_to_totals(entry.contribution, -1);
    add_to_totals(contribution, 1);
    if (contribution.needs_sweep && !entry.contribution.needs_sweep) to_sweep_.emplace(entry.number, &invoker);
    if (!contribution.needs_sweep && entry.contribution.needs_sweep) to_sweep_.erase(entry.number);
    if (entry.contribution.ready && (!contribution.ready || entry.last_used_at != last_used_at))
        by_last_use_.erase(last_use_key(entry));
    const bool is_added = contribution.ready && (!entry.contribution.ready || entry.last_used_at != last_used_at);
    entry.last_used_at = last_used_at;
    entry.contribution = contribution;
    if (is_added) by_last_use_.emplace(last_use_key(entry), &invoker);
}

std::vector<Invoker*> FleetTable::to_sweep() {
    visited_ += to_sweep_.size();
    return invokers_in(to_sweep_);
}

void FleetTable::set_slow_start(Invoker& invoker, TimePoint since) {
    clear_slow_start(invoker);
    FleetTableEntry& entry = entry_of(invoker);
    entry.in_slow_start = true;
    entry.slow_start_since = since;
    slow_start_.emplace(std::pair(since, entry.number), &invoker);
}

void FleetTable::clear_slow_start(Invoker& invoker) {
    FleetTableEntry& entry = entry_of(invoker);
    if (entry.in_slow_start) slow_start_.erase({entry.slow_start_since, entry.number});
    entry.in_slow_start = false;
}

Invoker* FleetTable::oldest_slow_start(TimePoint latest_start) const {
    return slow_start_.empty() || slow_start_.begin()->first.first > latest_start ? nullptr
                                                                                  : slow_start_.begin()->second;
}

void FleetTable::set_delisted(Invoker& invoker, bool is_delisted) {
    FleetTableEntry& entry = entry_of(invoker);
    if (is_delisted && !entry.is_delisted) delisted_.emplace(entry.number, &invoker);
    if (!is_delisted && entry.is_delisted) delisted_.erase(entry.number);
    entry.is_delisted = is_delisted;
}

std::vector<Invoker*> FleetTable::delisted() {
    visited_ += delisted_.size();
    return invokers_in(delisted_);
}

}  // namespace plumkeel
