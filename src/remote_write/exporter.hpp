// Ships a controller's measurements to its receivers from a thread of its own: scrape, spool, senders. The
// controller's thread is never waited for, and never waits.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "remote_write/sender.hpp"

namespace plumkeel::remote_write {

struct ExporterConfig {
    QueueConfig queue;                        // without a folder nothing is shipped
    Time interval = std::chrono::seconds(5);  // between two scrapes
    Time shutdown_timeout =
        std::chrono::seconds(2);  // at the end, for what still waits; the rest goes at the next start
    std::vector<ReceiverConfig> receivers;
    std::string controller;  // a label of what the ship tells of itself
};

class Exporter {
public:
    using Collect = std::function<std::vector<prometheus::MetricFamily>()>;
    // `collect` and `notice` are invoked on the ship's thread. Throws SpoolFault where the spool can't be used.
    Exporter(ExporterConfig rules, Collect collect, Sender::Notice notice);
    ~Exporter();  // marks all series as ended, then ends
    Exporter(const Exporter&) = delete;

private:
    struct Worker;
    std::unique_ptr<Worker> worker_;
    std::thread thread_;
};

}  // namespace plumkeel::remote_write
