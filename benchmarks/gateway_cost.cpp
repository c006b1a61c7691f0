/// plumkeel-cost: compares the gateway with a proxy that only copies bytes and uses the same src/net code. Measures
/// requests per second on one core, added latency, and the memory of open and parked requests.
///
/// The gateway or proxy, the invoker and the clients each run in their own process on their own core.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

#include "benchmarks/child_process.hpp"
#include "benchmarks/gateway_load.hpp"
#include "benchmarks/gateway_peers.hpp"
#include "benchmarks/gateway_process.hpp"

namespace {

using namespace plumkeel;
using namespace plumkeel::benchmarks;
using net::Time;

constexpr int server_core = 1, invoker_core = 2, client_core = 3;
constexpr useconds_t start_delay_us = 300'000;
constexpr int open_request_count = 1000;

struct Options {
    int rounds = 5, connections = 64;
    double seconds = 3;  // duration of each measurement
    RecordingOptions recording;
    int running_gateway_port = 0;  // port of a gateway that is already running; 0 if none

    Time duration() const { return Time(static_cast<Time::rep>(seconds * 1e6)); }
};

enum class MeasuredServer { pass_through, gateway };

struct Figures {
    LoadFigures load;
    double processor_us{};  // processor time per request
};

// Flushes stdout; otherwise forked processes would print its buffered contents again.
void flush_stdout() {
    std::fflush(stdout);
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

// Runs the clients in a child process, which returns its figures through a pipe.
LoadFigures run_clients_in_child(std::uint16_t port, int connections, Time duration) {
    LoadFigures figures;
    int pipe_ends[2];
    if (pipe(pipe_ends)) return figures;
    const ChildProcess clients(client_core, [&] {
        const LoadFigures measured = run_closed_loop(port, connections, duration);
        [[maybe_unused]] const auto written = ::write(pipe_ends[1], &measured, sizeof measured);
    });
    if (::read(pipe_ends[0], &figures, sizeof figures) != sizeof figures) figures = {};
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
    return figures;
}

Figures measure(MeasuredServer server, int connections, Time duration, const RecordingOptions& recording = {}) {
    const bool is_gateway = server == MeasuredServer::gateway;
    const ChildProcess invoker(invoker_core, [] { run_invoker(true); });
    const ChildProcess server_process(server_core,
                                      [&] { is_gateway ? run_gateway(true, recording) : run_pass_through(); });
    usleep(start_delay_us);
    Figures figures;
    figures.load = run_clients_in_child(is_gateway ? gateway_port : pass_through_port, connections, duration);
    if (figures.load.requests > 0) figures.processor_us = server_process.processor_s() * 1e6 / figures.load.requests;
    return figures;
}

double kb_per_open_request(bool with_invoker) {
    const ChildProcess invoker(invoker_core, [] { run_invoker(false); });
    const ChildProcess gateway(server_core, [&] { run_gateway(with_invoker); });
    usleep(start_delay_us);
    double before_kb = 0, after_kb = 0;
    OpenRequests requests;
    requests.run(
        gateway_port, open_request_count, [&] { before_kb = gateway.resident_kb(); },
        [&] { after_kb = gateway.resident_kb(); });
    return (after_kb - before_kb) / static_cast<double>(requests.count());
}

// Loads a gateway that was started separately, for example under a profiler.
void load_running_gateway(const Options& options) {
    const ChildProcess invoker(invoker_core, [] { run_invoker(true); });
    usleep(start_delay_us);
    const auto port = static_cast<std::uint16_t>(options.running_gateway_port);
    const LoadFigures figures = run_closed_loop(port, options.connections, options.duration());
    fmt::print("{:.0f} requests/s, median {:.0f} us\n", figures.requests_per_s, figures.median_us);
}

void print_figures(const char* name, const Figures& figures) {
    fmt::print("{} {:.0f} requests/s (median {:.0f} us, p99 {:.0f}; {:.1f} us of processor time per request); ", name,
               figures.load.requests_per_s, figures.load.median_us, figures.load.p99_us, figures.processor_us);
}

void compare_recorder(const Options& options) {
    std::vector<double> throughput_ratios, processor_time_ratios;
    for (int round = 1; round <= options.rounds; ++round) {
        const Figures without_recorder = measure(MeasuredServer::gateway, options.connections, options.duration()),
                      with_recorder =
                          measure(MeasuredServer::gateway, options.connections, options.duration(), options.recording);
        throughput_ratios.push_back(with_recorder.load.requests_per_s / without_recorder.load.requests_per_s);
        processor_time_ratios.push_back(with_recorder.processor_us / without_recorder.processor_us);
        fmt::print("round {}: ", round);
        print_figures("without recorder", without_recorder);
        print_figures("with recorder", with_recorder);
        fmt::print("ratio {:.2f}\n", throughput_ratios.back());
        flush_stdout();
    }
    fmt::print("with / without the recorder, medians: throughput {:.2f}, processor time of all threads {:.2f}\n",
               median(throughput_ratios), median(processor_time_ratios));
}

void compare_throughput(const Options& options) {
    std::vector<double> throughput_ratios, processor_time_ratios;
    for (int round = 1; round <= options.rounds; ++round) {
        const Figures pass_through = measure(MeasuredServer::pass_through, options.connections, options.duration()),
                      gateway = measure(MeasuredServer::gateway, options.connections, options.duration());
        throughput_ratios.push_back(gateway.load.requests_per_s / pass_through.load.requests_per_s);
        processor_time_ratios.push_back(gateway.processor_us / pass_through.processor_us);
        fmt::print("round {}: ", round);
        print_figures("pass-through", pass_through);
        print_figures("gateway", gateway);
        fmt::print("ratio {:.2f}\n", throughput_ratios.back());
        flush_stdout();
    }
    const auto [min_ratio, max_ratio] = std::minmax_element(throughput_ratios.begin(), throughput_ratios.end());
    fmt::print("processor time per request, gateway / pass-through: median {:.2f}\n", median(processor_time_ratios));
    fmt::print("throughput, gateway / pass-through: median {:.2f}, from {:.2f} to {:.2f}\n", median(throughput_ratios),
               *min_ratio, *max_ratio);
    flush_stdout();
}

void compare_latency(const Options& options) {
    const LoadFigures pass_through = measure(MeasuredServer::pass_through, 1, options.duration()).load,
                      gateway = measure(MeasuredServer::gateway, 1, options.duration()).load;
    fmt::print(
        "one client: pass-through median {:.0f} us, p99 {:.0f} us; gateway median {:.0f} us, p99 {:.0f} us; added "
        "median "
        "{:.0f} us, p99 {:.0f} us\n",
        pass_through.median_us, pass_through.p99_us, gateway.median_us, gateway.p99_us,
        gateway.median_us - pass_through.median_us, gateway.p99_us - pass_through.p99_us);
    flush_stdout();
}

void measure_memory() {
    const double open_kb = kb_per_open_request(true), parked_kb = kb_per_open_request(false);
    fmt::print(
        "memory: {:.1f} KB per open request, including its connection to the invoker; {:.1f} KB per parked request; "
        "both "
        "without the connection to the client\n",
        open_kb, parked_kb);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("compares the gateway with a proxy that only copies bytes");
    Options options;
    app.add_option("--rounds", options.rounds)->capture_default_str();
    app.add_option("--connections", options.connections)->capture_default_str();
    app.add_option("--seconds", options.seconds, "duration of each measurement")->capture_default_str();
    app.add_flag("--reasons", options.recording.record_candidates, "record the invokers considered for each request");
    app.add_option("--stall", options.recording.stall_s,
                   "duration in seconds of a simulated stall of the recorder's disk");
    app.add_option("--sample", options.recording.sample_ratio, "fraction of requests to record");
    app.add_option("--recorder", options.recording.folder,
                   "folder for traces: compare the gateway with and without its recorder");
    app.add_option("--against", options.running_gateway_port,
                   "only load a running gateway on this port, with an invoker on port 17501");
    CLI11_PARSE(app, argc, argv);
    if (options.running_gateway_port) {
        load_running_gateway(options);
    } else if (!options.recording.folder.empty()) {
        compare_recorder(options);
    } else {
        compare_throughput(options);
        compare_latency(options);
        measure_memory();
    }
    return 0;
}
