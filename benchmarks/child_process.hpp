/// A forked process on one core, and what it uses of the machine.
#pragma once

#include <sys/types.h>

#include <functional>

namespace plumkeel::benchmarks {

/// Killed with this object.
class ChildProcess {
public:
    ChildProcess(int core, const std::function<void()>& work);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    double resident_kb() const;
    double processor_s() const;  // of all its threads

private:
    pid_t pid_;
};

}  // namespace plumkeel::benchmarks
