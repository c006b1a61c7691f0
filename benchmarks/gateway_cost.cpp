/// plumkeel-cost: what the gateway costs beside a bare pass-through of bytes on the same src/net code, in one run:
/// requests a second on one core, added latency, and the memory of an open and of a parked request. The two are
/// measured in turn.
///
/// Each part is a process of its own: the subject on one core, the answering invoker and the clients on others.
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

constexpr int subject_core = 1, invoker_core = 2, client_core = 3;
constexpr useconds_t start_time_us = 300'000;
constexpr int open_requests = 1000;

struct Options {
    int rounds = 5, connections = 64;
    double seconds = 3;  // of a measurement
    RecordingOptions recording;
    int external_port = 0;  // of a gateway that runs already

    Time length() const { return Time(static_cast<Time::rep>(seconds * 1e6)); }
};

enum class Subject { pass_through, gateway };

struct Figures {
    LoadFigures load;
    double processor_us{};  // a request
};

// What is buffered would be printed by each forked process too.
void flush() {
    std::fflush(stdout);
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

// The clients write their figures into a pipe.
LoadFigures load_in_child(std::uint16_t port, int connections, Time length) {
    LoadFigures figures;
    int pipe_ends[2];
    if (pipe(pipe_ends)) return figures;
    const ChildProcess clients(client_core, [&] {
        const LoadFigures measured = run_closed_loop(port, connections, length);
        [[maybe_unused]] const auto written = ::write(pipe_ends[1], &measured, sizeof measured);
    });
    if (::read(pipe_ends[0], &figures, sizeof figures) != sizeof figures) figures = {};
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
    return figures;
}

Figures measure(Subject subject, int connections, Time length, const RecordingOptions& recording = {}) {
    const bool is_gateway = subject == Subject::gateway;
    const ChildProcess invoker(invoker_core, [] { run_invoker(true); });
    const ChildProcess process(subject_core, [&] { is_gateway ? run_gateway(true, recording) : run_pass_through(); });
    usleep(start_time_us);
    Figures figures;
    figures.load = load_in_child(is_gateway ? gateway_port : pass_through_port, connections, length);
    if (figures.load.requests > 0) figures.processor_us = process.processor_s() * 1e6 / figures.load.requests;
    return figures;
}

double kb_an_open_request(bool with_invoker) {
    const ChildProcess invoker(invoker_core, [] { run_invoker(false); });
    const ChildProcess gateway(subject_core, [&] { run_gateway(with_invoker); });
    usleep(start_time_us);
    double before_kb = 0, after_kb = 0;
    OpenRequests requests;
    requests.run(
        gateway_port, open_requests, [&] { before_kb = gateway.resident_kb(); },
        [&] { after_kb = gateway.resident_kb(); });
    return (after_kb - before_kb) / static_cast<double>(requests.count());
}

// For profiles of a gateway that was started by hand.
void load_external(const Options& options) {
    const ChildProcess invoker(invoker_core, [] { run_invoker(true); });
    usleep(start_time_us);
    const auto port = static_cast<std::uint16_t>(options.external_port);
    const LoadFigures figures = run_closed_loop(port, options.connections, options.length());
    fmt::print("{:.0f} requests/s, median {:.0f} us\n", figures.requests_per_s, figures.median_us);
}

void print(const char* name, const Figures& figures) {
    fmt::print("{} {:.0f} requests/s (median {:.0f} us, p99 {:.0f}; {:.1f} us of core a request); ", name,
               figures.load.requests_per_s, figures.load.median_us, figures.load.p99_us, figures.processor_us);
}

void compare_recorder(const Options& options) {
    std::vector<double> throughputs, processor_times;
    for (int round = 1; round <= options.rounds; ++round) {
        const Figures without = measure(Subject::gateway, options.connections, options.length()),
                      with = measure(Subject::gateway, options.connections, options.length(), options.recording);
        throughputs.push_back(with.load.requests_per_s / without.load.requests_per_s);
        processor_times.push_back(with.processor_us / without.processor_us);
        fmt::print("round {}: ", round);
        print("without", without);
        print("with", with);
        fmt::print("ratio {:.2f}\n", throughputs.back());
        flush();
    }
    fmt::print("with the recorder: throughput median {:.2f}, core time (both threads) median {:.2f} of without\n",
               median(throughputs), median(processor_times));
}

void compare_throughput(const Options& options) {
    std::vector<double> throughputs, processor_times;
    for (int round = 1; round <= options.rounds; ++round) {
        const Figures bare = measure(Subject::pass_through, options.connections, options.length()),
                      gateway = measure(Subject::gateway, options.connections, options.length());
        throughputs.push_back(gateway.load.requests_per_s / bare.load.requests_per_s);
        processor_times.push_back(gateway.processor_us / bare.processor_us);
        fmt::print("round {}: ", round);
        print("pass-through", bare);
        print("gateway", gateway);
        fmt::print("ratio {:.2f}\n", throughputs.back());
        flush();
    }
    const auto [least, most] = std::minmax_element(throughputs.begin(), throughputs.end());
    fmt::print("gateway's core time a request, times the pass-through's: median {:.2f}\n", median(processor_times));
    fmt::print("gateway's throughput, of the pass-through's: median {:.2f}, from {:.2f} to {:.2f}\n",
               median(throughputs), *least, *most);
    flush();
}

void compare_latency(const Options& options) {
    const LoadFigures bare = measure(Subject::pass_through, 1, options.length()).load,
                      gateway = measure(Subject::gateway, 1, options.length()).load;
    fmt::print(
        "one client: pass-through median {:.0f} us, p99 {:.0f}; gateway median {:.0f} us, p99 {:.0f}; added {:.0f} and "
        "{:.0f}\n",
        bare.median_us, bare.p99_us, gateway.median_us, gateway.p99_us, gateway.median_us - bare.median_us,
        gateway.p99_us - bare.p99_us);
    flush();
}

void measure_memory() {
    const double open_kb = kb_an_open_request(true), parked_kb = kb_an_open_request(false);
    fmt::print(
        "memory: an open request {:.1f} KB with its connection to the invoker, a parked one {:.1f} KB (beside its "
        "client's connection)\n",
        open_kb, parked_kb);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("what the gateway costs beside a bare pass-through");
    Options options;
    app.add_option("--rounds", options.rounds)->capture_default_str();
    app.add_option("--connections", options.connections)->capture_default_str();
    app.add_option("--seconds", options.seconds, "a measurement")->capture_default_str();
    app.add_flag("--reasons", options.recording.record_candidates,
                 "recorded with the invokers considered for each request");
    app.add_option("--stall", options.recording.stall_s, "seconds for which the recorder's disk stalls");
    app.add_option("--sample", options.recording.sample_ratio, "share of the requests that is recorded");
    app.add_option("--recorder", options.recording.folder,
                   "a folder for traces: measure the gateway with its recorder against without");
    app.add_option("--against", options.external_port,
                   "load this gateway's port only, with an answering invoker on 17501: for profiles");
    CLI11_PARSE(app, argc, argv);
    if (options.external_port) {
        load_external(options);
    } else if (!options.recording.folder.empty()) {
        compare_recorder(options);
    } else {
        compare_throughput(options);
        compare_latency(options);
        measure_memory();
    }
    return 0;
}
