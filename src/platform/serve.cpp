#include "platform/serve.hpp"

#include <csignal>
#include <iostream>

#include "discovery/watcher.hpp"
#include "fastcgi/server.hpp"
#include "gateway/gateway.hpp"
#include "net/signal_block.hpp"
#include "net/socket_event_loop.hpp"
#include "platform/platform_config.hpp"
#include "platform/platform_server.hpp"
#include "platform_settings/fields.hpp"

namespace plumkeel::platform {

int serve(const std::string& file, const std::string& log_level) {
    // A signal that comes before the world runs is acted upon then: it neither ends the process nor is lost.
    net::SignalBlock start({SIGHUP, SIGTERM, SIGINT});
    PlatformConfig config = load_platform_config(file);
    config.gateway.log.level = log_level;
    if (log_level == "debug") {
        config.gateway.log.max_lines_per_s = config.gateway.log.burst = 1e6;
        config.gateway.log.queue_size = 8192;
    }
    net::SocketEventLoop loop;
    Log log(loop, config.gateway.log);
    PlatformServer host(loop, config, log);
    if (const net::Error error = host.open()) {
        std::cerr << "plumkeel: can't listen on " << config.gateway.listen << ": " << error.message() << '\n';
        return 1;
    }
    loop.on_signal(SIGHUP, [&] {
        try {
            host.reconfigure(load_platform_config(file));
        } catch (const std::exception& fault) {
            log.write(Log::Level::error, "configuration_kept", {{"why", fault.what()}});
        }
    });
    loop.on_signal(SIGTERM, [&] { host.shut_down([&] { loop.stop(); }); });
    loop.on_signal(SIGINT, [&] { host.shut_down([&] { loop.stop(); }); });
    start.release();
    loop.run();
    return 0;
}

}  // namespace plumkeel::platform
