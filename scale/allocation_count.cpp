#include "scale/allocation_count.hpp"

#include <cstdlib>
#include <new>

namespace plumkeel::scale {
namespace {

struct AllocationHeader {
    std::size_t bytes;
    bool counted_for_scheduler;
};
constexpr std::size_t header_bytes = 16;  // keeps malloc()'s alignment for the memory after the header
static_assert(sizeof(AllocationHeader) <= header_bytes);

thread_local bool in_scheduler_scope = false;
thread_local AllocationCounts scheduler_counts;

void* allocate(std::size_t bytes) {
    void* const block = std::malloc(bytes + header_bytes);
    if (!block) throw std::bad_alloc();
    *static_cast<AllocationHeader*>(block) = {bytes, in_scheduler_scope};
    if (in_scheduler_scope) {
        scheduler_counts.live_bytes += static_cast<std::int64_t>(bytes);
        ++scheduler_counts.allocations;
    }
    return static_cast<char*>(block) + header_bytes;
}

void deallocate(void* memory) noexcept {
    if (!memory) return;
    void* const block = static_cast<char*>(memory) - header_bytes;
    const AllocationHeader header = *static_cast<AllocationHeader*>(block);
    if (header.counted_for_scheduler) scheduler_counts.live_bytes -= static_cast<std::int64_t>(header.bytes);
    std::free(block);
}

}  // namespace

AllocationCounts scheduler_allocations() {
    return scheduler_counts;
}

SchedulerAllocationScope::SchedulerAllocationScope() : was_in_scheduler_scope_(in_scheduler_scope) {
    in_scheduler_scope = true;
}

SchedulerAllocationScope::~SchedulerAllocationScope() {
    in_scheduler_scope = was_in_scheduler_scope_;
}

}  // namespace plumkeel::scale

void* operator new(std::size_t bytes) {
    return plumkeel::scale::allocate(bytes);
}
void* operator new[](std::size_t bytes) {
    return plumkeel::scale::allocate(bytes);
}
void operator delete(void* memory) noexcept {
    plumkeel::scale::deallocate(memory);
}
void operator delete[](void* memory) noexcept {
    plumkeel::scale::deallocate(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
    plumkeel::scale::deallocate(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
    plumkeel::scale::deallocate(memory);
}
