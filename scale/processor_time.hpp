/// Processor time of the calling thread. Unlike the wall clock, it stands still while other threads use the core.
#pragma once

#include <chrono>
#include <ctime>

namespace plumkeel::scale {

inline std::chrono::nanoseconds processor_time() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace plumkeel::scale
