#include "dispatch/fleet_table.hpp"

#include "dispatch/types.hpp"

namespace plumkeel {
namespace {

std::vector<Invoker*> values_of(const std::map<std::uint64_t, Invoker*>& map) {
    std::vector<Invoker*> out;
    out.reserve(map.size());
    for (const auto& [number, invoker] : map) out.push_back(invoker);
    return out;
}

}  // namespace

InvokerPlace& FleetTable::place_of(Invoker& invoker) {
    return invoker.place;
}

void FleetTable::add(Invoker& invoker) {
    invoker.place = {};
    invoker.place.number = ++numbers_;
    invoker.place.position = all_.size();
    all_.push_back(&invoker);
}

void FleetTable::remove(Invoker& invoker) {
    set_share(invoker, {}, {});
    set_warm(invoker);
    set_left(invoker, false);
    Invoker* const last = all_.back();
    all_[invoker.place.position] = last;
    last->place.position = invoker.place.position;
    all_.pop_back();
}

void FleetTable::add_to_totals(const InvokerShare& share, std::int64_t sign) {
    if (!share.ready) return;
    totals_.ready += static_cast<std::size_t>(sign);
    totals_.good += static_cast<std::size_t>(share.good ? sign : 0);
    totals_.attempts += share.attempts * static_cast<std::size_t>(sign);
    totals_.ready_micro_units += share.micro_units * sign;
    totals_.warm_micro_units += share.warm ? share.micro_units * sign : 0;
}

void FleetTable::set_share(Invoker& invoker, const InvokerShare& share, Moment used) {
    InvokerPlace& place = place_of(invoker);
    add_to_totals(place.share, -1);
    add_to_totals(share, 1);
    if (share.watched && !place.share.watched) watched_.emplace(place.number, &invoker);
    if (!share.watched && place.share.watched) watched_.erase(place.number);
    if (place.share.ready && (!share.ready || place.used != used)) recent_.erase(recent_key(place));
    const bool enters = share.ready && (!place.share.ready || place.used != used);
    place.used = used;
    place.share = share;
    if (enters) recent_.emplace(recent_key(place), &invoker);
}

std::vector<Invoker*> FleetTable::watched() {
    visited_ += watched_.size();
    return values_of(watched_);
}

void FleetTable::set_cold(Invoker& invoker, Moment since) {
    set_warm(invoker);
    InvokerPlace& place = place_of(invoker);
    place.is_cold = true;
    place.cold_since = since;
    cold_.emplace(std::pair(since, place.number), &invoker);
}

void FleetTable::set_warm(Invoker& invoker) {
    InvokerPlace& place = place_of(invoker);
    if (place.is_cold) cold_.erase({place.cold_since, place.number});
    place.is_cold = false;
}

Invoker* FleetTable::coldest_first(Moment since_at_most) const {
    return cold_.empty() || cold_.begin()->first.first > since_at_most ? nullptr : cold_.begin()->second;
}

void FleetTable::set_left(Invoker& invoker, bool left) {
    InvokerPlace& place = place_of(invoker);
    if (left && !place.has_left) left_.emplace(place.number, &invoker);
    if (!left && place.has_left) left_.erase(place.number);
    place.has_left = left;
}

std::vector<Invoker*> FleetTable::left() {
    visited_ += left_.size();
    return values_of(left_);
}

}  // namespace plumkeel
