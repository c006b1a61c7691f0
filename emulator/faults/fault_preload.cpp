/// A library to be preloaded into one process (LD_PRELOAD): makes its system calls fail, or move fewer bytes, as often
/// as the process's plan says, and steps its wall clock. Only errors that the manual pages document are injected, by
/// the plan. Without a plan in the environment it changes nothing.
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
    const int file = ::open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) return nullptr;
    void* memory = ::mmap(nullptr, sizeof(Plan), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return memory == MAP_FAILED ? nullptr : static_cast<Plan*>(memory);
}

std::atomic<Plan*> chosen{};

Plan* plan() {
    static Plan* const named = open_plan(std::getenv(plumkeel::faults::plan_variable));
    Plan* const it = chosen;
    return it ? it : named;
}

// SplitMix64 (Steele, Lea, Flood 2014) over one counter: threads draw different numbers.
std::uint64_t draw() {
    std::uint64_t z = plan()->seed.fetch_add(0x9e3779b97f4a7c15ULL) + 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

// True: the call is to fail, and errno says how.
bool fails(Call call) {
    if (!plan()) return false;
    Rule& rule = plan()->rule[static_cast<std::size_t>(call)];
    ++rule.seen;
    const std::uint32_t failing = rule.failing, errors = rule.errors;
    if (failing == 0 || errors == 0 || draw() % million >= failing) return false;
    ++rule.failed;
    errno = rule.error[draw() % errors];
    return true;
}

// How many of `bytes` this call may move: at least one.
std::size_t allowed(Call call, std::size_t bytes) {
    if (!plan() || bytes < 2) return bytes;
    Rule& rule = plan()->rule[static_cast<std::size_t>(call)];
    if (rule.shortened == 0 || draw() % million >= rule.shortened) return bytes;
    ++rule.cut_short;
    return 1 + draw() % (bytes - 1);
}

template <class Function>
Function real(const char* name, Function) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool is_file(int descriptor) {
    return ::lseek(descriptor, 0, SEEK_CUR) >= 0;
}

// The message with its buffers cut to what may be moved.
struct ShortMessage {
    msghdr head;
    iovec parts[16];
    ShortMessage(const msghdr* whole, Call call) : head(*whole) {
        const std::size_t count = std::min<std::size_t>(whole->msg_iovlen, 16);
        std::size_t bytes = 0;
        for (std::size_t i = 0; i < count; ++i) bytes += whole->msg_iov[i].iov_len;
        std::size_t left = allowed(call, bytes);
        std::size_t used = 0;
        for (; used < count && left > 0; ++used) {
            parts[used] = whole->msg_iov[used];
            parts[used].iov_len = std::min(parts[used].iov_len, left);
            left -= parts[used].iov_len;
        }
        head.msg_iov = parts;
        head.msg_iovlen = used;
    }
};

}  // namespace

extern "C" {

void plumkeel_use_fault_plan(void* it) {
    chosen = static_cast<Plan*>(it);
}

int accept(int fd, sockaddr* at, socklen_t* size) {
    static const auto next = real("accept", &accept);
    return fails(Call::accept) ? -1 : next(fd, at, size);
}

int accept4(int fd, sockaddr* at, socklen_t* size, int flags) {
    static const auto next = real("accept4", &accept4);
    return fails(Call::accept) ? -1 : next(fd, at, size, flags);
}

int connect(int fd, const sockaddr* to, socklen_t size) {
    static const auto next = real("connect", &connect);
    return fails(Call::connect) ? -1 : next(fd, to, size);
}

ssize_t send(int fd, const void* from, size_t bytes, int flags) {
    static const auto next = real("send", &send);
    return fails(Call::send) ? -1 : next(fd, from, allowed(Call::send, bytes), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static const auto next = real("sendmsg", &sendmsg);
    if (fails(Call::send)) return -1;
    const ShortMessage cut(message, Call::send);
    return next(fd, &cut.head, flags);
}

ssize_t recv(int fd, void* into, size_t bytes, int flags) {
    static const auto next = real("recv", &recv);
    if (flags & MSG_PEEK) return next(fd, into, bytes, flags);
    return fails(Call::receive) ? -1 : next(fd, into, allowed(Call::receive, bytes), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
    static const auto next = real("recvmsg", &recvmsg);
    if (fails(Call::receive)) return -1;
    ShortMessage cut(message, Call::receive);
    const ssize_t got = next(fd, &cut.head, flags);
    message->msg_flags = cut.head.msg_flags;
    return got;
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
    static const auto next = real("epoll_wait", &epoll_wait);
    return fails(Call::wait) ? -1 : next(fd, events, most, timeout);
}

int fsync(int fd) {
    static const auto next = real("fsync", &fsync);
    return fails(Call::sync) ? -1 : next(fd);
}

int fdatasync(int fd) {
    static const auto next = real("fdatasync", &fdatasync);
    return fails(Call::sync) ? -1 : next(fd);
}

int msync(void* at, size_t bytes, int flags) {
    static const auto next = real("msync", &msync);
    return fails(Call::sync) ? -1 : next(at, bytes, flags);
}

ssize_t write(int fd, const void* from, size_t bytes) {
    static const auto next = real("write", &write);
    if (!plan() || !is_file(fd)) return next(fd, from, bytes);
    return fails(Call::write_file) ? -1 : next(fd, from, allowed(Call::write_file, bytes));
}

ssize_t writev(int fd, const iovec* parts, int count) {
    static const auto next = real("writev", &writev);
    return plan() && is_file(fd) && fails(Call::write_file) ? -1 : next(fd, parts, count);
}

ssize_t pwrite(int fd, const void* from, size_t bytes, off_t at) {
    static const auto next = real("pwrite", &pwrite);
    return fails(Call::write_file) ? -1 : next(fd, from, allowed(Call::write_file, bytes), at);
}

ssize_t pwrite64(int fd, const void* from, size_t bytes, off64_t at) {
    static const auto next = real("pwrite64", &pwrite64);
    return fails(Call::write_file) ? -1 : next(fd, from, allowed(Call::write_file, bytes), at);
}

ssize_t pwritev(int fd, const iovec* parts, int count, off_t at) {
    static const auto next = real("pwritev", &pwritev);
    return fails(Call::write_file) ? -1 : next(fd, parts, count, at);
}

int clock_gettime(clockid_t clock, timespec* at) {
    static const auto next = real("clock_gettime", &clock_gettime);
    const int result = next(clock, at);
    const bool wall = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
    if (result != 0 || !wall || !plan()) return result;
    const std::int64_t us =
        static_cast<std::int64_t>(at->tv_sec) * million + at->tv_nsec / 1000 + plan()->wall_ahead_us;
    at->tv_sec = us / million;
    at->tv_nsec = us % million * 1000;
    return 0;
}

int gettimeofday(timeval* __restrict at, void* __restrict) noexcept {
    timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t* at) noexcept {
    timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

}  // extern "C"
