// Structured logs: one JSON object a line, written by spdlog's own thread through a bounded queue. ConnectionPool of one
// kind come at a bounded rate, so that a storm can't drown the disk; what was left out is told with the next.
#pragma once

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string_view>

#include "charter/charter.hpp"
#include "net/world.hpp"

namespace spdlog {
class logger;
}

namespace plumkeel {

// How many lines of one kind may pass. Free of I/O and clocks.
class Trickle {
public:
    Trickle(double per_s, double burst) : per_s_(per_s), burst_(burst), left_(burst) {}
    bool pass(Time now);
    std::uint64_t left_out() { return std::exchange(left_out_, 0); }  // since it was last told

private:
    double per_s_, burst_, left_;
    Time last_{};
    std::uint64_t left_out_{};
};

class Log {
public:
    enum class Level { debug, info, warn, error };
    using Fields = boost::json::object;

    Log(net::World& world, const LogRules& rules);
    ~Log();
    bool wants(Level level) const { return level >= least_; }
    // `kind` names what happened, in snake case; it must live as long as the log.
    void line(Level level, std::string_view kind, Fields fields = {});
    std::uint64_t lost() const;  // lines the bounded queue had no room for

private:
    net::World& world_;
    const LogRules rules_;
    Level least_ = Level::info;
    std::shared_ptr<spdlog::logger> logger_;
    std::map<std::string_view, Trickle> kinds_;
};

}  // namespace plumkeel
