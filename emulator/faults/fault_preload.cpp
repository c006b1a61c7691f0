/// A library that is loaded into a process with LD_PRELOAD and replaces system call functions. According to the fault
/// plan, calls fail or transfer fewer bytes than asked, and the wall clock is shifted. Without a plan, every call is
/// passed on unchanged.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include "emulator/faults/fault_plan.hpp"

namespace {

using plumkeel::faults::Call;
using plumkeel::faults::Plan;
using plumkeel::faults::Rule;

constexpr std::uint32_t million = 1'000'000;

Plan* open_plan(const char* path) {
    if (!path) return nullptr;
    const int descriptor = ::open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0) return nullptr;
    void* memory = ::mmap(nullptr, sizeof(Plan), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return memory == MAP_FAILED ? nullptr : static_cast<Plan*>(memory);
}

std::atomic<Plan*> assigned_plan{};  // null: the plan that PLUMKEEL_FAULT_PLAN names is used

Plan* plan() {
    static Plan* const environment_plan = open_plan(std::getenv(plumkeel::faults::plan_variable));
    Plan* const assigned = assigned_plan;
    return assigned ? assigned : environment_plan;
}

// Returns the next random number of the SplitMix64 generator (Steele, Lea, Flood 2014). The seed in the plan is
// atomic, so concurrent threads get different numbers.
std::uint64_t next_random() {
    std::uint64_t z = plan()->seed.fetch_add(0x9e3779b97f4a7c15ULL) + 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

// Decides whether this call fails. If so, sets errno and returns true.
bool inject_error(Call call) {
    if (!plan()) return false;
    Rule& rule = plan()->rules[static_cast<std::size_t>(call)];
    ++rule.total;
    const std::uint32_t failing_per_million = rule.failing_per_million, error_count = rule.error_count;
    if (failing_per_million == 0 || error_count == 0 || next_random() % million >= failing_per_million) return false;
    ++rule.failed;
    errno = rule.error_codes[next_random() % error_count];
    return true;
}

// Returns how many of `bytes` this call may transfer. At least one: a result of 0 would mean end of file.
std::size_t limit_transfer(Call call, std::size_t bytes) {
    if (!plan() || bytes < 2) return bytes;
    Rule& rule = plan()->rules[static_cast<std::size_t>(call)];
    if (rule.shortened_per_million == 0 || next_random() % million >= rule.shortened_per_million) return bytes;
    ++rule.cut_short;
    return 1 + next_random() % (bytes - 1);
}

// Returns the C library's function of this name, which this library replaces.
template <class Function>
Function replaced_function(const char* name, Function) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

// Tells files from sockets and pipes.
bool is_seekable(int descriptor) {
    return ::lseek(descriptor, 0, SEEK_CUR) >= 0;
}

// A copy of a message header whose buffers are shortened to the number of bytes that the call may transfer. Holds at
// most 16 buffers.
struct ShortenedMessage {
    msghdr header;
    iovec parts[16];
    ShortenedMessage(const msghdr* message, Call call) : header(*message) {
        const std::size_t max_parts = std::min<std::size_t>(message->msg_iovlen, 16);
        std::size_t bytes = 0;
        for (std::size_t i = 0; i < max_parts; ++i) bytes += message->msg_iov[i].iov_len;
        std::size_t remaining = limit_transfer(call, bytes);
        std::size_t part_count = 0;
        for (; part_count < max_parts && remaining > 0; ++part_count) {
            parts[part_count] = message->msg_iov[part_count];
            parts[part_count].iov_len = std::min(parts[part_count].iov_len, remaining);
            remaining -= parts[part_count].iov_len;
        }
        header.msg_iov = parts;
        header.msg_iovlen = part_count;
    }
};

}  // namespace

extern "C" {

void plumkeel_use_fault_plan(void* fault_plan) {
    assigned_plan = static_cast<Plan*>(fault_plan);
}

int accept(int fd, sockaddr* address, socklen_t* size) {
    static const auto next = replaced_function("accept", &accept);
    return inject_error(Call::accept) ? -1 : next(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    static const auto next = replaced_function("accept4", &accept4);
    return inject_error(Call::accept) ? -1 : next(fd, address, size, flags);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static const auto next = replaced_function("connect", &connect);
    return inject_error(Call::connect) ? -1 : next(fd, address, size);
}

ssize_t send(int fd, const void* data, size_t bytes, int flags) {
    static const auto next = replaced_function("send", &send);
    return inject_error(Call::send) ? -1 : next(fd, data, limit_transfer(Call::send, bytes), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static const auto next = replaced_function("sendmsg", &sendmsg);
    if (inject_error(Call::send)) return -1;
    const ShortenedMessage shortened(message, Call::send);
    return next(fd, &shortened.header, flags);
}

ssize_t recv(int fd, void* buffer, size_t bytes, int flags) {
    static const auto next = replaced_function("recv", &recv);
    if (flags & MSG_PEEK) return next(fd, buffer, bytes, flags);
    return inject_error(Call::receive) ? -1 : next(fd, buffer, limit_transfer(Call::receive, bytes), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
    static const auto next = replaced_function("recvmsg", &recvmsg);
    if (inject_error(Call::receive)) return -1;
    ShortenedMessage shortened(message, Call::receive);
    const ssize_t result = next(fd, &shortened.header, flags);
    message->msg_flags = shortened.header.msg_flags;
    return result;
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
    static const auto next = replaced_function("epoll_wait", &epoll_wait);
    return inject_error(Call::wait) ? -1 : next(fd, events, max_events, timeout);
}

int fsync(int fd) {
    static const auto next = replaced_function("fsync", &fsync);
    return inject_error(Call::sync) ? -1 : next(fd);
}

int fdatasync(int fd) {
    static const auto next = replaced_function("fdatasync", &fdatasync);
    return inject_error(Call::sync) ? -1 : next(fd);
}

int msync(void* start, size_t bytes, int flags) {
    static const auto next = replaced_function("msync", &msync);
    return inject_error(Call::sync) ? -1 : next(start, bytes, flags);
}

ssize_t write(int fd, const void* data, size_t bytes) {
    static const auto next = replaced_function("write", &write);
    if (!plan() || !is_seekable(fd)) return next(fd, data, bytes);
    return inject_error(Call::write_file) ? -1 : next(fd, data, limit_transfer(Call::write_file, bytes));
}

ssize_t writev(int fd, const iovec* parts, int count) {
    static const auto next = replaced_function("writev", &writev);
    return plan() && is_seekable(fd) && inject_error(Call::write_file) ? -1 : next(fd, parts, count);
}

ssize_t pwrite(int fd, const void* data, size_t bytes, off_t offset) {
    static const auto next = replaced_function("pwrite", &pwrite);
    return inject_error(Call::write_file) ? -1 : next(fd, data, limit_transfer(Call::write_file, bytes), offset);
}

ssize_t pwrite64(int fd, const void* data, size_t bytes, off64_t offset) {
    static const auto next = replaced_function("pwrite64", &pwrite64);
    return inject_error(Call::write_file) ? -1 : next(fd, data, limit_transfer(Call::write_file, bytes), offset);
}

ssize_t pwritev(int fd, const iovec* parts, int count, off_t offset) {
    static const auto next = replaced_function("pwritev", &pwritev);
    return inject_error(Call::write_file) ? -1 : next(fd, parts, count, offset);
}

int clock_gettime(clockid_t clock, timespec* timestamp) {
    static const auto next = replaced_function("clock_gettime", &clock_gettime);
    const int result = next(clock, timestamp);
    const bool is_wall_clock = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
    if (result != 0 || !is_wall_clock || !plan()) return result;
    const std::int64_t wall_us =
        static_cast<std::int64_t>(timestamp->tv_sec) * million + timestamp->tv_nsec / 1000 + plan()->wall_ahead_us;
    timestamp->tv_sec = wall_us / million;
    timestamp->tv_nsec = wall_us % million * 1000;
    return 0;
}

int gettimeofday(timeval* __restrict timestamp, void* __restrict) noexcept {
    timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    timestamp->tv_sec = now.tv_sec;
    timestamp->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t* seconds) noexcept {
    timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds) *seconds = now.tv_sec;
    return now.tv_sec;
}

}  // extern "C"
