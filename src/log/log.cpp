#include "log/log.hpp"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace plumkeel {
namespace {

constexpr const char* level_names[] = {"debug", "info", "warn", "error"};

}  // namespace

bool RateLimiter::allow(Time now) {
    const double since = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    tokens_ = std::min(burst_, tokens_ + since * per_s_);
    if (tokens_ < 1) {
        ++suppressed_;
        return false;
    }
    --tokens_;
    return true;
}

Log::Log(net::EventLoop& loop, const LogConfig& rules) : loop_(loop), config_(rules) {
    for (int i = 0; i < 4; ++i)
        if (rules.level == level_names[i]) min_level_ = static_cast<Level>(i);
    spdlog::init_thread_pool(rules.queue_size, 1);
    std::shared_ptr<spdlog::sinks::sink> sink;
    if (rules.file.empty())
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    else
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(rules.file);
    // A full queue lets its oldest lines go: the thread that decides never waits for the disk.
    logger_ = std::make_shared<spdlog::async_logger>("plumkeel", sink, spdlog::thread_pool(),
                                                     spdlog::async_overflow_policy::overrun_oldest);
    logger_->set_pattern("%v");
    logger_->set_level(spdlog::level::trace);
    logger_->flush_on(spdlog::level::warn);
    spdlog::register_logger(logger_);
    spdlog::flush_every(std::chrono::seconds(1));
}

Log::~Log() {
    logger_->flush();
    logger_.reset();
    spdlog::shutdown();
}

std::uint64_t Log::dropped_lines() const {
    return spdlog::thread_pool()->overrun_counter();
}

void Log::write(Level level, std::string_view kind, Fields fields) {
    if (!is_enabled(level)) return;
    RateLimiter& trickle = rate_limiters_.try_emplace(kind, config_.max_lines_per_s, config_.burst).first->second;
    if (!trickle.allow(loop_.now())) return;
    Fields whole;
    whole["at"] = static_cast<double>(loop_.wall_clock().count()) / 1e6;
    whole["level"] = level_names[static_cast<int>(level)];
    whole["kind"] = kind;
    if (const auto out = trickle.take_suppressed()) whole["left_out"] = out;
    for (auto& [name, value] : fields) whole[name] = std::move(value);
    static constexpr spdlog::level::level_enum levels[] = {spdlog::level::debug, spdlog::level::info,
                                                           spdlog::level::warn, spdlog::level::err};
    logger_->log(levels[static_cast<int>(level)], boost::json::serialize(whole));
}

}  // namespace plumkeel
