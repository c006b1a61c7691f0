#include "benchmarks/child_process.hpp"

#include <sched.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <string>

namespace plumkeel::benchmarks {
namespace {

constexpr int stat_fields_before_times = 13;  // see proc(5)

void pin_to(int core) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core % static_cast<int>(std::max(1L, sysconf(_SC_NPROCESSORS_ONLN))), &set);
    sched_setaffinity(0, sizeof set, &set);
}

std::ifstream process_file(pid_t pid, const char* name) {
    return std::ifstream("/proc/" + std::to_string(pid) + "/" + name);
}

}  // namespace

ChildProcess::ChildProcess(int core, const std::function<void()>& work) : pid_(fork()) {
    if (pid_ != 0) return;
    pin_to(core);
    work();
    _exit(0);
}

ChildProcess::~ChildProcess() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

double ChildProcess::resident_kb() const {
    std::ifstream memory = process_file(pid_, "statm");
    double size = 0, resident = 0;
    memory >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

double ChildProcess::processor_s() const {
    std::ifstream status = process_file(pid_, "stat");
    std::string skipped;
    double user = 0, system = 0;
    for (int i = 0; i < stat_fields_before_times; ++i) status >> skipped;
    status >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace plumkeel::benchmarks
