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

constexpr int stat_fields_before_utime = 13;  // of /proc/PID/stat, before utime and stime; see proc(5)

void pin_to_core(int core) {
    cpu_set_t cores;
    CPU_ZERO(&cores);
    CPU_SET(core % static_cast<int>(std::max(1L, sysconf(_SC_NPROCESSORS_ONLN))), &cores);
    sched_setaffinity(0, sizeof cores, &cores);
}

std::ifstream process_file(pid_t pid, const char* name) {
    return std::ifstream("/proc/" + std::to_string(pid) + "/" + name);
}

}  // namespace

ChildProcess::ChildProcess(int core, const std::function<void()>& work) : pid_(fork()) {
    if (pid_ != 0) return;
    pin_to_core(core);
    work();
    _exit(0);
}

ChildProcess::~ChildProcess() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

double ChildProcess::resident_kb() const {
    std::ifstream statm = process_file(pid_, "statm");
    double total_pages = 0, resident_pages = 0;
    statm >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

double ChildProcess::processor_s() const {
    std::ifstream stat = process_file(pid_, "stat");
    std::string skipped_field;
    double user_ticks = 0, system_ticks = 0;
    for (int i = 0; i < stat_fields_before_utime; ++i) stat >> skipped_field;
    stat >> user_ticks >> system_ticks;
    return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace plumkeel::benchmarks
