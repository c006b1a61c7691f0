#include "trace/file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace plumkeel::trace {
namespace {

[[noreturn]] void complain(const std::string& name) {
    throw TraceError(name + ": " + std::strerror(errno));
}

}  // namespace

FileSink::FileSink(std::string name)
    : name_(std::move(name)), file_(::open(name_.c_str(), O_CREAT | O_EXCL | O_WRONLY | O_APPEND | O_CLOEXEC, 0640)) {
    if (file_ < 0) complain(name_);
}

FileSink::~FileSink() {
    ::close(file_);
}

void FileSink::append(std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t n = ::write(file_, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) complain(name_);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

FileSource::FileSource(std::string name) : name_(std::move(name)), file_(::open(name_.c_str(), O_RDONLY | O_CLOEXEC)) {
    struct stat facts {};
    if (file_ < 0 || ::fstat(file_, &facts) != 0) complain(name_);
    size_ = static_cast<std::uint64_t>(facts.st_size);
}

FileSource::~FileSource() {
    ::close(file_);
}

std::string FileSource::read(std::uint64_t offset, std::size_t bytes) const {
    if (offset >= size_) return {};
    std::string out(static_cast<std::size_t>(std::min<std::uint64_t>(bytes, size_ - offset)), '\0');
    std::size_t got = 0;
    while (got < out.size()) {
        const ssize_t n = ::pread(file_, out.data() + got, out.size() - got, static_cast<off_t>(offset + got));
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) complain(name_);
        if (n == 0) break;
        got += static_cast<std::size_t>(n);
    }
    out.resize(got);
    return out;
}

}  // namespace plumkeel::trace
