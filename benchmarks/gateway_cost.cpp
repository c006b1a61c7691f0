// What the gateway costs beside a bare pass-through of bytes on the same src/net code, in one run: jobs a second
// on one core, added latency, and the memory of an open and of a parked job. The two are measured in turn.
//
// Every part is a process of its own: the subject on one core, the echoing invoker and the clients on others.
#include <fmt/format.h>
#include <sched.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>

#include "http/http.hpp"
#include "net/socket_event_loop.hpp"
#include "web/server.hpp"

namespace {

using namespace plumkeel;
using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr std::uint16_t invoker_port = 17501, gateway_port = 17502, proxy_port = 17503;

void pin(int core) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core % static_cast<int>(std::max(1L, sysconf(_SC_NPROCESSORS_ONLN))), &set);
    sched_setaffinity(0, sizeof set, &set);
}

class Child {
public:
    Child(int core, const std::function<void()>& work) : pid_(fork()) {
        if (pid_ == 0) {
            pin(core);
            work();
            _exit(0);
        }
    }
    ~Child() {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    Child(const Child&) = delete;
    double resident_kb() const {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
        double size = 0, resident = 0;
        in >> size >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
    }
    double cpu_s() const {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
        std::string skip;
        double user = 0, system = 0;
        for (int i = 0; i < 13; ++i) in >> skip;
        in >> user >> system;
        return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

private:
    pid_t pid_;
};

void put(net::Stream& stream, std::string_view text) {
    const net::asio::const_buffer whole = net::asio::buffer(text.data(), text.size());
    stream.write_now({&whole, 1});
}

// Answers every message that ends a head and its body at once, or never.
void echo(bool answers) {
    net::SocketEventLoop loop;
    const auto listener = loop.listen({"127.0.0.1", invoker_port}).listener;
    auto talk = [&](std::shared_ptr<net::Stream> stream) -> Task<> {
        http::ReadBuffer read_buffer(stream);
        for (;;) {
            http::bh::request_parser<http::bh::string_body> parser;
            parser.eager(true);
            net::Error error;
            while (!parser.is_done() && !error) {
                error = co_await read_buffer.read_more();
                if (!error) error = read_buffer.feed(parser);
            }
            if (error) co_return;
            if (answers || parser.get().method() == http::bh::verb::get)
                put(*stream,
                    "HTTP/1.1 200 OK\r\nplumkeel-note: stood-loaded\r\nplumkeel-company: 0\r\n"
                    "endpoint-load-metrics: TEXT named_metrics.inflight=1\r\nContent-Length: 2\r\n\r\nok");
        }
    };
    auto accept = [&]() -> Task<> {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (!accepted.error) loop.spawn(talk(accepted.stream));
        }
    };
    loop.spawn(accept());
    loop.run();
}

// The baseline: bytes from the client to the invoker and back, nothing read in them.
void proxy() {
    net::SocketEventLoop loop;
    const auto listener = loop.listen({"127.0.0.1", proxy_port}).listener;
    auto pump = [&](std::shared_ptr<net::Stream> from, std::shared_ptr<net::Stream> to) -> Task<> {
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, to);
        std::vector<char> room(16 * 1024);
        for (;;) {
            const net::TransferResult moved = co_await from->read(net::asio::buffer(room));
            if (moved.error) break;
            write_queue->send(std::string(room.data(), moved.bytes));
            co_await write_queue->wait_below(64 * 1024);
        }
        to->close();
    };
    auto sink = [&](std::shared_ptr<net::Stream> client) -> Task<> {
        const net::Address to{"127.0.0.1", invoker_port};
        auto connected = co_await loop.connect(to, 1s);
        if (connected.error) co_return;
        loop.spawn(pump(client, connected.stream));
        loop.spawn(pump(connected.stream, client));
    };
    auto accept = [&]() -> Task<> {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (!accepted.error) loop.spawn(sink(accepted.stream));
        }
    };
    loop.spawn(accept());
    loop.run();
}

struct Recording {
    std::string folder;  // empty: none
    bool reasons{};
    double stall_s{};  // the disk stands still for so long, once
    double sample = 1;
};

// A file whose disk stands still for a while, once some has been written.
class StallingFile : public trace::FileSink {
public:
    StallingFile(const std::string& name, double stall_s) : FileSink(name), stall_s_(stall_s) {}
    void append(std::string_view bytes) override {
        if (++appended_ == 20 && stall_s_ > 0) usleep(static_cast<useconds_t>(stall_s_ * 1e6));
        FileSink::append(bytes);
    }

private:
    const double stall_s_;
    int appended_{};
};

void serve(bool with_invoker, const Recording& recording = {}) {
    net::SocketEventLoop loop;
    GatewayConfig config;
    config.listen = "127.0.0.1:" + std::to_string(gateway_port);
    config.log.file = "/dev/null";
    config.log.level = "warn";
    config.safety_rules = {10s, 0.2, 2, 2s, 0s, 0, 0};
    Capabilities& may = config.capabilities;
    may.cancellation = may.health_checks = may.hedging = may.retry_after = may.on_demand_loading = may.stable_capacity =
        true;
    may.max_attempts = 5;
    may.controller_count = 1;
    may.max_retry_after = 2s;
    may.keep_alive = 10s;
    may.clock_resolution = 5ms;
    config.pool.max_connections = 20'000;
    NamedRequestClass& use = config.request_classes["p"];
    use.name = "p";
    use.latency_target = 60s;
    if (with_invoker)
        config.endpoint_source.fixed.push_back({"i", "127.0.0.1:" + std::to_string(invoker_port), "", "", 1, 0});
    Log log(loop, config.log);
    std::unique_ptr<trace::Recorder> recorder;
    trace::RecordCallback recorded;
    if (!recording.folder.empty()) {
        trace::RecorderConfig& rules = config.trace;
        rules.folder = recording.folder;
        rules.max_files = 2;
        rules.record_candidates = recording.reasons;
        rules.sample_ratio = recording.sample;
        recorder = std::make_unique<trace::Recorder>(rules, "cost", loop.wall_clock(), [&](const std::string& name) {
            return std::make_unique<StallingFile>(name, recording.stall_s);
        });
        recorded = [&recorder](const trace::Record& record) { recorder->offer(record); };
    }
    web::Server gateway(loop, config, log, 1, std::move(recorded));
    if (gateway.open()) _exit(1);
    if (recording.stall_s > 0)
        loop.call_at(Time(static_cast<Time::rep>((recording.stall_s + 1) * 1e6)), [&] {
            fmt::print("  {} records written, {} dropped while the disk stood still\n", recorder->written(),
                       recorder->dropped());
            std::fflush(stdout);
        });
    loop.run();
}

struct Figures {
    double per_s{}, median_us{}, p99_us{}, cpu_us{};
};

// Closed-loop clients on kept connections; the middle of the run counts.
Figures load(std::uint16_t port, int connections, Time length) {
    net::SocketEventLoop loop;
    const std::string text =
        "POST /v1/jobs/f HTTP/1.1\r\nHost: x\r\nplumkeel-use-case: p\r\nplumkeel-time-left: 60000\r\n"
        "plumkeel-lanes: 10000\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\n01234567890123456789";
    std::vector<double> took;
    const Time from = length / 4;
    auto client = [&]() -> Task<> {
        const net::Address to{"127.0.0.1", port};
        auto connected = co_await loop.connect(to, 2s);
        if (connected.error) co_return;
        http::ReadBuffer read_buffer(connected.stream);
        while (loop.now() < length) {
            const Time sent = loop.now();
            put(*connected.stream, text);
            http::bh::response_parser<http::bh::string_body> parser;
            parser.eager(true);
            net::Error error;
            while (!parser.is_done() && !error) {
                error = co_await read_buffer.read_more();
                if (!error) error = read_buffer.feed(parser);
            }
            if (error) co_return;
            if (loop.now() > from && parser.get().result_int() == 200)
                took.push_back(static_cast<double>((loop.now() - sent).count()));
        }
    };
    for (int i = 0; i < connections; ++i) loop.spawn(client());
    loop.call_at(length + 200ms, [&] { loop.stop(); });
    loop.run();
    if (took.empty()) return {};
    const double all = static_cast<double>(took.size()) * 4 / 3;  // with those of the first quarter
    std::sort(took.begin(), took.end());
    return {static_cast<double>(took.size()) / std::chrono::duration<double>(length - from).count(),
            took[took.size() / 2], took[took.size() * 99 / 100], all};
}

// Memory of jobs that stay open: `count` of them, each on a connection of its own.
double kb_a_job(bool with_invoker, int count) {
    Child invoker(2, [] { echo(false); });
    Child subject(1, [&] { serve(with_invoker); });
    usleep(300'000);
    double before = 0, after = 0;
    net::SocketEventLoop loop;
    std::vector<std::shared_ptr<net::Stream>> held;
    auto run = [&]() -> Task<> {
        const net::Address to{"127.0.0.1", gateway_port};
        for (int i = 0; i < count; ++i) {
            auto connected = co_await loop.connect(to, 2s);
            if (connected.error) continue;
            held.push_back(connected.stream);
        }
        co_await loop.sleep(300ms);
        before = subject.resident_kb();
        for (const auto& stream : held)
            put(*stream,
                "POST /v1/jobs/f HTTP/1.1\r\nHost: x\r\nplumkeel-use-case: p\r\nplumkeel-time-left: 60000\r\n"
                "plumkeel-lanes: 10000\r\nContent-Length: 20\r\n\r\n01234567890123456789");
        co_await loop.sleep(1500ms);
        after = subject.resident_kb();
        loop.stop();
    };
    loop.spawn(run());
    loop.run();
    return (after - before) / static_cast<double>(held.size());
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("what the gateway costs beside a bare pass-through");
    int rounds = 5, connections = 64;
    double seconds = 3;
    app.add_option("--rounds", rounds)->capture_default_str();
    app.add_option("--connections", connections)->capture_default_str();
    app.add_option("--seconds", seconds, "a measurement")->capture_default_str();
    Recording recording;
    app.add_flag("--reasons", recording.reasons, "recorded with the invokers weighed for each job");
    app.add_option("--stall", recording.stall_s, "seconds for which the recorder's disk stands still");
    app.add_option("--sample", recording.sample, "part of the jobs that is recorded");
    app.add_option("--recorder", recording.folder,
                   "a folder for traces: measure the gateway with its recorder against without");
    int against = 0;
    app.add_option("--against", against,
                   "load this gateway's port only, with an echoing invoker on 17501: for profiles");
    CLI11_PARSE(app, argc, argv);
    const Time length(static_cast<Time::rep>(seconds * 1e6));
    if (against) {
        Child invoker(2, [] { echo(true); });
        usleep(300'000);
        const Figures f = load(static_cast<std::uint16_t>(against), connections, length);
        fmt::print("{:.0f} jobs/s, median {:.0f} us\n", f.per_s, f.median_us);
        return 0;
    }
    auto measure = [&](bool gateway, int at_once, const Recording& record = {}) {
        Child invoker(2, [] { echo(true); });
        Child subject(1, [&] { gateway ? serve(true, record) : proxy(); });
        usleep(300'000);
        Figures out;
        int pipe_ends[2];
        if (pipe(pipe_ends)) return out;
        {
            Child clients(3, [&] {
                const Figures f = load(gateway ? gateway_port : proxy_port, at_once, length);
                [[maybe_unused]] const auto n = write(pipe_ends[1], &f, sizeof f);
            });
            if (read(pipe_ends[0], &out, sizeof out) != sizeof out) out = {};
            out.cpu_us = out.cpu_us > 0 ? subject.cpu_s() * 1e6 / out.cpu_us : 0;  // a job
        }
        ::close(pipe_ends[0]);
        ::close(pipe_ends[1]);
        return out;
    };
    if (!recording.folder.empty()) {
        std::vector<double> shares, cores;
        for (int i = 0; i < rounds; ++i) {
            const Figures without = measure(true, connections), with = measure(true, connections, recording);
            shares.push_back(with.per_s / without.per_s);
            cores.push_back(with.cpu_us / without.cpu_us);
            fmt::print(
                "round {}: without {:.0f} jobs/s, p99 {:.0f} us, {:.1f} us of core a job; with {:.0f} jobs/s, p99 "
                "{:.0f} us, {:.1f} us; "
                "ratio {:.2f}\n",
                i + 1, without.per_s, without.p99_us, without.cpu_us, with.per_s, with.p99_us, with.cpu_us,
                shares.back());
            std::fflush(stdout);
        }
        std::sort(shares.begin(), shares.end());
        std::sort(cores.begin(), cores.end());
        fmt::print("with the recorder: throughput median {:.2f}, core time (both threads) median {:.2f} of without\n",
                   shares[shares.size() / 2], cores[cores.size() / 2]);
        return 0;
    }
    std::vector<double> ratios, costs;
    for (int i = 0; i < rounds; ++i) {
        const Figures bare = measure(false, connections), full = measure(true, connections);
        ratios.push_back(full.per_s / bare.per_s);
        costs.push_back(full.cpu_us / bare.cpu_us);
        auto tell = [](const char* name, const Figures& f) {
            fmt::print("{} {:.0f} jobs/s (median {:.0f} us, p99 {:.0f}; {:.1f} us of core a job); ", name, f.per_s,
                       f.median_us, f.p99_us, f.cpu_us);
        };
        fmt::print("round {}: ", i + 1);
        tell("pass-through", bare);
        tell("gateway", full);
        fmt::print("ratio {:.2f}\n", ratios.back());
        std::fflush(stdout);  // what is buffered would be printed by each forked part too
    }
    const Figures bare = measure(false, 1), full = measure(true, 1);
    fmt::print(
        "one client: pass-through median {:.0f} us, p99 {:.0f}; gateway median {:.0f} us, p99 {:.0f}; added {:.0f} and "
        "{:.0f}\n",
        bare.median_us, bare.p99_us, full.median_us, full.p99_us, full.median_us - bare.median_us,
        full.p99_us - bare.p99_us);
    std::fflush(stdout);
    std::sort(ratios.begin(), ratios.end());
    std::sort(costs.begin(), costs.end());
    fmt::print("gateway's core time a job, times the pass-through's: median {:.2f}\n", costs[costs.size() / 2]);
    fmt::print("gateway's throughput, of the pass-through's: median {:.2f}, from {:.2f} to {:.2f}\n",
               ratios[ratios.size() / 2], ratios.front(), ratios.back());
    std::fflush(stdout);
    fmt::print(
        "memory: an open job {:.1f} KB with its line to the invoker, a parked one {:.1f} KB (beside its connection)\n",
        kb_a_job(true, 1000), kb_a_job(false, 1000));
    return 0;
}
