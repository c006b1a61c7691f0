/// Structured log: one JSON object per line, written by an spdlog thread through a bounded queue. The rate of lines
/// with the same event name is limited, so that a burst cannot fill the disk; the next line of that event tells how
/// many were suppressed.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

#include "config/gateway_config.hpp"
#include "log/rate_limiter.hpp"
#include "net/event_loop.hpp"

namespace spdlog {
class logger;
}

namespace plumkeel {

/// The log of the process. Only one may exist at a time, since it owns spdlog's global thread pool.
class Log {
public:
    enum class Level { debug, info, warn, error };
    using Fields = boost::json::object;

    /// An unknown level in the configuration means `info`.
    Log(net::EventLoop& loop, const LogConfig& config);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    /// Whether lines of this level are written. Lets a caller skip building the fields of a line that is not.
    bool is_enabled(Level level) const { return level >= min_level_; }

    /// Writes a line with `fields` and the common fields `at` (seconds since the Unix epoch), `level`, `kind` (the
    /// event name, in snake case) and, if lines were suppressed before, `suppressed` (their number). The string behind
    /// `event` must outlive the log. Does not wait for the disk.
    void write(Level level, std::string_view event, Fields fields = {});

    /// Number of lines lost because the queue was full.
    std::uint64_t dropped_lines() const;

private:
    net::EventLoop& loop_;
    const LogConfig config_;
    Level min_level_ = Level::info;
    std::shared_ptr<spdlog::logger> logger_;
    std::map<std::string_view, RateLimiter> rate_limiters_;  // by event name
};

}  // namespace plumkeel
