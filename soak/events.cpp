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
    : descriptor_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {
    if (descriptor_ < 0) throw std::runtime_error(path + ": cannot open the event file for writing");
}

EventFile::~EventFile() {
    ::close(descriptor_);
}

void EventFile::write(EventType type, std::uint64_t request_id, std::uint32_t invoker_number, std::int32_t value,
                      std::uint32_t flags) {
    const Event event{now_us(), request_id, type, invoker_number, value, flags};
    if (::write(descriptor_, &event, sizeof event) != sizeof event)
        throw std::runtime_error("cannot write an event to the event file");
}

std::vector<Event> read_events(const std::string& path) {
    std::vector<Event> events;
    std::ifstream input(path, std::ios::binary);
    for (Event event; input.read(reinterpret_cast<char*>(&event), sizeof event);) events.push_back(event);
    return events;
}

}  // namespace plumkeel::soak
