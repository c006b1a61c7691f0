/// The copies of functions that an emulated invoker has loaded or is loading.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;

struct FunctionCopy {
    std::string function;
    int memory_mb{}, concurrency{};
    int running{};
    bool loaded{};  // false while it is being loaded
    Time idle_since{};

    bool is_idle() const { return loaded && running == 0; }
};

class FunctionCache {
public:
    FunctionCache(int memory_limit_mb, int max_concurrent_loads)
        : memory_limit_mb_(memory_limit_mb), max_concurrent_loads_(max_concurrent_loads) {}

    /// Returns a loaded copy that can run one more attempt, or null.
    std::shared_ptr<FunctionCopy> free_copy(const std::string& function) const;
    /// Adds a copy in the loading state. Evicts idle copies if it needs their memory, the longest idle first. Returns
    /// null if too many copies are loading or there is not enough memory.
    std::shared_ptr<FunctionCopy> begin_load(const std::string& function, int memory_mb, int concurrency);
    void remove(const std::shared_ptr<FunctionCopy>& copy) { std::erase(copies_, copy); }
    void remove_idle(const std::string& function);
    /// Removes all copies that became idle before `time`.
    void remove_idle_since_before(Time time);

    bool contains(const std::string& function) const { return loaded(function) + loading(function) > 0; }
    // Numbers of loaded and of loading copies of a function.
    int loaded(const std::string& function) const;
    int loading(const std::string& function) const;

private:
    /// Evicts idle copies until `memory_mb` more fit. Returns false if they don't fit.
    bool free_memory(int memory_mb);

    const int memory_limit_mb_, max_concurrent_loads_;
    std::vector<std::shared_ptr<FunctionCopy>> copies_;
};

}  // namespace plumkeel::emulator
