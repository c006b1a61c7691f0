#include "cli/serve.hpp"

#include <boost/asio/post.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <random>

#include "log/log.hpp"
#include "net/listening_process.hpp"
#include "net/socket_event_loop.hpp"
#include "remote_write/exporter.hpp"
#include "trace/recorder.hpp"
#include "web/server.hpp"

namespace plumkeel::cli {
namespace {

constexpr net::Time recorder_flush_interval = std::chrono::milliseconds(500);

std::uint64_t random_seed() {
    return std::random_device{}() | std::uint64_t{std::random_device{}()} << 32;
}

void print_listen_error(const std::string& listen, const net::Error& error) {
    std::string reason = error.message();
    if (error == net::asio::error::address_in_use)
        if (const std::string process = net::listening_process(net::Address::parse(listen)->port); !process.empty())
            reason += ": used by " + process;
    std::cerr << "plumkeel: can't listen on " << listen << ": " << reason << '\n';
}

// Starts the remote write of metrics. Returns null if metrics are off or no receiver is configured. The exporter
// reports events on its own thread; they are posted to the event loop, which logs them.
std::unique_ptr<remote_write::Exporter> start_exporter(const remote_write::ExporterConfig& config, web::Server& server,
                                                       net::SocketEventLoop& loop, Log& log) {
    if (!server.metrics() || config.receivers.empty()) return nullptr;
    return std::make_unique<remote_write::Exporter>(
        config, [&server] { return server.metrics()->collect(); },
        [&loop, &log](remote_write::ExportEvent event, const std::string& detail) {
            net::asio::post(loop.executor(), [&log, event, detail] {
                log.write(Log::Level::warn, remote_write::to_string(event), {{"detail", detail}});
            });
        });
}

}  // namespace

int serve(const GatewayConfig& config, std::optional<std::uint64_t> seed) {
    // With SIGXFSZ ignored, writing to a file beyond its size limit fails with an error instead of ending the process.
    std::signal(SIGXFSZ, SIG_IGN);
    net::SocketEventLoop loop;
    Log log(loop, config.log);
    const std::uint64_t effective_seed = seed ? *seed : random_seed();
    std::unique_ptr<trace::Recorder> recorder;
    trace::RecordCallback on_record;
    if (!config.trace.folder.empty()) {
        recorder = std::make_unique<trace::Recorder>(config.trace, config.name, loop.wall_clock());
        on_record = [&recorder](const trace::Record& record) { recorder->offer(record); };
    }
    web::Server server(loop, config, log, effective_seed, std::move(on_record));
    server.set_snapshot_extension([&](metrics::MetricSnapshot& snapshot) {
        if (recorder) snapshot.dropped_trace_records = static_cast<double>(recorder->dropped());
    });
    if (const net::Error error = server.open()) {
        print_listen_error(config.listen, error);
        return 1;
    }
    log.write(
        Log::Level::info, "server_started",
        {{"listen", server.address().to_string()}, {"name", config.name}, {"seed", std::to_string(effective_seed)}});
    std::function<void()> flush_recorder = [&] {
        recorder->flush();
        loop.call_at(loop.now() + recorder_flush_interval, flush_recorder);
    };
    if (recorder) flush_recorder();
    const auto exporter = start_exporter(config.remote_write, server, loop, log);
    loop.on_termination([&] {
        log.write(Log::Level::info, "shutdown_started");
        server.close([&] {
            log.write(Log::Level::info, "shutdown_completed");
            loop.stop();
        });
    });
    loop.run();
    return 0;
}

}  // namespace plumkeel::cli
