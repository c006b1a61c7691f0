#include "soak/control.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>

namespace plumkeel::soak {

ControlFile::ControlFile(std::string path, Mode mode) : path_(std::move(path)) {
    const int flags = mode == Mode::make ? O_RDWR | O_CREAT | O_TRUNC : O_RDWR;
    const int file = ::open(path_.c_str(), flags | O_CLOEXEC, 0600);
    void* memory = MAP_FAILED;
    if (file >= 0 && (mode == Mode::open || ::ftruncate(file, sizeof(Control)) == 0))
        memory = ::mmap(nullptr, sizeof(Control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (file >= 0) ::close(file);
    if (memory == MAP_FAILED) throw std::runtime_error(path_ + ": can't be mapped");
    control_ = mode == Mode::make ? new (memory) Control : static_cast<Control*>(memory);
}

ControlFile::~ControlFile() {
    ::munmap(control_, sizeof(Control));
}

}  // namespace plumkeel::soak
