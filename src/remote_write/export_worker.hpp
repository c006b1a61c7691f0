/// What runs on the exporter's thread: scrapes, the queue and the senders. Private to the package.
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

    /// Runs until a stop is complete.
    void run();
    /// From any thread: ends all series, waits for pending samples up to the shutdown timeout, then stops.
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
    std::uint64_t unqueued_samples_{};  // lost since the queue did not take them
    bool stopping_{}, queue_failed_{};
    net::SocketEventLoop loop_;
    SampleClock clock_;
    std::vector<std::unique_ptr<Sender>> senders_;  // the loop, which owns their coroutines, does not run any more
                                                    // when they are destroyed
};

}  // namespace plumkeel::remote_write
