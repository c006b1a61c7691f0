// Exact counts of heap memory by owner. Linking allocation_count.cpp replaces the global operator new and delete; what
// is allocated while a ModuleScope exists belongs to the decision module, also when it is freed elsewhere.
#pragma once

#include <cstddef>
#include <cstdint>

namespace plumkeel::scale {

struct AllocationCounts {
    std::int64_t live_bytes{};    // asked for and not freed yet, without the allocator's own overhead
    std::uint64_t allocations{};  // since the program's start
};

// Of the decision module, in this process.
AllocationCounts module_allocations();

// While one exists on this thread, new memory counts as the decision module's.
class ModuleScope {
public:
    ModuleScope();
    ~ModuleScope();
    ModuleScope(const ModuleScope&) = delete;
    ModuleScope& operator=(const ModuleScope&) = delete;

private:
    const bool outer_;
};

}  // namespace plumkeel::scale
