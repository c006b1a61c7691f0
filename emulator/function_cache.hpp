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
    bool loaded{};  // else it is loading
    Time idle_since{};

    bool is_idle() const { return loaded && running == 0; }
};

class FunctionCache {
public:
    FunctionCache(int memory_mb, int concurrent_loads) : memory_mb_(memory_mb), concurrent_loads_(concurrent_loads) {}

    /// A loaded copy that can take one more run, or null.
    std::shared_ptr<FunctionCopy> free_copy(const std::string& function) const;
    /// A new copy, to be loaded. Idle copies make room for it, the longest idle first. Null where there is none.
    std::shared_ptr<FunctionCopy> begin_load(const std::string& function, int memory_mb, int concurrency);
    void remove(const std::shared_ptr<FunctionCopy>& copy) { std::erase(copies_, copy); }
    void remove_idle(const std::string& function);
    /// Removes copies that have been idle since before `moment`.
    void remove_idle_since_before(Time moment);

    bool contains(const std::string& function) const { return loaded(function) + loading(function) > 0; }
    int loaded(const std::string& function) const;
    int loading(const std::string& function) const;

private:
    bool make_room(int memory_mb);

    const int memory_mb_, concurrent_loads_;
    std::vector<std::shared_ptr<FunctionCopy>> copies_;
};

}  // namespace plumkeel::emulator
