#include "remote_write/sender.hpp"

#include <fmt/format.h>
#include <snappy.h>

#include <utility>

#include "http/exchange.hpp"

namespace plumkeel::remote_write {
namespace {

constexpr std::size_t max_response_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_reported_response_bytes = 200;
constexpr Time min_sleep{1};
constexpr unsigned too_many_requests = 429;

SendResult result_for_status(unsigned status) {
    if (status / 100 == 2) return SendResult::accepted;
    if (status / 100 == 5 || status == too_many_requests) return SendResult::retryable;
    return SendResult::rejected;
}

ExportEvent event_for(SendResult result) {
    switch (result) {
        case SendResult::accepted:
            return ExportEvent::receiver_accepting;
        case SendResult::retryable:
            return ExportEvent::receiver_unavailable;
        case SendResult::rejected:
            return ExportEvent::receiver_rejecting;
        case SendResult::unknown:
            break;
    }
    return ExportEvent::receiver_unresponsive;
}

}  // namespace

Sender::Sender(net::EventLoop& loop, ReceiverConfig config, DurableQueue& queue, int shards, std::uint64_t seed,
               ExportListener listener)
    : loop_(loop),
      config_(std::move(config)),
      queue_(queue),
      shards_(shards),
      send_controller_(config_.send_control, seed),
      listener_(std::move(listener)),
      samples_available_(loop) {}

void Sender::start() {
    for (int shard = 0; shard < shards_; ++shard) loop_.spawn(run_shard(shard));
}

void Sender::notify(double inflow) {
    inflow_ = inflow;
    samples_available_.notify();
}

net::Task<> Sender::run_shard(int shard) {
    for (;;) {
        const SendController::Permit permit = send_controller_.request_permit(loop_.now(), inflow_);
        if (permit.samples == 0 && permit.retry_at != Time::max()) {
            co_await loop_.sleep(std::max(permit.retry_at - loop_.now(), min_sleep));
            continue;
        }
        DurableQueue::Batch batch;
        if (permit.samples > 0) batch = next_batch(shard, permit.samples);
        if (batch.samples == 0) {  // no samples are pending, or the limit of batches in flight is reached
            co_await samples_available_.wait();
            continue;
        }
        co_await send_batch(shard, batch);
        samples_available_.notify();
    }
}

net::Task<> Sender::send_batch(int shard, const DurableQueue::Batch& batch) {
    send_controller_.on_sent(loop_.now(), batch.samples);
    ++counters_.batches;
    const Time sent_at = loop_.now();
    std::optional<Time> retry_after;
    const SendResult result = co_await post(batch, retry_after);
    send_controller_.on_result(loop_.now(), result, loop_.now() - sent_at, retry_after);
    record_result(result, shard, batch);
}

void Sender::record_result(SendResult result, int shard, const DurableQueue::Batch& batch) {
    switch (result) {
        case SendResult::accepted:
            counters_.accepted += batch.samples;
            advance(shard, batch.next);
            break;
        case SendResult::rejected:  // a retry would be rejected again, and delay the samples after it
            counters_.rejected += batch.samples;
            advance(shard, batch.next);
            break;
        case SendResult::retryable:
        case SendResult::unknown:
            counters_.resent += batch.samples;
            ++counters_.failures;
            break;
    }
}

DurableQueue::Batch Sender::next_batch(int shard, std::size_t max_samples) {
    try {
        DurableQueue::Batch batch = queue_.read(config_.name, shard, max_samples);
        // The queue releases a scrape only after all shards have advanced past it, also those without samples.
        if (batch.samples == 0) advance(shard, batch.next);
        return batch;
    } catch (const QueueError& error) {
        on_queue_error(error);
        return {};
    }
}

// Acknowledges samples. If the disk can't store the position, it is in effect until the process ends; after a restart
// the samples are sent again.
void Sender::advance(int shard, std::uint64_t position) {
    try {
        queue_.advance(config_.name, shard, position);
        queue_failed_ = false;
    } catch (const QueueError& error) {
        on_queue_error(error);
    }
}

void Sender::on_queue_error(const QueueError& error) {
    if (!std::exchange(queue_failed_, true)) listener_(ExportEvent::queue_failed, error.what());
}

std::string Sender::request_head(std::size_t body_bytes) const {
    http::HeadWriter head("POST " + config_.path + " HTTP/1.1");
    head.add("Host", config_.address)
        .add("User-Agent", "plumkeel")
        .add("Content-Encoding", "snappy")
        .add("Content-Type", "application/x-protobuf")
        .add("X-Prometheus-Remote-Write-Version", "0.1.0")
        .add("Connection", "close")
        .add("Content-Length", static_cast<std::int64_t>(body_bytes));
    if (!config_.bearer.empty()) head.add("Authorization", "Bearer " + config_.bearer);
    return head.finish();
}

net::Task<SendResult> Sender::post(const DurableQueue::Batch& batch, std::optional<Time>& retry_after) {
    std::string body;
    snappy::Compress(batch.bytes.data(), batch.bytes.size(), &body);
    counters_.wire_bytes += body.size();
    std::string head = request_head(body.size());
    // The configuration was validated before; with an invalid address, connecting fails.
    net::Address address = net::Address::parse(config_.address).value_or(net::Address{});
    const auto exchange_result = co_await http::exchange(loop_, std::move(address), std::move(head), std::move(body),
                                                         config_.timeout, max_response_bytes);
    if (exchange_result.error) {
        report(SendResult::unknown, exchange_result.error.message());
        co_return SendResult::unknown;
    }
    const auto& response = exchange_result.response;
    const unsigned status = response.result_int();
    if (const auto seconds = http::parse_number<std::uint32_t>(http::field(response, "Retry-After")))
        retry_after = std::chrono::seconds(*seconds);
    const SendResult result = result_for_status(status);
    report(result, fmt::format("HTTP status {}: {}", status, response.body().substr(0, max_reported_response_bytes)));
    co_return result;
}

// Reports a result to the listener. A failure with the same detail as the last one is not reported again.
void Sender::report(SendResult result, const std::string& detail) {
    const std::string failure = result == SendResult::accepted ? "" : detail;
    if (failure == last_failure_) return;
    last_failure_ = failure;
    listener_(event_for(result), config_.name + (detail.empty() ? "" : ": " + detail));
}

}  // namespace plumkeel::remote_write
