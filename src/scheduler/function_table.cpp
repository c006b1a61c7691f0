#include "scheduler/function_table.hpp"

#include <algorithm>

#include "scheduler/types.hpp"

namespace plumkeel {

void FunctionTable::add(Function& function) {
    function.table_entry = {};
    function.table_entry.number = ++numbers_;
    function.table_entry.recency = once_.insert(once_.end(), &function);
}

void FunctionTable::remove(Function& function) {
    FunctionTableEntry& entry = function.table_entry;
    (entry.called_again ? again_ : once_).erase(entry.recency);
    if (entry.review_at != Moment::max()) reviews_.erase({entry.review_at, entry.number});
    for (Set* const set : {&with_parked, &loading, &replicated}) set->set(function, false);
}

void FunctionTable::called_again(Function& function) {
    FunctionTableEntry& entry = function.table_entry;
    again_.splice(again_.end(), entry.called_again ? again_ : once_, entry.recency);
    entry.called_again = true;
}

void FunctionTable::touch(Function& function) {
    std::list<Function*>& list = function.table_entry.called_again ? again_ : once_;
    list.splice(list.end(), list, function.table_entry.recency);
}

Function* FunctionTable::eviction_candidate(std::size_t once_at_most) const {
    const bool from_once = once_.size() > once_at_most || again_.empty();
    const std::list<Function*>& list = from_once ? once_ : again_;
    return list.empty() ? nullptr : list.front();
}

void FunctionTable::schedule_review(Function& function, Moment at) {
    FunctionTableEntry& entry = function.table_entry;
    if (at >= entry.review_at) return;
    if (entry.review_at != Moment::max()) reviews_.erase({entry.review_at, entry.number});
    entry.review_at = at;
    reviews_.emplace(std::pair(at, entry.number), &function);
}

std::vector<Function*> FunctionTable::take_due_reviews(Moment now) {
    std::vector<Function*> out;
    while (!reviews_.empty() && reviews_.begin()->first.first <= now) {
        out.push_back(reviews_.begin()->second);
        out.back()->table_entry.review_at = Moment::max();
        reviews_.erase(reviews_.begin());
    }
    std::ranges::sort(out, {}, [](const Function* function) { return function->table_entry.number; });
    return out;
}

void FunctionTable::Set::set(Function& function, bool is_member) {
    if (is_member)
        members_.emplace(function.table_entry.number, &function);
    else
        members_.erase(function.table_entry.number);
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
