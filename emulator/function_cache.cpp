#include "emulator/function_cache.hpp"

#include <algorithm>

namespace plumkeel::emulator {

std::shared_ptr<FunctionCopy> FunctionCache::free_copy(const std::string& function) const {
    for (const auto& copy : copies_)
        if (copy->function == function && copy->loaded && copy->running < copy->concurrency) return copy;
    return nullptr;
}

std::shared_ptr<FunctionCopy> FunctionCache::begin_load(const std::string& function, int memory_mb, int concurrency) {
    const auto loading_copies =
        std::count_if(copies_.begin(), copies_.end(), [](const auto& copy) { return !copy->loaded; });
    if (static_cast<int>(loading_copies) >= max_concurrent_loads_ || !free_memory(memory_mb)) return nullptr;
    auto copy = std::make_shared<FunctionCopy>();
    copy->function = function;
    copy->memory_mb = memory_mb;
    copy->concurrency = concurrency;
    copies_.push_back(copy);
    return copy;
}

bool FunctionCache::free_memory(int memory_mb) {
    int used_mb = 0;
    for (const auto& copy : copies_) used_mb += copy->memory_mb;
    while (used_mb + memory_mb > memory_limit_mb_) {
        auto longest_idle = copies_.end();
        for (auto it = copies_.begin(); it != copies_.end(); ++it)
            if ((*it)->is_idle() && (longest_idle == copies_.end() || (*it)->idle_since < (*longest_idle)->idle_since))
                longest_idle = it;
        if (longest_idle == copies_.end()) return false;
        used_mb -= (*longest_idle)->memory_mb;
        copies_.erase(longest_idle);
    }
    return true;
}

void FunctionCache::remove_idle(const std::string& function) {
    std::erase_if(copies_, [&](const auto& copy) { return copy->function == function && copy->is_idle(); });
}

void FunctionCache::remove_idle_since_before(Time time) {
    std::erase_if(copies_, [&](const auto& copy) { return copy->is_idle() && copy->idle_since < time; });
}

int FunctionCache::loaded(const std::string& function) const {
    return static_cast<int>(std::count_if(
        copies_.begin(), copies_.end(), [&](const auto& copy) { return copy->function == function && copy->loaded; }));
}

int FunctionCache::loading(const std::string& function) const {
    return static_cast<int>(std::count_if(
        copies_.begin(), copies_.end(), [&](const auto& copy) { return copy->function == function && !copy->loaded; }));
}

}  // namespace plumkeel::emulator
