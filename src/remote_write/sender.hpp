// Sends what the spool holds to one receiver by the remote write protocol 1.0: a lane a part of the series, at
// most one batch of a part on its way, so that every series arrives in order. When and how much is the Pacer's.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.hpp"
#include "remote_write/durable_queue.hpp"
#include "remote_write/send_controller.hpp"

namespace plumkeel::remote_write {

struct ReceiverConfig {
    std::string name;  // under which its place is kept
    std::string address, path = "/api/v1/write";
    std::string bearer;                       // sent as its token; empty: none
    Time timeout = std::chrono::seconds(10);  // for a whole answer
    SendControlConfig send_control;
};

struct SenderCounters {
    std::uint64_t accepted{}, rejected{},
        resent{};  // samples; again: sent once more, since it was not taken or not known
    std::uint64_t batches{}, failures{};
    std::uint64_t wire_bytes{};  // bodies sent, packed
};

class Sender {
public:
    // `notice` is told in words what a person should know, once for each turn of events.
    using Notice = std::function<void(const std::string& kind, const std::string& what)>;
    Sender(net::EventLoop& loop, ReceiverConfig rules, DurableQueue& spool, int parts, std::uint64_t seed,
           Notice notice);

    void start();
    // Samples were appended; `inflow` is what comes in a second.
    void notify(double inflow);
    const SenderCounters& counts() const { return counts_; }
    const std::string& name() const { return config_.name; }

private:
    net::Task<> run_shard(int part);
    DurableQueue::Batch next(int part, std::size_t most);
    void advance(int part, std::uint64_t place);
    void on_queue_error(const QueueError& fault);
    net::Task<SendResult> send(const DurableQueue::Batch& batch, std::optional<Time>& retry_after);
    void log_result(SendResult heard, const std::string& what);

    net::EventLoop& loop_;
    const ReceiverConfig config_;
    DurableQueue& queue_;
    const int shards_;
    SendController send_controller_;
    Notice notice_;
    net::Notification samples_available_;
    double inflow_{};
    SenderCounters counts_;
    std::string last_failure_;
    bool queue_failed_{};
};

}  // namespace plumkeel::remote_write
