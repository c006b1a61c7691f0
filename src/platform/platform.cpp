#include "platform/platform.hpp"

#include <csignal>
#include <iostream>

#include "discovery/watch.hpp"
#include "fastcgi/front.hpp"
#include "gateway/gateway.hpp"
#include "net/real.hpp"
#include "platform/config.hpp"
#include "platform/host.hpp"
#include "settings/fields.hpp"

namespace plumkeel::platform {

int serve(const std::string& file, const std::string& log_level) {
    // A signal that comes before the world runs is acted upon then: it neither ends the process nor is lost.
    net::SignalHold start({SIGHUP, SIGTERM, SIGINT});
    Config config = read_config(file);
    config.charter.log.level = log_level;
    if (log_level == "debug") {
        config.charter.log.lines_per_s = config.charter.log.burst = 1e6;
        config.charter.log.queued = 8192;
    }
    net::RealWorld world;
    Log log(world, config.charter.log);
    Host host(world, config, log);
    if (const net::Error error = host.open()) {
        std::cerr << "plumkeel: can't listen on " << config.charter.listen << ": " << error.message() << '\n';
        return 1;
    }
    world.on_signal(SIGHUP, [&] {
        try {
            host.reconfigured(read_config(file));
        } catch (const std::exception& fault) {
            log.line(Log::Level::error, "configuration_kept", {{"why", fault.what()}});
        }
    });
    world.on_signal(SIGTERM, [&] { host.end([&] { world.stop(); }); });
    world.on_signal(SIGINT, [&] { host.end([&] { world.stop(); }); });
    start.release();
    world.run();
    return 0;
}

}  // namespace plumkeel::platform
