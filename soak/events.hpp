/// What the processes of a soak run saw, as records of fixed size on the machine's monotonic clock. Each process
/// appends to a file of its own with one write a record, so that a killed process leaves a complete file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::soak {

enum class EventType : std::uint32_t {
    attempt_received,  ///< a proxy read an attempt from a controller; `value`: the time left that it states, in ms
    cancel_received,   ///< a proxy read a cancellation of an attempt
    run_started,       ///< an invoker
    run_rejected,      ///< an invoker answered that it did not run the attempt
    run_ended,         ///< an invoker
};

/// The request was in a socket that the proxy did not read: when it was sent is not known.
constexpr std::uint32_t time_uncertain = 1;

struct Event {
    std::int64_t time_us{};
    std::uint64_t request{};  // the client's id; 0: none
    EventType type{};
    std::uint32_t invoker{};  // its number
    std::int32_t value{};
    std::uint32_t flags{};
};

class EventFile {
public:
    explicit EventFile(const std::string& path);  // throws std::runtime_error
    ~EventFile();
    EventFile(const EventFile&) = delete;
    EventFile& operator=(const EventFile&) = delete;
    void write(EventType type, std::uint64_t request, std::uint32_t invoker, std::int32_t value = 0,
               std::uint32_t flags = 0);

private:
    int descriptor_;
};

std::vector<Event> read_events(const std::string& path);
/// The monotonic clock that all processes of the machine share.
std::int64_t now_us();

}  // namespace plumkeel::soak
