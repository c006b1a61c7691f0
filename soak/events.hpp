// What the processes of a soak run saw, as fixed records on the machine's common monotonic clock: each process appends
// to a file of its own with one write a record, so that a killed one leaves all that it told.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::soak {

enum class What : std::uint32_t {
    run_came,     // a proxy read an attempt whole from a controller; `value`: the time left that it tells, in ms
    stop_came,    // and a word to give it up
    run_began,    // an invoker took an attempt up
    run_refused,  // or turned it away, as never run
    run_ended,    // it answered
};

struct Event {
    std::int64_t at_us{};
    std::uint64_t request{};  // the client's id; 0: none
    What what{};
    std::uint32_t invoker{};  // its number in the list
    std::int32_t value{};
    std::uint32_t flags{};
};
constexpr std::uint32_t held_up = 1;  // it stood in a socket that the proxy did not read: its moment is not known

class EventFile {
public:
    explicit EventFile(const std::string& path);  // throws std::runtime_error
    ~EventFile();
    EventFile(const EventFile&) = delete;
    EventFile& operator=(const EventFile&) = delete;
    void write(What what, std::uint64_t request, std::uint32_t invoker, std::int32_t value = 0,
               std::uint32_t flags = 0);

private:
    int file_;
};

std::vector<Event> read_events(const std::string& path);
std::int64_t now_us();  // of the common clock

}  // namespace plumkeel::soak
