#include "net/usage.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <system_error>

namespace plumkeel::net {
namespace {

std::size_t resident_kb() {
    // The first two fields of statm are the total and the resident size, in pages (proc(5)).
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

std::size_t open_descriptors() {
    std::size_t count = 0;
    std::error_code error;
    for (std::filesystem::directory_iterator it("/proc/self/fd", error), end; !error && it != end; it.increment(error))
        ++count;
    return count;
}

Time cpu_time() {
    rusage resources{};
    ::getrusage(RUSAGE_SELF, &resources);
    const auto to_time = [](const timeval& t) { return std::chrono::seconds(t.tv_sec) + Time(t.tv_usec); };
    return to_time(resources.ru_utime) + to_time(resources.ru_stime);
}

}  // namespace

ResourceUsage usage() {
    ResourceUsage current;
    current.resident_kb = resident_kb();
    current.descriptors = open_descriptors();
    current.cpu = cpu_time();
    return current;
}

}  // namespace plumkeel::net
