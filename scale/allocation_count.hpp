/// Counts the heap memory of the scheduler. Linking allocation_count.cpp replaces the global operator new and delete.
/// Memory allocated while a SchedulerAllocationScope exists counts as the scheduler's, even if it is freed outside.
#pragma once

#include <cstddef>
#include <cstdint>

namespace plumkeel::scale {

struct AllocationCounts {
    std::int64_t live_bytes{};    // allocated and not yet freed, without the allocator's overhead
    std::uint64_t allocations{};  // since the thread started
};

/// Counts of the memory that the scheduler allocated on the calling thread.
AllocationCounts scheduler_allocations();

/// While an instance exists, memory that its thread allocates counts as the scheduler's.
class SchedulerAllocationScope {
public:
    SchedulerAllocationScope();
    ~SchedulerAllocationScope();
    SchedulerAllocationScope(const SchedulerAllocationScope&) = delete;
    SchedulerAllocationScope& operator=(const SchedulerAllocationScope&) = delete;

private:
    const bool was_in_scheduler_scope_;
};

}  // namespace plumkeel::scale
