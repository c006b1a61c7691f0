#include "scale/allocation_count.hpp"

#include <cstdlib>
#include <new>

namespace plumkeel::scale {
namespace {

struct Header {
    std::size_t bytes;
    bool of_scheduler;
};
constexpr std::size_t header_bytes = 16;  // keeps what follows aligned as malloc() does
static_assert(sizeof(Header) <= header_bytes);

thread_local bool in_scheduler = false;
thread_local AllocationCounts counts;

void* allocate(std::size_t bytes) {
    void* const raw = std::malloc(bytes + header_bytes);
    if (!raw) throw std::bad_alloc();
    *static_cast<Header*>(raw) = {bytes, in_scheduler};
    if (in_scheduler) {
        counts.live_bytes += static_cast<std::int64_t>(bytes);
        ++counts.allocations;
    }
    return static_cast<char*>(raw) + header_bytes;
}

void release(void* memory) noexcept {
    if (!memory) return;
    void* const raw = static_cast<char*>(memory) - header_bytes;
    const Header header = *static_cast<Header*>(raw);
    if (header.of_scheduler) counts.live_bytes -= static_cast<std::int64_t>(header.bytes);
    std::free(raw);
}

}  // namespace

AllocationCounts scheduler_allocations() {
    return counts;
}

SchedulerAllocationScope::SchedulerAllocationScope() : outer_(in_scheduler) {
    in_scheduler = true;
}

SchedulerAllocationScope::~SchedulerAllocationScope() {
    in_scheduler = outer_;
}

}  // namespace plumkeel::scale

void* operator new(std::size_t bytes) {
    return plumkeel::scale::allocate(bytes);
}
void* operator new[](std::size_t bytes) {
    return plumkeel::scale::allocate(bytes);
}
void operator delete(void* memory) noexcept {
    plumkeel::scale::release(memory);
}
void operator delete[](void* memory) noexcept {
    plumkeel::scale::release(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
    plumkeel::scale::release(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
    plumkeel::scale::release(memory);
}
