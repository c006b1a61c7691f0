/// Scrapes the metrics, queues the samples and sends them; runs on the exporter's thread. Private to the package.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/socket_event_loop.hpp"
#include "remote_write/exporter.hpp"
#include "remote_write/sample_clock.hpp"

namespace plumkeel::remote_write {

class ExportWorker {
public:
    ExportWorker(ExporterConfig config, MetricCollector collect, ExportListener listener);

    /// Runs the event loop; returns once a requested stop is complete.
    void run();
    /// Ends all series with staleness markers, waits until all samples are sent or the shutdown timeout has passed,
    /// then makes run() return. May be called on any thread.
    void request_stop();

private:
    std::vector<std::string> receiver_names() const;
    net::Task<> scrape_loop();
    void scrape();
    void append(std::int64_t timestamp_ms, const std::vector<Shard>& shards);
    void notify_senders(double inflow);
    void append_own_metrics(std::vector<Sample>& samples) const;
    void stop();
    void stop_when_sent(Time deadline);

    const ExporterConfig config_;
    const MetricCollector collect_;
    const ExportListener listener_;
    DurableQueue queue_;
    SeriesEncoder encoder_;
    std::uint64_t unqueued_samples_{};  // number of samples lost because append() failed
    bool stopping_{}, queue_failed_{};
    net::SocketEventLoop loop_;
    SampleClock clock_;
    std::vector<std::unique_ptr<Sender>> senders_;  // destroyed before loop_, which no longer runs
                                                    // their coroutines then
};

}  // namespace plumkeel::remote_write
