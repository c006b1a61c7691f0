#include "soak/events.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>

#include "net/machine_clock.hpp"
#include "net/socket_event_loop.hpp"

namespace plumkeel::soak {

std::int64_t now_us() {
    return net::machine_clock().count();
}

EventFile::EventFile(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {
    if (file_ < 0) throw std::runtime_error(path + ": can't be written");
}

EventFile::~EventFile() {
    ::close(file_);
}

void EventFile::write(What what, std::uint64_t request, std::uint32_t invoker, std::int32_t value,
                      std::uint32_t flags) {
    const Event event{now_us(), request, what, invoker, value, flags};
    if (::write(file_, &event, sizeof event) != sizeof event) throw std::runtime_error("events can't be written");
}

std::vector<Event> read_events(const std::string& path) {
    std::vector<Event> out;
    std::ifstream in(path, std::ios::binary);
    for (Event event; in.read(reinterpret_cast<char*>(&event), sizeof event);) out.push_back(event);
    return out;
}

}  // namespace plumkeel::soak
