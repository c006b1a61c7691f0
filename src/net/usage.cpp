#include "net/usage.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace plumkeel::net {

Usage usage() {
    Usage out;
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages >> pages;
    out.resident_kb = pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1024;
    std::error_code error;
    for (std::filesystem::directory_iterator it("/proc/self/fd", error), end; !error && it != end; it.increment(error))
        ++out.descriptors;
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto of = [](const timeval& t) { return std::chrono::seconds(t.tv_sec) + Time(t.tv_usec); };
    out.cpu = of(used.ru_utime) + of(used.ru_stime);
    return out;
}

}  // namespace plumkeel::net
