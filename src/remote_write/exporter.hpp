/// Exports the process' metrics to remote write receivers, from a thread of its own: it scrapes, queues and sends.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "remote_write/sender.hpp"

namespace plumkeel::remote_write {

struct ExporterConfig {
    QueueConfig queue;                        ///< without a folder nothing is exported
    Time interval = std::chrono::seconds(5);  ///< between two scrapes
    /// How long the destructor waits for pending samples; the next run sends what is left.
    Time shutdown_timeout = std::chrono::seconds(2);
    std::vector<ReceiverConfig> receivers;
    std::string controller;  ///< label of the exporter's own metrics; empty: no such label
};

using MetricCollector = std::function<std::vector<prometheus::MetricFamily>()>;

class ExportWorker;

/// Its functions never wait for the exporter's thread, but for the destructor.
class Exporter {
public:
    /// `collect` and `listener` are invoked on the exporter's thread. Throws QueueError where the queue can't be used.
    Exporter(ExporterConfig config, MetricCollector collect, ExportListener listener);
    /// Ends all series with staleness markers, sends what it can within the shutdown timeout, and stops the thread.
    ~Exporter();
    Exporter(const Exporter&) = delete;

private:
    std::unique_ptr<ExportWorker> worker_;
    std::thread thread_;
};

}  // namespace plumkeel::remote_write
