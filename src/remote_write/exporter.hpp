/// Exports the metrics of this process to remote write receivers, on a separate thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "remote_write/sender.hpp"

namespace plumkeel::remote_write {

struct ExporterConfig {
    QueueConfig queue;                        ///< if its folder is empty, nothing is exported
    Time interval = std::chrono::seconds(5);  ///< time between two scrapes
    /// How long the destructor waits until pending samples are sent; the next run sends the remaining ones.
    Time shutdown_timeout = std::chrono::seconds(2);
    std::vector<ReceiverConfig> receivers;
    std::string controller;  ///< label of the exporter's own metrics; empty: no such label
};

using MetricCollector = std::function<std::vector<prometheus::MetricFamily>()>;

class ExportWorker;

/// Owns the exporter's thread. Only the destructor waits for that thread.
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
