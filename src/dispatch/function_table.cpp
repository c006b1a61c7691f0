#include "dispatch/function_table.hpp"

#include <algorithm>

#include "dispatch/types.hpp"

namespace plumkeel {

void FunctionTable::add(Function& function) {
    function.place = {};
    function.place.number = ++numbers_;
    function.place.recency = once_.insert(once_.end(), &function);
}

void FunctionTable::remove(Function& function) {
    FunctionPlace& place = function.place;
    (place.called_again ? again_ : once_).erase(place.recency);
    if (place.check_at != Moment::max()) checks_.erase({place.check_at, place.number});
    for (Set* const set : {&waiting, &loading, &spread}) set->set(function, false);
}

void FunctionTable::called_again(Function& function) {
    FunctionPlace& place = function.place;
    again_.splice(again_.end(), place.called_again ? again_ : once_, place.recency);
    place.called_again = true;
}

void FunctionTable::spare(Function& function) {
    std::list<Function*>& list = function.place.called_again ? again_ : once_;
    list.splice(list.end(), list, function.place.recency);
}

Function* FunctionTable::oldest(std::size_t once_at_most) const {
    const bool of_once = once_.size() > once_at_most || again_.empty();
    const std::list<Function*>& list = of_once ? once_ : again_;
    return list.empty() ? nullptr : list.front();
}

void FunctionTable::check(Function& function, Moment at) {
    FunctionPlace& place = function.place;
    if (at >= place.check_at) return;
    if (place.check_at != Moment::max()) checks_.erase({place.check_at, place.number});
    place.check_at = at;
    checks_.emplace(std::pair(at, place.number), &function);
}

std::vector<Function*> FunctionTable::take_due(Moment now) {
    std::vector<Function*> out;
    while (!checks_.empty() && checks_.begin()->first.first <= now) {
        out.push_back(checks_.begin()->second);
        out.back()->place.check_at = Moment::max();
        checks_.erase(checks_.begin());
    }
    std::sort(out.begin(), out.end(),
              [](const Function* a, const Function* b) { return a->place.number < b->place.number; });
    return out;
}

void FunctionTable::Set::set(Function& function, bool is_member) {
    if (is_member)
        members_.emplace(function.place.number, &function);
    else
        members_.erase(function.place.number);
}

std::vector<Function*> FunctionTable::Set::members(std::size_t at_most) const {
    std::vector<Function*> out;
    out.reserve(std::min(at_most, members_.size()));
    for (const auto& [number, function] : members_) {
        if (out.size() == at_most) break;
        out.push_back(function);
    }
    return out;
}

}  // namespace plumkeel
