#include "scale/platform_run.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <boost/process.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>

#include "emulator/protocol_bytes.hpp"
#include "net/socket_event_loop.hpp"
#include "scale/hollow_peers.hpp"
#include "scale/popularity.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;
namespace process = boost::process;

constexpr std::uint16_t first_port = 17100, discovery_port = 17001, invoker_port = 17002;
constexpr std::size_t client_connections = 4, descriptors_of_a_process = 600, memory_of_a_process_mb = 2048;
constexpr net::Time ready_limit = 30s, ready_poll = 10ms, settle = 3s, outage = 3s, reconnect_limit = 30s,
                    end_limit = 12s;
constexpr net::Time invoker_run = 200ms;
constexpr double units_per_invoker = 5;

// 127.1.0.1 and on: all of 127.0.0.0/8 is loopback.
std::string invoker_host(std::size_t number) {
    const std::size_t at = number + 1;
    return fmt::format("127.{}.{}.{}", 1 + at / 65536, at / 256 % 256, at % 256);
}

json::object settings() {
    json::array zones;
    for (int i = 0; i < 27; ++i) zones.push_back(json::string(fmt::format("z{}", i)));
    return {{"areas", zones},
            {"kinds", {"k"}},
            {"fleet_size", 7100},
            {"discovery", "automatic"},
            {"weight_source", "nominal"},
            {"quantum", 1.0},
            {"classes",
             {{{"name", "preview"},
               {"aim", 1800.0},
               {"deadline", 5000.0},
               {"semantics", "retryable"},
               {"group", "all"},
               {"repeat_window", 5000.0}}}},
            {"realms", {{{"name", "acme"}, {"quota_per_s", 1e6}}}},
            {"report", {{"fields", {"active", "waiting"}}, {"how", "pull"}}},
            {"rules",
             {{"cold", 20000.0},
              {"cold_share", 0.25},
              {"fall_multiple", 2.0},
              {"overload_for", 1000.0},
              {"stop_sending_within", 2000.0}}},
            {"family_info",
             {{"if_cold", "load"},
              {"linger_idle", 60000.0},
              {"may_order", false},
              {"says_company", true},
              {"answer_within", 4000.0}}},
            {"limits",
             {{"may_cancel", true},
              {"probes", true},
              {"second_copies", true},
              {"retry_after", true},
              {"send_cap", 5},
              {"max_retry_after", 2000.0},
              {"connect_timeout", 250.0},
              {"conn_idle", 30000.0},
              {"streams_per_conn", 32}}},
            {"charges", {{"probe", 0.0}}}};
}

std::string configuration(const PlatformCase& of, std::size_t number) {
    json::array targets;
    for (std::size_t i = 0; i < of.invokers; ++i)
        targets.push_back({{"uid", fmt::format("s-{:08x}", i)},
                           {"endpoint", fmt::format("{}:{}", invoker_host(i), invoker_port)},
                           {"az", fmt::format("z{}", i % 27)},
                           {"model", "k"},
                           {"pod_group", i},
                           {"state", "up"},
                           {"capacity_hint", units_per_invoker},
                           {"boot_ms", 0}});
    const json::object known{{"rev", 1},
                             {"notices", {{{"rev", 1}, {"pool", {{"rev", 1}, {"all", true}, {"targets", targets}}}}}}};
    return json::serialize(json::object{
        {"name", fmt::format("n{}", number)},
        {"listen", fmt::format("127.0.0.1:{}", first_port + number)},
        {"seed", fmt::format("{:016x}", of.seed * 1000 + number)},
        {"board", fmt::format("127.0.0.1:{}", discovery_port)},
        {"limits", {{"cores", 1.0}, {"memory_mb", memory_of_a_process_mb}, {"sockets", descriptors_of_a_process}}},
        {"known", known},
        {"settings", settings()}});
}

struct ProcessUse {
    double processor_s{}, resident_bytes{};
};

ProcessUse use_of(int pid) {
    ProcessUse out;
    std::string text;
    std::getline(std::ifstream(fmt::format("/proc/{}/stat", pid)), text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
    std::string skipped;
    for (int i = 0; i < 11; ++i) fields >> skipped;
    double user = 0, system = 0, pages = 0;
    fields >> user >> system;
    out.processor_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream(fmt::format("/proc/{}/statm", pid)) >> pages >> pages;
    out.resident_bytes = pages * static_cast<double>(sysconf(_SC_PAGE_SIZE));
    return out;
}

// One real process with its files in a folder of the run.
class RealController {
public:
    RealController(const PlatformCase& of, std::size_t number, const std::filesystem::path& folder)
        : log_(folder / fmt::format("n{}.log", number)) {
        const auto config = folder / fmt::format("n{}.json", number);
        std::ofstream(config) << configuration(of, number);
        process::environment environment = boost::this_process::environment();
        environment["EDGE_NAME"] = fmt::format("n{}", number);
        environment["EDGE_LISTEN"] = fmt::format("127.0.0.1:{}", first_port + number);
        environment["EDGE_CONFIG"] = config.string();
        child_ = process::child(of.program, "platform", environment, process::std_err > log_.string(),
                                process::std_out > process::null, process::limit_handles);
    }
    ~RealController() {
        if (child_.running()) child_.terminate();
    }
    int pid() const { return child_.id(); }
    bool running() { return child_.running(); }
    void ask_to_end() { ::kill(child_.id(), SIGTERM); }
    double log_bytes() const { return static_cast<double>(std::filesystem::file_size(log_)); }

    // When it wrote that it took this change of the list, since the Unix epoch.
    std::optional<double> took_change(std::uint64_t number) const {
        std::ifstream in(log_);
        for (std::string line; std::getline(in, line);) {
            if (line.find("\"endpoints_updated\"") == std::string::npos) continue;
            const json::object told = json::parse(line).as_object();
            if (told.at("event").to_number<std::uint64_t>() == number) return told.at("at").to_number<double>();
        }
        return std::nullopt;
    }

private:
    const std::filesystem::path log_;
    process::child child_;
};

class PlatformRun {
public:
    explicit PlatformRun(const PlatformCase& of)
        : case_(of),
          folder_(std::filesystem::temp_directory_path() / fmt::format("plumkeel-scale.{}", ::getpid())),
          discovery_(loop_, {"127.0.0.1", discovery_port}),
          invokers_(loop_, invoker_port, invoker_run),
          popularity_(of.functions, of.exponent) {
        std::filesystem::create_directories(folder_);
    }
    ~PlatformRun() {
        controllers_.clear();
        std::filesystem::remove_all(folder_);
    }

    std::vector<Measured> play() {
        for (const net::Error error : {discovery_.open(), invokers_.open()})
            if (error) throw ResultsFault("a hollow peer can't listen: " + error.message());
        loop_.spawn(script());
        loop_.run();
        if (!fault_.empty()) throw ResultsFault(fault_);
        return measured_;
    }

private:
    net::Task<> script() {
        co_await start();
        if (fault_.empty()) {
            co_await idle();
            co_await busy();
            co_await changes();
            co_await outage_of_discovery();
            co_await end();
        }
        loop_.stop();
    }

    void note(const char* metric, const char* unit, double value) { measured_.push_back({metric, unit, value}); }

    ProcessUse use() const {
        ProcessUse out;
        for (const auto& controller : controllers_) {
            const ProcessUse one = use_of(controller->pid());
            out.processor_s += one.processor_s / static_cast<double>(controllers_.size());
            out.resident_bytes += one.resident_bytes / static_cast<double>(controllers_.size());
        }
        return out;
    }
    double log_bytes() const {
        double sum = 0;
        for (const auto& controller : controllers_) sum += controller->log_bytes();
        return sum / static_cast<double>(controllers_.size());
    }
    double per_process(double all) const { return all / static_cast<double>(case_.processes); }

    net::Task<> start() {
        for (std::size_t i = 0; i < case_.watchers; ++i)
            watchers_.push_back(std::make_unique<HollowWatcher>(loop_, net::Address{"127.0.0.1", discovery_port},
                                                                case_.seed * 100'000 + i,
                                                                [this](std::uint64_t number) { heard(number); }));
        double slowest = 0;
        for (std::size_t i = 0; i < case_.processes; ++i) {
            clients_.push_back(std::make_unique<HollowClient>(
                loop_, net::Address{"127.0.0.1", static_cast<std::uint16_t>(first_port + i)}));
            const net::Time begun = loop_.now();
            controllers_.push_back(std::make_unique<RealController>(case_, i, folder_));
            while (!(co_await clients_.back()->healthy())) {
                if (!controllers_.back()->running() || loop_.now() - begun > ready_limit) {
                    fault_ = fmt::format("controller {} did not become ready", i);
                    co_return;
                }
                co_await loop_.sleep(ready_poll);
            }
            slowest = std::max(slowest, std::chrono::duration<double>(loop_.now() - begun).count());
        }
        note("start_to_ready", "s", slowest);
        note("configuration", "bytes", static_cast<double>(std::filesystem::file_size(folder_ / "n0.json")));
        co_await loop_.sleep(settle);
    }

    net::Task<> idle() {
        const ProcessUse before = use();
        const double log_before = log_bytes();
        const double probes_before = static_cast<double>(invokers_.bytes());
        const double told_before = static_cast<double>(discovery_.bytes_sent());
        co_await loop_.sleep(case_.idle);
        const ProcessUse after = use();
        const double span = std::chrono::duration<double>(case_.idle).count();
        note("idle_resident", "bytes", after.resident_bytes);
        note("idle_processor", "%", 100 * (after.processor_s - before.processor_s) / span);
        note("idle_log", "bytes/s", (log_bytes() - log_before) / span);
        note("idle_invoker_bytes", "bytes/s",
             per_process(static_cast<double>(invokers_.bytes()) - probes_before) / span);
        const double watching = static_cast<double>(case_.processes + case_.watchers);
        note("heartbeat_bytes_a_watcher", "bytes/s",
             (static_cast<double>(discovery_.bytes_sent()) - told_before) / span / watching);
    }

    net::Task<> calls(std::size_t process, net::Time until) {
        Pcg random(case_.seed * 7919 + process);
        while (loop_.now() < until) {
            clients_[process]->call(bytes::hex16(0x9e3779b97f4a7c15ULL * (popularity_.sample(random) + 1)));
            co_await loop_.sleep(
                net::Time(static_cast<net::Time::rep>(-std::log(1 - random.next()) / case_.calls_per_s * 1e6)));
        }
    }

    net::Task<> busy() {
        const net::Time until = loop_.now() + settle + case_.busy;
        for (std::size_t i = 0; i < clients_.size(); ++i) {
            co_await clients_[i]->open(client_connections);
            loop_.spawn(calls(i, until));
        }
        co_await loop_.sleep(settle);
        const ProcessUse before = use();
        const double log_before = log_bytes();
        const auto bytes_before = invokers_.bytes(), connections_before = invokers_.connections(),
                   runs_before = invokers_.runs(), probes_before = invokers_.probes();
        co_await loop_.sleep(case_.busy - 100ms);
        const double span = std::chrono::duration<double>(case_.busy - 100ms).count();
        const ProcessUse after = use();
        note("busy_resident", "bytes", after.resident_bytes);
        note("busy_processor", "%", 100 * (after.processor_s - before.processor_s) / span);
        note("busy_log", "bytes/s", (log_bytes() - log_before) / span);
        note("busy_invoker_bytes", "bytes/s",
             per_process(static_cast<double>(invokers_.bytes() - bytes_before)) / span);
        note("busy_connections", "1/s",
             per_process(static_cast<double>(invokers_.connections() - connections_before)) / span);
        note("busy_attempts", "1/s", per_process(static_cast<double>(invokers_.runs() - runs_before)) / span);
        note("busy_probes", "1/s", per_process(static_cast<double>(invokers_.probes() - probes_before)) / span);
        co_await loop_.sleep(settle);
        double sent = 0, served = 0, ended = 0, mean = 0;
        for (const auto& client : clients_) {
            sent += static_cast<double>(client->sent());
            served += static_cast<double>(client->served());
            ended += static_cast<double>(client->ended());
            mean += client->mean_ms() / static_cast<double>(clients_.size());
        }
        note("calls", "count", sent);
        note("served", "%", 100 * served / std::max(1.0, sent));
        note("unanswered", "count", sent - ended);
        note("mean_answer", "ms", mean);
    }

    // A record of one invoker that has started anew under its address.
    std::string record(std::size_t number) const {
        const auto started = static_cast<std::uint64_t>(loop_.wall_clock() / 1ms);
        return bytes::row({static_cast<std::uint32_t>(number), invoker_host(number), invoker_port, 0, started});
    }

    void heard(std::uint64_t number) {
        if (number == awaited_)
            heard_after_.push_back(std::chrono::duration<double, std::milli>(loop_.now() - told_).count());
    }

    net::Task<> await_watchers(std::uint64_t number) {
        awaited_ = number;
        heard_after_.clear();
        const net::Time begun = loop_.now();
        while (heard_after_.size() < watchers_.size() && loop_.now() - begun < reconnect_limit)
            co_await loop_.sleep(5ms);
    }

    void note_spread(const char* what, std::vector<double> values) {
        if (values.empty()) return;
        std::sort(values.begin(), values.end());
        const auto part = [&](double p) {
            return values[static_cast<std::size_t>(p * static_cast<double>(values.size() - 1))];
        };
        measured_.push_back({fmt::format("{}_p50", what), "ms", part(0.5)});
        measured_.push_back({fmt::format("{}_p99", what), "ms", part(0.99)});
        measured_.push_back({fmt::format("{}_worst", what), "ms", part(1)});
    }

    net::Task<> changes() {
        const double wall_told = std::chrono::duration<double>(loop_.wall_clock()).count();
        told_ = loop_.now();
        awaited_ = 0;
        const std::uint64_t single = discovery_.tell(record(0));
        co_await await_watchers(single);
        note_spread("one_change", heard_after_);
        co_await loop_.sleep(settle / 2);
        double in_force = 0;
        for (const auto& controller : controllers_) {
            const auto took = controller->took_change(single);
            in_force = std::max(in_force, took ? (*took - wall_told) * 1000 : 1e9);
        }
        note("one_change_in_force", "ms", in_force);

        const ProcessUse before = use();
        const auto bytes_before = discovery_.bytes_sent();
        told_ = loop_.now();
        std::uint64_t last = 0;
        for (std::size_t i = 0; i < case_.changes; ++i) last = discovery_.tell(record(i % case_.invokers));
        co_await await_watchers(last);
        note_spread("burst", heard_after_);
        co_await loop_.sleep(settle);
        note("burst_processor_a_change", "us",
             1e6 * (use().processor_s - before.processor_s) / static_cast<double>(case_.changes));
        note("burst_bytes_a_watcher_a_change", "bytes",
             static_cast<double>(discovery_.bytes_sent() - bytes_before) /
                 static_cast<double>(case_.changes * (case_.processes + case_.watchers)));
    }

    net::Task<> outage_of_discovery() {
        discovery_.vanish();
        co_await loop_.sleep(outage);
        const auto connections_before = discovery_.connections();
        if (const net::Error error = discovery_.open()) {
            fault_ = "discovery can't listen again: " + error.message();
            co_return;
        }
        const net::Time back = loop_.now();
        const auto all = [&] {
            return discovery_.connections() - connections_before >= case_.processes + case_.watchers;
        };
        while (!all() && loop_.now() - back < reconnect_limit) co_await loop_.sleep(5ms);
        note("reconnected_all", "ms",
             all() ? std::chrono::duration<double, std::milli>(loop_.now() - back).count() : 1e9);
    }

    net::Task<> end() {
        for (const auto& client : clients_) client->close();
        for (const auto& controller : controllers_) controller->ask_to_end();
        const net::Time begun = loop_.now();
        const auto any_running = [&] {
            return std::any_of(controllers_.begin(), controllers_.end(), [](const auto& it) { return it->running(); });
        };
        while (any_running() && loop_.now() - begun < end_limit) co_await loop_.sleep(20ms);
    }

    const PlatformCase case_;
    const std::filesystem::path folder_;
    net::SocketEventLoop loop_;
    HollowDiscovery discovery_;
    HollowInvokers invokers_;
    const Popularity popularity_;
    std::vector<std::unique_ptr<HollowWatcher>> watchers_;
    std::vector<std::unique_ptr<HollowClient>> clients_;
    std::vector<std::unique_ptr<RealController>> controllers_;
    std::vector<Measured> measured_;
    std::vector<double> heard_after_;  // milliseconds after `told_`, by watcher
    std::uint64_t awaited_{};
    net::Time told_{};
    std::string fault_;
};

}  // namespace

std::vector<Measured> measure_platform(const PlatformCase& of) {
    return PlatformRun(of).play();
}

}  // namespace plumkeel::scale
