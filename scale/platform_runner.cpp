#include "scale/platform_runner.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>

#include "emulator/protocol_bytes.hpp"
#include "scale/platform_config.hpp"
#include "scale/results.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t connections_per_client = 4;
constexpr net::Time ready_timeout = 30s, ready_poll_interval = 10ms;
constexpr net::Time settle_time = 3s;  // wait after a change of the load, before a measurement
constexpr net::Time outage_duration = 3s, reconnect_timeout = 30s, poll_interval = 5ms;
constexpr net::Time stop_timeout = 12s, stop_poll_interval = 20ms;
constexpr net::Time sending_margin = 100ms;  // clients keep sending this long after the measurement
constexpr net::Time invoker_run_time = 200ms;
constexpr double timed_out_ms = 1e9;  // reported for an event that did not happen before its timeout
constexpr int state_up = 0;

double seconds(net::Time duration) {
    return std::chrono::duration<double>(duration).count();
}

double milliseconds(net::Time duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

PlatformRunner::PlatformRunner(const PlatformCase& platform_case)
    : case_(platform_case),
      folder_(std::filesystem::temp_directory_path() / fmt::format("plumkeel-scale.{}", ::getpid())),
      discovery_(loop_, {"127.0.0.1", discovery_port}),
      invokers_(loop_, invoker_port, invoker_run_time),
      popularity_(platform_case.functions, platform_case.popularity_exponent) {
    std::filesystem::create_directories(folder_);
}

PlatformRunner::~PlatformRunner() {
    controllers_.clear();
    std::filesystem::remove_all(folder_);
}

std::vector<Measurement> PlatformRunner::run() {
    for (const net::Error error : {discovery_.open(), invokers_.open()})
        if (error) throw ResultsError("a stub of discovery or of the invokers can't listen: " + error.message());
    loop_.spawn(run_phases());
    loop_.run();
    if (!error_.empty()) throw ResultsError(error_);
    return measurements_;
}

net::Task<> PlatformRunner::run_phases() {
    co_await start_processes();
    if (error_.empty()) {
        co_await measure_idle();
        co_await measure_busy();
        co_await measure_change();
        co_await measure_burst();
        co_await measure_discovery_outage();
        co_await stop_processes();
    }
    loop_.stop();
}

void PlatformRunner::add_measurement(std::string metric, const char* unit, double value) {
    measurements_.push_back({std::move(metric), unit, value});
}

void PlatformRunner::add_distribution(const std::string& metric, std::vector<double> values_ms) {
    if (values_ms.empty()) return;
    std::sort(values_ms.begin(), values_ms.end());
    const auto quantile = [&](double fraction) {
        return values_ms[static_cast<std::size_t>(fraction * static_cast<double>(values_ms.size() - 1))];
    };
    add_measurement(metric + "_p50", "ms", quantile(0.5));
    add_measurement(metric + "_p99", "ms", quantile(0.99));
    add_measurement(metric + "_worst", "ms", quantile(1));
}

ProcessUsage PlatformRunner::mean_usage() const {
    ProcessUsage mean;
    const double process_count = static_cast<double>(controllers_.size());
    for (const auto& controller : controllers_) {
        const ProcessUsage usage = controller->usage();
        mean.processor_s += usage.processor_s / process_count;
        mean.resident_bytes += usage.resident_bytes / process_count;
    }
    return mean;
}

double PlatformRunner::mean_log_bytes() const {
    double sum = 0;
    for (const auto& controller : controllers_) sum += controller->log_bytes();
    return sum / static_cast<double>(controllers_.size());
}

PlatformRunner::InvokerCounts PlatformRunner::invoker_counts() const {
    return {invokers_.bytes(), invokers_.connections(), invokers_.runs(), invokers_.health_checks()};
}

// ---------------------------------------------------------------- start and stop

net::Task<> PlatformRunner::start_processes() {
    const net::Address discovery{"127.0.0.1", discovery_port};
    for (std::size_t i = 0; i < case_.watchers; ++i)
        watchers_.push_back(
            std::make_unique<WatcherStub>(loop_, discovery, case_.seed * 100'000 + i,
                                          [this](std::uint64_t event_number) { handle_change(event_number); }));
    net::Time slowest_start{};
    for (std::size_t i = 0; i < case_.processes; ++i) {
        const net::Address address{"127.0.0.1", static_cast<std::uint16_t>(first_controller_port + i)};
        clients_.push_back(std::make_unique<ClientStub>(loop_, address));
        const net::Time started_at = loop_.now();
        controllers_.push_back(std::make_unique<ControllerProcess>(case_, i, folder_));
        const bool ready = co_await wait_until_ready(i);
        if (!ready) co_return;
        slowest_start = std::max(slowest_start, loop_.now() - started_at);
    }
    add_measurement("start_to_ready", "s", seconds(slowest_start));
    add_measurement("configuration", "bytes", controllers_.front()->config_bytes());
    co_await loop_.sleep(settle_time);
}

net::Task<bool> PlatformRunner::wait_until_ready(std::size_t process) {
    const net::Time wait_started_at = loop_.now();
    while (!(co_await clients_[process]->is_healthy())) {
        if (!controllers_[process]->is_running() || loop_.now() - wait_started_at > ready_timeout) {
            error_ = fmt::format("controller process {} exited or did not become ready before the timeout", process);
            co_return false;
        }
        co_await loop_.sleep(ready_poll_interval);
    }
    co_return true;
}

net::Task<> PlatformRunner::stop_processes() {
    for (const auto& client : clients_) client->close();
    for (const auto& controller : controllers_) controller->terminate();
    const net::Time wait_started_at = loop_.now();
    const auto any_running = [&] {
        return std::any_of(controllers_.begin(), controllers_.end(),
                           [](const auto& controller) { return controller->is_running(); });
    };
    while (any_running() && loop_.now() - wait_started_at < stop_timeout) co_await loop_.sleep(stop_poll_interval);
}

// ---------------------------------------------------------------- measurements without and with requests

net::Task<> PlatformRunner::measure_idle() {
    const ProcessUsage before = mean_usage();
    const double log_bytes_before = mean_log_bytes();
    const InvokerCounts counts_before = invoker_counts();
    const std::uint64_t discovery_bytes_before = discovery_.bytes_sent();
    co_await loop_.sleep(case_.idle_duration);
    const ProcessUsage after = mean_usage();
    const double duration_s = seconds(case_.idle_duration);
    const double invoker_bytes = static_cast<double>(invoker_counts().bytes - counts_before.bytes);
    const double discovery_bytes = static_cast<double>(discovery_.bytes_sent() - discovery_bytes_before);
    add_measurement("idle_resident", "bytes", after.resident_bytes);
    add_measurement("idle_processor", "%", 100 * (after.processor_s - before.processor_s) / duration_s);
    add_measurement("idle_log", "bytes/s", (mean_log_bytes() - log_bytes_before) / duration_s);
    add_measurement("idle_invoker_bytes", "bytes/s", per_process(invoker_bytes) / duration_s);
    add_measurement("heartbeat_bytes_a_watcher", "bytes/s", discovery_bytes / duration_s / watcher_count());
}

net::Task<> PlatformRunner::send_requests(std::size_t process, net::Time sending_end) {
    constexpr std::uint64_t hash_multiplier = 0x9e3779b97f4a7c15ULL;  // distributes function names over all 64 bits
    Pcg random(case_.seed * 7919 + process);
    while (loop_.now() < sending_end) {
        clients_[process]->send_request(bytes::hex16(hash_multiplier * (popularity_.sample(random) + 1)));
        const double gap_s = -std::log(1 - random.next()) / case_.requests_per_s;
        co_await loop_.sleep(net::Time(static_cast<net::Time::rep>(gap_s * 1e6)));
    }
}

net::Task<> PlatformRunner::measure_busy() {
    const net::Time sending_end = loop_.now() + settle_time + case_.busy_duration;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        co_await clients_[i]->open(connections_per_client);
        loop_.spawn(send_requests(i, sending_end));
    }
    co_await loop_.sleep(settle_time);
    const ProcessUsage before = mean_usage();
    const double log_bytes_before = mean_log_bytes();
    const InvokerCounts counts_before = invoker_counts();
    const net::Time duration = case_.busy_duration - sending_margin;
    co_await loop_.sleep(duration);
    const double duration_s = seconds(duration);
    const ProcessUsage after = mean_usage();
    const InvokerCounts counts_after = invoker_counts();
    const auto rate_per_process = [&](std::uint64_t InvokerCounts::*count) {
        return per_process(static_cast<double>(counts_after.*count - counts_before.*count)) / duration_s;
    };
    add_measurement("busy_resident", "bytes", after.resident_bytes);
    add_measurement("busy_processor", "%", 100 * (after.processor_s - before.processor_s) / duration_s);
    add_measurement("busy_log", "bytes/s", (mean_log_bytes() - log_bytes_before) / duration_s);
    add_measurement("busy_invoker_bytes", "bytes/s", rate_per_process(&InvokerCounts::bytes));
    add_measurement("busy_connections", "1/s", rate_per_process(&InvokerCounts::connections));
    add_measurement("busy_attempts", "1/s", rate_per_process(&InvokerCounts::runs));
    add_measurement("busy_probes", "1/s", rate_per_process(&InvokerCounts::health_checks));
    co_await loop_.sleep(settle_time);
    add_client_measurements();
}

void PlatformRunner::add_client_measurements() {
    double sent = 0, served = 0, ended = 0, mean_ms = 0;
    for (const auto& client : clients_) {
        sent += static_cast<double>(client->sent());
        served += static_cast<double>(client->served());
        ended += static_cast<double>(client->ended());
        mean_ms += client->mean_latency_ms() / static_cast<double>(clients_.size());
    }
    add_measurement("calls", "count", sent);
    add_measurement("served", "%", 100 * served / std::max(1.0, sent));
    add_measurement("unanswered", "count", sent - ended);
    add_measurement("mean_answer", "ms", mean_ms);
}

// ---------------------------------------------------------------- changes of the endpoint list

// Returns the discovery row of an invoker that has just restarted at its address.
std::string PlatformRunner::restarted_invoker_row(std::size_t invoker) const {
    const auto started_unix_ms = static_cast<std::uint64_t>(loop_.wall_clock() / 1ms);
    return bytes::encode_endpoint(
        {static_cast<std::uint32_t>(invoker), invoker_host(invoker), invoker_port, state_up, started_unix_ms});
}

void PlatformRunner::handle_change(std::uint64_t event_number) {
    if (event_number == awaited_event_number_) watcher_delays_ms_.push_back(milliseconds(loop_.now() - published_at_));
}

net::Task<> PlatformRunner::wait_for_watchers(std::uint64_t event_number) {
    awaited_event_number_ = event_number;
    watcher_delays_ms_.clear();
    const net::Time wait_started_at = loop_.now();
    while (watcher_delays_ms_.size() < watchers_.size() && loop_.now() - wait_started_at < reconnect_timeout)
        co_await loop_.sleep(poll_interval);
}

net::Task<> PlatformRunner::measure_change() {
    const double published_unix_s = seconds(loop_.wall_clock());
    published_at_ = loop_.now();
    awaited_event_number_ = 0;
    const std::uint64_t event_number = discovery_.publish(restarted_invoker_row(0));
    co_await wait_for_watchers(event_number);
    add_distribution("one_change", watcher_delays_ms_);
    co_await loop_.sleep(settle_time / 2);
    double slowest_ms = 0;
    for (const auto& controller : controllers_) {
        const auto applied_unix_s = controller->applied_change_at(event_number);
        slowest_ms = std::max(slowest_ms, applied_unix_s ? (*applied_unix_s - published_unix_s) * 1000 : timed_out_ms);
    }
    add_measurement("one_change_in_force", "ms", slowest_ms);
}

net::Task<> PlatformRunner::measure_burst() {
    const ProcessUsage before = mean_usage();
    const std::uint64_t bytes_before = discovery_.bytes_sent();
    published_at_ = loop_.now();
    std::uint64_t last_event_number = 0;
    for (std::size_t i = 0; i < case_.changes; ++i)
        last_event_number = discovery_.publish(restarted_invoker_row(i % case_.invokers));
    co_await wait_for_watchers(last_event_number);
    add_distribution("burst", watcher_delays_ms_);
    co_await loop_.sleep(settle_time);
    const double changes = static_cast<double>(case_.changes);
    const double sent_bytes = static_cast<double>(discovery_.bytes_sent() - bytes_before);
    add_measurement("burst_processor_a_change", "us", 1e6 * (mean_usage().processor_s - before.processor_s) / changes);
    add_measurement("burst_bytes_a_watcher_a_change", "bytes", sent_bytes / (changes * watcher_count()));
}

net::Task<> PlatformRunner::measure_discovery_outage() {
    discovery_.close();
    co_await loop_.sleep(outage_duration);
    const std::uint64_t connections_before = discovery_.accepted_connections();
    if (const net::Error error = discovery_.open()) {
        error_ = "the stub of discovery can't listen again after the outage: " + error.message();
        co_return;
    }
    const net::Time restored_at = loop_.now();
    const auto all_reconnected = [&] {
        const std::uint64_t reconnected = discovery_.accepted_connections() - connections_before;
        return reconnected >= case_.processes + case_.watchers;
    };
    while (!all_reconnected() && loop_.now() - restored_at < reconnect_timeout) co_await loop_.sleep(poll_interval);
    add_measurement("reconnected_all", "ms",
                    all_reconnected() ? milliseconds(loop_.now() - restored_at) : timed_out_ms);
}

std::vector<Measurement> measure_platform(const PlatformCase& platform_case) {
    return PlatformRunner(platform_case).run();
}

}  // namespace plumkeel::scale
