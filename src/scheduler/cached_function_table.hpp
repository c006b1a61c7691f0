/// A function's cached copies by invoker: in the order in which the entries were added, and found without a scan where
/// there are many. Plain data; CachedCopies decides what the entries say.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace plumkeel {

struct Invoker;

/// What an invoker is estimated to hold of a function.
struct CachedFunction {
    Invoker* invoker{};
    std::chrono::microseconds expires_at{};  ///< warm until then
    int in_flight{};                         ///< own attempts of the function there
    int copies{};                            ///< estimated number of copies there
    int peak_in_flight{};                    ///< most own attempts there at once, within the last keep-alive
    std::chrono::microseconds peak_at{};
};

class CachedFunctionTable {
public:
    std::size_t size() const { return all_.size(); }
    bool empty() const { return all_.empty(); }
    auto begin() { return all_.begin(); }
    auto end() { return all_.end(); }
    auto begin() const { return all_.begin(); }
    auto end() const { return all_.end(); }
    CachedFunction& operator[](std::size_t position) { return all_[position]; }

    /// Null where there is none. Pointers hold until the next add() or erase_if().
    CachedFunction* find(const Invoker& invoker) {
        if (positions_) {
            const auto found = positions_->find(&invoker);
            return found == positions_->end() ? nullptr : &all_[found->second];
        }
        for (CachedFunction& cached : all_)
            if (cached.invoker == &invoker) return &cached;
        return nullptr;
    }

    /// There must be none for this invoker yet.
    CachedFunction& add(Invoker& invoker) {
        CachedFunction& cached = all_.emplace_back();
        cached.invoker = &invoker;
        if (positions_)
            positions_->emplace(&invoker, static_cast<std::uint32_t>(all_.size() - 1));
        else if (all_.size() > scanned_at_most)
            index();
        return cached;
    }

    /// `is_erased` is called once for each entry.
    template <class Predicate>
    void erase_if(Predicate is_erased) {
        if (std::erase_if(all_, is_erased) == 0) return;
        positions_.reset();
        if (all_.size() > scanned_at_most) index();
        if (all_.empty()) all_.shrink_to_fit();
    }

private:
    static constexpr std::size_t scanned_at_most = 16;
    using Positions = boost::unordered_flat_map<const Invoker*, std::uint32_t>;

    void index() {
        positions_ = std::make_unique<Positions>();
        positions_->reserve(all_.size());
        for (std::size_t i = 0; i < all_.size(); ++i)
            positions_->emplace(all_[i].invoker, static_cast<std::uint32_t>(i));
    }

    std::vector<CachedFunction> all_;
    std::unique_ptr<Positions> positions_;  // only where there are many
};

}  // namespace plumkeel
