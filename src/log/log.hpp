// Structured logs: one JSON object a line, written by spdlog's own thread through a bounded queue. ConnectionPool of
// one kind come at a bounded rate, so that a storm can't drown the disk; what was left out is told with the next.
#pragma once

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string_view>

#include "config/gateway_config.hpp"
#include "net/event_loop.hpp"

namespace spdlog {
class logger;
}

namespace plumkeel {

// How many lines of one kind may pass. Free of I/O and clocks.
class RateLimiter {
public:
    RateLimiter(double per_s, double burst) : per_s_(per_s), burst_(burst), tokens_(burst) {}
    bool allow(Time now);
    std::uint64_t take_suppressed() { return std::exchange(suppressed_, 0); }  // since it was last told

private:
    double per_s_, burst_, tokens_;
    Time last_{};
    std::uint64_t suppressed_{};
};

class Log {
public:
    enum class Level { debug, info, warn, error };
    using Fields = boost::json::object;

    Log(net::EventLoop& loop, const LogConfig& rules);
    ~Log();
    bool is_enabled(Level level) const { return level >= min_level_; }
    // `kind` names what happened, in snake case; it must live as long as the log.
    void write(Level level, std::string_view kind, Fields fields = {});
    std::uint64_t dropped_lines() const;  // lines the bounded queue had no room for

private:
    net::EventLoop& loop_;
    const LogConfig config_;
    Level min_level_ = Level::info;
    std::shared_ptr<spdlog::logger> logger_;
    std::map<std::string_view, RateLimiter> rate_limiters_;
};

}  // namespace plumkeel
