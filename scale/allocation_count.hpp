/// Exact counts of heap memory by owner. Linking allocation_count.cpp replaces the global operator new and delete; what
/// is allocated while a SchedulerAllocationScope exists belongs to the scheduler, also when it is freed elsewhere.
#pragma once

#include <cstddef>
#include <cstdint>

namespace plumkeel::scale {

struct AllocationCounts {
    std::int64_t live_bytes{};    // asked for and not freed yet, without the allocator's own overhead
    std::uint64_t allocations{};  // since the program's start
};

/// Of the scheduler, in this process.
AllocationCounts scheduler_allocations();

/// While one exists on this thread, new memory counts as the scheduler's.
class SchedulerAllocationScope {
public:
    SchedulerAllocationScope();
    ~SchedulerAllocationScope();
    SchedulerAllocationScope(const SchedulerAllocationScope&) = delete;
    SchedulerAllocationScope& operator=(const SchedulerAllocationScope&) = delete;

private:
    const bool outer_;
};

}  // namespace plumkeel::scale
