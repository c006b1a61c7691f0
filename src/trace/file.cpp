#include "trace/file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace plumkeel::trace {
namespace {

[[noreturn]] void throw_system_error(const std::string& name) {
    throw TraceError(name + ": " + std::strerror(errno));
}

}  // namespace

FileSink::FileSink(std::string name)
    : name_(std::move(name)),
      descriptor_(::open(name_.c_str(), O_CREAT | O_EXCL | O_WRONLY | O_APPEND | O_CLOEXEC, 0640)) {
    if (descriptor_ < 0) throw_system_error(name_);
}

FileSink::~FileSink() {
    ::close(descriptor_);
}

void FileSink::append(std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written < 0) throw_system_error(name_);
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

FileSource::FileSource(std::string name)
    : name_(std::move(name)), descriptor_(::open(name_.c_str(), O_RDONLY | O_CLOEXEC)) {
    struct stat status {};
    if (descriptor_ < 0 || ::fstat(descriptor_, &status) != 0) throw_system_error(name_);
    size_ = static_cast<std::uint64_t>(status.st_size);
}

FileSource::~FileSource() {
    ::close(descriptor_);
}

std::string FileSource::read(std::uint64_t offset, std::size_t bytes) const {
    if (offset >= size_) return {};
    std::string out(static_cast<std::size_t>(std::min<std::uint64_t>(bytes, size_ - offset)), '\0');
    std::size_t filled = 0;
    while (filled < out.size()) {
        const ssize_t bytes_read =
            ::pread(descriptor_, out.data() + filled, out.size() - filled, static_cast<off_t>(offset + filled));
        if (bytes_read < 0 && errno == EINTR) continue;
        if (bytes_read < 0) throw_system_error(name_);
        if (bytes_read == 0) break;
        filled += static_cast<std::size_t>(bytes_read);
    }
    out.resize(filled);
    return out;
}

}  // namespace plumkeel::trace
