#include "emulator/event_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

#include "emulator/record_schema.hpp"
#include "net/machine_clock.hpp"
#include "net/socket_event_loop.hpp"

namespace plumkeel::emulator {
namespace {

constexpr Time lag_poll_interval = 10ms;
constexpr Time min_recorded_lag = 15ms;

net::Task<> poll_lag(net::EventLoop& loop, EventLog& log) {
    for (;;) {
        const Time sleep_start = loop.now();
        co_await loop.sleep(lag_poll_interval);
        const Time lag = loop.now() - sleep_start - lag_poll_interval;
        if (lag > min_recorded_lag) log.write(event::lag, {{key::duration_us, lag.count()}});
    }
}

}  // namespace

EventLog::EventLog(const std::string& file)
    : descriptor_(::open(file.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644)) {
    if (descriptor_ >= 0) return;
    std::cerr << "plumkeel-emulator: " << file << ": cannot be opened for writing\n";
    std::exit(2);
}

EventLog::~EventLog() {
    ::close(descriptor_);
}

void EventLog::write(std::string_view event_name, boost::json::object fields) {
    boost::json::object line;
    line[key::time] = net::machine_clock().count();
    line[key::event] = event_name;
    for (auto& [name, value] : fields) line[name] = std::move(value);
    const std::string text = boost::json::serialize(line) + "\n";
    if (::write(descriptor_, text.data(), text.size()) != static_cast<ssize_t>(text.size())) std::exit(3);
}

void record_lag(net::EventLoop& loop, EventLog& log) {
    loop.spawn(poll_lag(loop, log));
}

}  // namespace plumkeel::emulator
