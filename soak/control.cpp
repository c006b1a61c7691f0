#include "soak/control.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>

namespace plumkeel::soak {

ControlFile::ControlFile(std::string path, Mode mode) : path_(std::move(path)) {
    const int flags = mode == Mode::create ? O_RDWR | O_CREAT | O_TRUNC : O_RDWR;
    const int descriptor = ::open(path_.c_str(), flags | O_CLOEXEC, 0600);
    void* memory = MAP_FAILED;
    if (descriptor >= 0 && (mode == Mode::open || ::ftruncate(descriptor, sizeof(ControlPage)) == 0))
        memory = ::mmap(nullptr, sizeof(ControlPage), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    if (descriptor >= 0) ::close(descriptor);
    if (memory == MAP_FAILED) throw std::runtime_error(path_ + ": cannot open the control file or map it into memory");
    page_ = mode == Mode::create ? new (memory) ControlPage : static_cast<ControlPage*>(memory);
}

ControlFile::~ControlFile() {
    ::munmap(page_, sizeof(ControlPage));
}

}  // namespace plumkeel::soak
