/// Sends samples from the queue to one receiver by the Prometheus remote write protocol 1.0.
///
/// Each shard has a coroutine and at most one batch in flight, so that the samples of a series arrive in order.
/// SendController decides when a batch is sent and how large it is.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/event_loop.hpp"
#include "net/notification.hpp"
#include "remote_write/durable_queue.hpp"
#include "remote_write/export_event.hpp"
#include "remote_write/send_controller.hpp"

namespace plumkeel::remote_write {

struct ReceiverConfig {
    std::string name;  ///< the queue stores the receiver's positions under this name
    std::string address, path = "/api/v1/write";
    std::string bearer;                       ///< bearer token of the Authorization header; empty: no such header
    Time timeout = std::chrono::seconds(10);  ///< from connecting to the complete response
    SendControlConfig send_control;
};

struct SenderCounters {
    std::uint64_t accepted{}, rejected{};  ///< numbers of samples
    std::uint64_t resent{};                ///< samples in batches that failed and are sent again
    std::uint64_t batches{};               ///< batches sent, with any result
    std::uint64_t failures{};              ///< batches that failed and are sent again
    std::uint64_t wire_bytes{};            ///< size of the compressed request bodies sent
};

/// Its coroutines refer to this object until the event loop stops, so it must be destroyed after that.
class Sender {
public:
    Sender(net::EventLoop& loop, ReceiverConfig config, DurableQueue& queue, int shards, std::uint64_t seed,
           ExportListener listener);

    void start();
    /// To be called after samples were appended to the queue; `inflow` is the rate of new samples per second.
    void notify(double inflow);
    const SenderCounters& counters() const { return counters_; }
    const std::string& name() const { return config_.name; }

private:
    net::Task<> run_shard(int shard);
    net::Task<> send_batch(int shard, const DurableQueue::Batch& batch);
    DurableQueue::Batch next_batch(int shard, std::size_t max_samples);
    void advance(int shard, std::uint64_t position);
    void record_result(SendResult result, int shard, const DurableQueue::Batch& batch);
    void on_queue_error(const QueueError& error);
    net::Task<SendResult> post(const DurableQueue::Batch& batch, std::optional<Time>& retry_after);
    std::string request_head(std::size_t body_bytes) const;
    void report(SendResult result, const std::string& detail);

    net::EventLoop& loop_;
    const ReceiverConfig config_;
    DurableQueue& queue_;
    const int shards_;
    SendController send_controller_;
    const ExportListener listener_;
    net::Notification samples_available_;
    double inflow_{};
    SenderCounters counters_;
    std::string last_failure_;  // detail of the last reported failure; empty while the receiver accepts
    bool queue_failed_{};
};

}  // namespace plumkeel::remote_write
