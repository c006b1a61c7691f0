/// plumkeel-shipping-cost: measures the costs of metrics: counting a request on the controller's thread, and encoding,
/// storing and sending a scrape on the exporter's thread, by number of series.
#include <fmt/format.h>
#include <snappy.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>

#include "metrics/gateway_metrics.hpp"
#include "remote_write/durable_queue.hpp"

namespace {

using namespace plumkeel;
using Clock = std::chrono::steady_clock;

constexpr std::int64_t first_scrape_ms = 1'700'000'000'000, scrape_interval_ms = 5000;
constexpr int scrape_count = 10;

double seconds_since(Clock::time_point begin) {
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

std::vector<std::string> numbered_names(const char* prefix, int count) {
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) names.push_back(prefix + std::to_string(i));
    return names;
}

void measure_counting() {
    constexpr int request_count = 1'000'000, requests_per_name_update = 100'000;
    const auto functions = numbered_names("function-", 300), tenants = numbered_names("tenant-", 10);
    metrics::GatewayMetrics gateway_metrics({}, "c");
    const auto begin = Clock::now();
    for (int i = 0; i < request_count; ++i) {
        const auto request_index = static_cast<std::size_t>(i);
        gateway_metrics.request_received(false);
        gateway_metrics.attempt_ended(
            {AttemptOutcome::succeeded, LoadEvent::was_loaded, true, false, Time(100'000 + i % 5000)});
        gateway_metrics.request_ended({"use", tenants[request_index % tenants.size()],
                                       functions[(request_index * request_index) % functions.size()],
                                       RequestState::succeeded, DecisionReason::response_received, false, Time(120'000),
                                       Time(500), 1});
        if (i % requests_per_name_update == 0) gateway_metrics.update_reported_names();
    }
    fmt::print("counting a request: {:.0f} ns on the controller's thread\n",
               seconds_since(begin) / request_count * 1e9);
}

std::vector<remote_write::Sample> make_samples(int series_count) {
    std::vector<remote_write::Sample> samples;
    for (int i = 0; i < series_count; ++i)
        samples.push_back({{{"__name__", "plumkeel_jobs_total"},
                            {"controller", "c1"},
                            {"function", "function-" + std::to_string(i)},
                            {"outcome", "honoured"},
                            {"tenant", "tenant-" + std::to_string(i % 50)}},
                           0});
    return samples;
}

/// Totals of all scrapes.
struct ExportCost {
    double encode_s{}, store_s{}, send_s{};
    std::uint64_t sent_bytes{}, sent_samples{};
};

// Reads and compresses the samples that a scrape stored, and removes them from the queue. Sends nothing.
void send_stored_samples(remote_write::DurableQueue& queue, int shard_count, ExportCost& cost) {
    for (int shard = 0; shard < shard_count; ++shard) {
        const auto batch = queue.read("r", shard, 1);
        std::string body;
        snappy::Compress(batch.bytes.data(), batch.bytes.size(), &body);
        cost.sent_bytes += body.size();
        cost.sent_samples += batch.samples;
        queue.advance("r", shard, batch.next);
    }
}

ExportCost run_scrapes(remote_write::DurableQueue& queue, int series_count, int shard_count) {
    remote_write::SeriesEncoder encoder(shard_count);
    std::vector<remote_write::Sample> samples = make_samples(series_count);
    ExportCost cost;
    for (int scrape = 1; scrape <= scrape_count; ++scrape) {
        for (int i = 0; i < series_count; ++i) samples[static_cast<std::size_t>(i)].value += i % 7;
        const std::int64_t scraped_at_ms = first_scrape_ms + scrape * scrape_interval_ms;
        auto begin = Clock::now();
        const auto encoded = encoder.encode(samples, scraped_at_ms);
        cost.encode_s += seconds_since(begin);
        begin = Clock::now();
        queue.append(scraped_at_ms, encoded);
        cost.store_s += seconds_since(begin);
        begin = Clock::now();
        send_stored_samples(queue, shard_count, cost);
        cost.send_s += seconds_since(begin);
    }
    return cost;
}

void measure_export(int series_count, int shard_count) {
    const std::string folder =
        std::filesystem::temp_directory_path() / ("plumkeel-queue-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    remote_write::QueueConfig config;
    config.folder = folder;
    config.shards = shard_count;
    config.max_bytes = 1 << 30;
    remote_write::DurableQueue queue(config, {"r"});
    const ExportCost cost = run_scrapes(queue, series_count, shard_count);
    const double sample_count = static_cast<double>(series_count) * scrape_count;
    fmt::print("{:>8} {:>6} {:>14.0f} {:>14.0f} {:>14.0f} {:>16.0f} {:>12.1f} {:>10}\n", series_count, shard_count,
               cost.encode_s / sample_count * 1e9, cost.store_s / sample_count * 1e9, cost.send_s / sample_count * 1e9,
               sample_count / (cost.encode_s + cost.store_s + cost.send_s),
               static_cast<double>(cost.sent_bytes) / static_cast<double>(cost.sent_samples),
               cost.sent_samples == static_cast<std::uint64_t>(sample_count) ? "yes" : "NO");
    std::filesystem::remove_all(folder);
}

}  // namespace

int main() {
    measure_counting();
    fmt::print("{:>8} {:>6} {:>14} {:>14} {:>14} {:>16} {:>12} {:>10}\n", "series", "shards", "encode ns", "store ns",
               "send ns", "samples/s, core", "bytes/sample", "all sent");
    measure_export(1'000, 4);
    measure_export(10'000, 8);
    measure_export(100'000, 50);
    return 0;
}
