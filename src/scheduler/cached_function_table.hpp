/// The invokers that hold cached copies of one function, in the order in which they were added. Large tables are
/// indexed by invoker. Plain data without decisions.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace plumkeel {

struct Invoker;

/// The estimated state of one function's copies at one invoker.
struct CachedFunction {
    Invoker* invoker{};
    std::chrono::microseconds expires_at{};  ///< the copies count as warm until then
    int in_flight{};                         ///< attempts of this controller for the function at the invoker
    int copies{};                            ///< estimated number of copies at the invoker
    /// The highest `in_flight` within the last keep-alive time.
    int peak_in_flight{};
    std::chrono::microseconds peak_reached_at{};
};

class CachedFunctionTable {
public:
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }
    auto begin() { return entries_.begin(); }
    auto end() { return entries_.end(); }
    auto begin() const { return entries_.begin(); }
    auto end() const { return entries_.end(); }
    CachedFunction& operator[](std::size_t position) { return entries_[position]; }

    /// The entry for the invoker, or null. Pointers to entries are valid until the next add() or erase_if().
    CachedFunction* find(const Invoker& invoker) {
        if (positions_) {
            const auto found = positions_->find(&invoker);
            return found == positions_->end() ? nullptr : &entries_[found->second];
        }
        for (CachedFunction& cached : entries_)
            if (cached.invoker == &invoker) return &cached;
        return nullptr;
    }

    /// Adds an entry for an invoker that has none yet.
    CachedFunction& add(Invoker& invoker) {
        CachedFunction& cached = entries_.emplace_back();
        cached.invoker = &invoker;
        if (positions_)
            positions_->emplace(&invoker, static_cast<std::uint32_t>(entries_.size() - 1));
        else if (entries_.size() > max_scanned_linearly)
            index();
        return cached;
    }

    /// Erases the entries for which `is_erased` returns true. It is called once for each entry.
    template <class Predicate>
    void erase_if(Predicate is_erased) {
        if (std::erase_if(entries_, is_erased) == 0) return;
        positions_.reset();
        if (entries_.size() > max_scanned_linearly) index();
        if (entries_.empty()) entries_.shrink_to_fit();
    }

private:
    static constexpr std::size_t max_scanned_linearly = 16;
    using Positions = boost::unordered_flat_map<const Invoker*, std::uint32_t>;

    void index() {
        positions_ = std::make_unique<Positions>();
        positions_->reserve(entries_.size());
        for (std::size_t i = 0; i < entries_.size(); ++i)
            positions_->emplace(entries_[i].invoker, static_cast<std::uint32_t>(i));
    }

    std::vector<CachedFunction> entries_;
    std::unique_ptr<Positions> positions_;  ///< null while the table is small enough to be scanned
};

}  // namespace plumkeel
