// What measurements cost: a job's counting on the controller's thread, a scrape on the ship's, and what is stored
// and sent, by the number of series.
#include <fmt/format.h>
#include <snappy.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>

#include "metrics/gateway_metrics.hpp"
#include "remote_write/durable_queue.hpp"

using namespace plumkeel;
using Clock = std::chrono::steady_clock;

static double since(Clock::time_point from) {
    return std::chrono::duration<double>(Clock::now() - from).count();
}

static void count_jobs() {
    metrics::GatewayMetrics meters({}, "c");
    constexpr int requests = 1'000'000;
    std::vector<std::string> functions, tenants;
    for (int i = 0; i < 300; ++i) functions.push_back("function-" + std::to_string(i));
    for (int i = 0; i < 10; ++i) tenants.push_back("tenant-" + std::to_string(i));
    const auto from = Clock::now();
    for (int i = 0; i < requests; ++i) {
        const auto n = static_cast<std::size_t>(i);
        meters.request_received(false);
        meters.attempt_ended({AttemptOutcome::succeeded, LoadEvent::was_loaded, true, false, Time(100'000 + i % 5000)});
        meters.request_ended({"use", tenants[n % 10], functions[(n * n) % 300], RequestState::succeeded,
                              DecisionReason::response_received, false, Time(120'000), Time(500), 1});
        if (i % 100'000 == 0) meters.review();
    }
    fmt::print("counting a job: {:.0f} ns on the controller's thread\n", since(from) / requests * 1e9);
}

static void ship(int series, int parts) {
    const std::string folder =
        std::filesystem::temp_directory_path() / ("plumkeel-spool-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    remote_write::QueueConfig rules;
    rules.folder = folder;
    rules.shards = parts;
    rules.max_bytes = 1 << 30;
    remote_write::DurableQueue spool(rules, {"r"});
    remote_write::SeriesEncoder scraper(parts);
    std::vector<remote_write::Sample> samples;
    for (int i = 0; i < series; ++i)
        samples.push_back({{{"__name__", "plumkeel_jobs_total"},
                            {"controller", "c1"},
                            {"function", "function-" + std::to_string(i)},
                            {"outcome", "honoured"},
                            {"tenant", "tenant-" + std::to_string(i % 50)}},
                           0});
    double scraping = 0, storing = 0, packing = 0;
    std::uint64_t wire = 0, sent = 0;
    constexpr int scrapes = 10;
    for (int scrape = 1; scrape <= scrapes; ++scrape) {
        for (int i = 0; i < series; ++i) samples[static_cast<std::size_t>(i)].value += i % 7;
        auto from = Clock::now();
        const auto made = scraper.encode(samples, 1'700'000'000'000 + scrape * 5000);
        scraping += since(from);
        from = Clock::now();
        spool.append(1'700'000'000'000 + scrape * 5000, made);
        storing += since(from);
        from = Clock::now();
        for (int part = 0; part < parts; ++part) {
            const auto batch = spool.read("r", part, 1);
            std::string body;
            snappy::Compress(batch.bytes.data(), batch.bytes.size(), &body);
            wire += body.size();
            sent += batch.samples;
            spool.advance("r", part, batch.next);
        }
        packing += since(from);
    }
    const double all = static_cast<double>(series) * scrapes;
    fmt::print("{:>8} {:>6} {:>14.0f} {:>14.0f} {:>14.0f} {:>16.0f} {:>12.1f} {:>10}\n", series, parts,
               scraping / all * 1e9, storing / all * 1e9, packing / all * 1e9, all / (scraping + storing + packing),
               static_cast<double>(wire) / static_cast<double>(sent),
               sent == static_cast<std::uint64_t>(all) ? "yes" : "NO");
    std::filesystem::remove_all(folder);
}

int main() {
    count_jobs();
    fmt::print("{:>8} {:>6} {:>14} {:>14} {:>14} {:>16} {:>12} {:>10}\n", "series", "parts", "scrape ns", "store ns",
               "pack ns", "samples/s, core", "bytes sent", "all there");
    ship(1'000, 4);
    ship(10'000, 8);
    ship(100'000, 50);
    return 0;
}
