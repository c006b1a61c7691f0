#include "benchmarks/gateway_process.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <memory>

#include "benchmarks/gateway_peers.hpp"
#include "net/socket_event_loop.hpp"
#include "web/server.hpp"

namespace plumkeel::benchmarks {
namespace {

using namespace std::chrono_literals;
using net::Time;

constexpr int stalling_write = 20;

// A file whose disk stalls once, at a fixed number of writes.
class StallingFile : public trace::FileSink {
public:
    StallingFile(const std::string& name, double stall_s) : FileSink(name), stall_s_(stall_s) {}
    void append(std::string_view bytes) override {
        if (++write_count_ == stalling_write && stall_s_ > 0) usleep(static_cast<useconds_t>(stall_s_ * 1e6));
        FileSink::append(bytes);
    }

private:
    const double stall_s_;
    int write_count_{};
};

GatewayConfig gateway_config(bool with_invoker) {
    GatewayConfig config;
    config.listen = "127.0.0.1:" + std::to_string(gateway_port);
    config.log.file = "/dev/null";
    config.log.level = "warn";
    config.safety_rules = {10s, 0.2, 2, 2s, 0s, 0, 0};
    Capabilities& capabilities = config.capabilities;
    capabilities.cancellation = capabilities.health_checks = capabilities.hedging = capabilities.retry_after =
        capabilities.on_demand_loading = capabilities.stable_capacity = true;
    capabilities.max_attempts = 5;
    capabilities.controller_count = 1;
    capabilities.max_retry_after = 2s;
    capabilities.keep_alive = 10s;
    capabilities.clock_resolution = 5ms;
    config.pool.max_connections = 20'000;
    NamedRequestClass& request_class = config.request_classes["p"];
    request_class.name = "p";
    request_class.latency_target = 60s;
    if (with_invoker)
        config.endpoint_source.fixed.push_back({"i", "127.0.0.1:" + std::to_string(invoker_port), "", "", 1, 0});
    return config;
}

std::unique_ptr<trace::Recorder> make_recorder(GatewayConfig& config, const RecordingOptions& recording,
                                               Time wall_clock) {
    trace::RecorderConfig& trace_config = config.trace;
    trace_config.folder = recording.folder;
    trace_config.max_files = 2;
    trace_config.record_candidates = recording.record_candidates;
    trace_config.sample_ratio = recording.sample_ratio;
    return std::make_unique<trace::Recorder>(trace_config, "cost", wall_clock, [&recording](const std::string& name) {
        return std::make_unique<StallingFile>(name, recording.stall_s);
    });
}

void print_drops(const trace::Recorder& recorder) {
    fmt::print("  {} records written, {} dropped while the disk stalled\n", recorder.written(), recorder.dropped());
    std::fflush(stdout);
}

}  // namespace

void run_gateway(bool with_invoker, const RecordingOptions& recording) {
    net::SocketEventLoop loop;
    GatewayConfig config = gateway_config(with_invoker);
    Log log(loop, config.log);
    std::unique_ptr<trace::Recorder> recorder;
    trace::RecordCallback on_record;
    if (!recording.folder.empty()) {
        recorder = make_recorder(config, recording, loop.wall_clock());
        on_record = [&recorder](const trace::Record& record) { recorder->offer(record); };
    }
    web::Server gateway(loop, config, log, 1, std::move(on_record));
    if (gateway.open()) _exit(1);
    if (recorder && recording.stall_s > 0) {
        const Time drops_printed_at(static_cast<Time::rep>((recording.stall_s + 1) * 1e6));
        loop.call_at(drops_printed_at, [&recorder] { print_drops(*recorder); });
    }
    loop.run();
}

}  // namespace plumkeel::benchmarks
