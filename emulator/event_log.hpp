/// The record of one emulator process: what passed on its sockets, as JSON lines on the machine's monotonic clock.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

/// Appends one JSON object a line. Each line is written at once, so that a killed process leaves a complete record.
class EventLog {
public:
    /// Ends the process with status 2 where the file can't be opened.
    explicit EventLog(const std::string& file);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(std::string_view event_name, boost::json::object fields);

private:
    int descriptor_;
};

/// Records when this process itself was delayed by the scheduler: its timestamps are then that much too late.
void record_lag(net::EventLoop& loop, EventLog& log);

}  // namespace plumkeel::emulator
