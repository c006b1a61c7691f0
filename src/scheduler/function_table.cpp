#include "scheduler/function_table.hpp"

#include <algorithm>

#include "scheduler/types.hpp"

namespace plumkeel {

void FunctionTable::add(Function& function) {
    function.table_entry = {};
    function.table_entry.number = ++last_number_;
    function.table_entry.recency = called_once_.insert(called_once_.end(), &function);
}

void FunctionTable::remove(Function& function) {
    FunctionTableEntry& entry = function.table_entry;
    (entry.called_repeatedly ? called_repeatedly_ : called_once_).erase(entry.recency);
    if (entry.review_at != TimePoint::max()) reviews_.erase({entry.review_at, entry.number});
    for (Set* const set : {&with_parked_requests, &loading, &replicated}) set->set(function, false);
}

void FunctionTable::record_repeated_call(Function& function) {
    FunctionTableEntry& entry = function.table_entry;
    called_repeatedly_.splice(called_repeatedly_.end(), entry.called_repeatedly ? called_repeatedly_ : called_once_,
                              entry.recency);
    entry.called_repeatedly = true;
}

void FunctionTable::touch(Function& function) {
    std::list<Function*>& list = function.table_entry.called_repeatedly ? called_repeatedly_ : called_once_;
    list.splice(list.end(), list, function.table_entry.recency);
}

Function* FunctionTable::eviction_candidate(std::size_t max_called_once_kept) const {
    const bool evicts_called_once = called_once_.size() > max_called_once_kept || called_repeatedly_.empty();
    const std::list<Function*>& list = evicts_called_once ? called_once_ : called_repeatedly_;
    return list.empty() ? nullptr : list.front();
}

void FunctionTable::schedule_review(Function& function, TimePoint at) {
    FunctionTableEntry& entry = function.table_entry;
    if (at >= entry.review_at) return;
    if (entry.review_at != TimePoint::max()) reviews_.erase({entry.review_at, entry.number});
    entry.review_at = at;
    reviews_.emplace(std::pair(at, entry.number), &function);
}

std::vector<Function*> FunctionTable::take_due_reviews(TimePoint now) {
    std::vector<Function*> result;
    while (!reviews_.empty() && reviews_.begin()->first.first <= now) {
        result.push_back(reviews_.begin()->second);
        result.back()->table_entry.review_at = TimePoint::max();
        reviews_.erase(reviews_.begin());
    }
    std::ranges::sort(result, {}, [](const Function* function) { return function->table_entry.number; });
    return result;
}

void FunctionTable::Set::set(Function& function, bool is_member) {
    if (is_member)
        members_.emplace(function.table_entry.number, &function);
    else
        members_.erase(function.table_entry.number);
}

std::vector<Function*> FunctionTable::Set::members(std::size_t max_count) const {
    std::vector<Function*> result;
    result.reserve(std::min(max_count, members_.size()));
    for (const auto& [number, function] : members_) {
        if (result.size() == max_count) break;
        result.push_back(function);
    }
    return result;
}

}  // namespace plumkeel
