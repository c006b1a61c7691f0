/// Records the events of an emulator process, such as requests and responses, as JSON lines with timestamps of the
/// machine's monotonic clock.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

/// Appends one JSON object per line. Each event is written without buffering, so that it survives a kill of the
/// process.
class EventLog {
public:
    /// Ends the process with status 2 if the file can't be opened.
    explicit EventLog(const std::string& file);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    /// Ends the process with status 3 if the line can't be written.
    void write(std::string_view event_name, boost::json::object fields);

private:
    int descriptor_;
};

/// Records each delay of this process by the operating system. Timestamps near it may be late by up to its duration.
void record_lag(net::EventLoop& loop, EventLog& log);

}  // namespace plumkeel::emulator
