#include "log/log.hpp"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <chrono>
#include <utility>

namespace plumkeel {
namespace {

struct LevelInfo {
    Log::Level level;
    const char* name;
    spdlog::level::level_enum spdlog_level;
};

constexpr std::array<LevelInfo, 4> levels{{{Log::Level::debug, "debug", spdlog::level::debug},
                                           {Log::Level::info, "info", spdlog::level::info},
                                           {Log::Level::warn, "warn", spdlog::level::warn},
                                           {Log::Level::error, "error", spdlog::level::err}}};

constexpr auto flush_interval = std::chrono::seconds(1);
constexpr double microseconds_per_second = 1e6;

const LevelInfo& info_of(Log::Level level) {
    return levels.at(static_cast<std::size_t>(level));
}

std::shared_ptr<spdlog::sinks::sink> make_sink(const std::string& file) {
    if (file.empty()) return std::make_shared<spdlog::sinks::stderr_sink_mt>();
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
}

}  // namespace

Log::Log(net::EventLoop& loop, const LogConfig& config) : loop_(loop), config_(config) {
    for (const LevelInfo& each : levels)
        if (config.level == each.name) min_level_ = each.level;
    spdlog::init_thread_pool(config.queue_size, 1);
    // A full queue drops its oldest lines, so that the thread that schedules requests never waits for the disk.
    logger_ = std::make_shared<spdlog::async_logger>("plumkeel", make_sink(config.file), spdlog::thread_pool(),
                                                     spdlog::async_overflow_policy::overrun_oldest);
    logger_->set_pattern("%v");
    logger_->set_level(spdlog::level::trace);
    logger_->flush_on(spdlog::level::warn);
    spdlog::register_logger(logger_);
    spdlog::flush_every(flush_interval);
}

Log::~Log() {
    logger_->flush();
    logger_.reset();
    spdlog::shutdown();
}

std::uint64_t Log::dropped_lines() const {
    return spdlog::thread_pool()->overrun_counter();
}

void Log::write(Level level, std::string_view event, Fields fields) {
    if (!is_enabled(level)) return;
    RateLimiter& limiter = rate_limiters_.try_emplace(event, config_.max_lines_per_s, config_.burst).first->second;
    if (!limiter.allow(loop_.now())) return;
    Fields line;
    line["at"] = static_cast<double>(loop_.wall_clock().count()) / microseconds_per_second;
    line["level"] = info_of(level).name;
    line["kind"] = event;
    if (const auto suppressed = limiter.take_suppressed()) line["suppressed"] = suppressed;
    for (auto& [name, value] : fields) line[name] = std::move(value);
    logger_->log(info_of(level).spdlog_level, boost::json::serialize(line));
}

}  // namespace plumkeel
