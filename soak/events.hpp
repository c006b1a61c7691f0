/// Event files of a soak run: each proxy and invoker process appends events of fixed size to its own file. An event is
/// written by a single write call, so that the file of a killed process has no partial event.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::soak {

enum class EventType : std::uint32_t {
    attempt_received,  ///< a proxy read an attempt from a controller; `value`: the stated remaining time in ms
    cancel_received,   ///< a proxy read the cancellation of an attempt from a controller
    run_started,       ///< an invoker started to run an attempt
    run_rejected,      ///< an invoker answered that it would not run an attempt
    run_ended,         ///< an invoker stopped running an attempt
};

/// Flag of an event: the proxy had stopped reading its sockets, so the message may have been sent long before
/// `time_us`.
constexpr std::uint32_t time_uncertain = 1;

struct Event {
    std::int64_t time_us{};
    std::uint64_t request_id{};  // ID of the client's request; 0: none
    EventType type{};
    std::uint32_t invoker_number{};
    std::int32_t value{};   // meaning depends on `type`
    std::uint32_t flags{};  // 0 or time_uncertain
};

class EventFile {
public:
    explicit EventFile(const std::string& path);  // throws std::runtime_error
    ~EventFile();
    EventFile(const EventFile&) = delete;
    EventFile& operator=(const EventFile&) = delete;
    void write(EventType type, std::uint64_t request_id, std::uint32_t invoker_number, std::int32_t value = 0,
               std::uint32_t flags = 0);

private:
    int descriptor_;
};

std::vector<Event> read_events(const std::string& path);
/// The machine's monotonic clock, comparable between processes.
std::int64_t now_us();

}  // namespace plumkeel::soak
