#include "platform/serve.hpp"

#include <csignal>
#include <iostream>

#include "net/signal_block.hpp"
#include "net/socket_event_loop.hpp"
#include "platform/platform_config.hpp"
#include "platform/platform_server.hpp"

namespace plumkeel::platform {
namespace {

constexpr double unlimited_lines_per_s = 1e6;
constexpr std::size_t debug_log_queue_size = 8192;

void apply_log_level(const std::string& level, LogConfig& log) {
    log.level = level;
    if (level != "debug") return;
    log.max_lines_per_s = log.burst = unlimited_lines_per_s;
    log.queue_size = debug_log_queue_size;
}

void reload(const std::string& file, PlatformServer& server, Log& log) {
    try {
        server.reconfigure(load_platform_config(file));
    } catch (const std::exception& error) {
        log.write(Log::Level::error, "configuration_rejected", {{"reason", error.what()}});
    }
}

}  // namespace

int serve(const std::string& file, const std::string& log_level) {
    // Signals that arrive before the event loop runs are handled once it runs, instead of ending the process.
    net::SignalBlock signal_block({SIGHUP, SIGTERM, SIGINT});
    PlatformConfig config = load_platform_config(file);
    apply_log_level(log_level, config.gateway.log);
    net::SocketEventLoop loop;
    Log log(loop, config.gateway.log);
    PlatformServer server(loop, config, log);
    if (const net::Error error = server.open()) {
        std::cerr << "plumkeel: can't listen on " << config.gateway.listen << ": " << error.message() << '\n';
        return 1;
    }
    loop.on_signal(SIGHUP, [&] { reload(file, server, log); });
    for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { server.shut_down([&] { loop.stop(); }); });
    signal_block.release();
    loop.run();
    return 0;
}

}  // namespace plumkeel::platform
