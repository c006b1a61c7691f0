/// Runs a function in a forked process that is pinned to one core, and measures its memory and processor time.
#pragma once

#include <sys/types.h>

#include <functional>

namespace plumkeel::benchmarks {

/// The destructor kills the process.
class ChildProcess {
public:
    ChildProcess(int core, const std::function<void()>& work);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    double resident_kb() const;
    double processor_s() const;  // user and system time of all threads

private:
    pid_t pid_;
};

}  // namespace plumkeel::benchmarks
