#include "remote_write/sender.hpp"

#include <fmt/format.h>
#include <snappy.h>

#include <utility>

#include "http/exchange.hpp"

namespace plumkeel::remote_write {

Sender::Sender(net::EventLoop& loop, ReceiverConfig rules, DurableQueue& spool, int parts, std::uint64_t seed,
               Notice notice)
    : loop_(loop),
      config_(std::move(rules)),
      queue_(spool),
      shards_(parts),
      send_controller_(config_.send_control, seed),
      notice_(std::move(notice)),
      samples_available_(loop) {}

void Sender::start() {
    for (int part = 0; part < shards_; ++part) loop_.spawn(run_shard(part));
}

void Sender::notify(double inflow) {
    inflow_ = inflow;
    samples_available_.notify();
}

net::Task<> Sender::run_shard(int part) {
    for (;;) {
        const SendController::Permit leave = send_controller_.request(loop_.now(), inflow_);
        if (leave.samples == 0 && leave.retry_at != Time::max()) {
            co_await loop_.sleep(std::max(leave.retry_at - loop_.now(), Time(1)));
            continue;
        }
        DurableQueue::Batch batch;
        if (leave.samples > 0) batch = next(part, leave.samples);
        if (batch.samples == 0) {  // nothing waits, or other lanes are busy enough
            co_await samples_available_.wait();
            continue;
        }
        send_controller_.on_sent(loop_.now(), batch.samples);
        ++counts_.batches;
        const Time began = loop_.now();
        std::optional<Time> retry_after;
        const SendResult heard = co_await send(batch, retry_after);
        send_controller_.on_result(loop_.now(), heard, loop_.now() - began, retry_after);
        switch (heard) {
            case SendResult::accepted:
                counts_.accepted += batch.samples;
                advance(part, batch.next);
                break;
            case SendResult::rejected:  // sent again it would meet the same, and hold up what comes behind it
                counts_.rejected += batch.samples;
                advance(part, batch.next);
                break;
            case SendResult::retryable:
            case SendResult::unknown:
                counts_.resent += batch.samples;
                ++counts_.failures;
                break;
        }
        samples_available_.notify();
    }
}

// Scrapes that hold nothing of this part are passed over: else they would wait for it for ever.
DurableQueue::Batch Sender::next(int part, std::size_t most) {
    try {
        DurableQueue::Batch batch = queue_.read(config_.name, part, most);
        if (batch.samples == 0) advance(part, batch.next);
        return batch;
    } catch (const QueueError& fault) {
        on_queue_error(fault);
        return {};
    }
}

// A full or broken disk may keep a place from being written. It is known all the same until the process ends; after
// that some samples are sent once more, just as they were.
void Sender::advance(int part, std::uint64_t place) {
    try {
        queue_.advance(config_.name, part, place);
        queue_failed_ = false;
    } catch (const QueueError& fault) {
        on_queue_error(fault);
    }
}

void Sender::on_queue_error(const QueueError& fault) {
    if (!std::exchange(queue_failed_, true)) notice_("spool_broken", fault.what());
}

net::Task<SendResult> Sender::send(const DurableQueue::Batch& batch, std::optional<Time>& retry_after) {
    std::string body;
    snappy::Compress(batch.bytes.data(), batch.bytes.size(), &body);
    counts_.wire_bytes += body.size();
    http::HeadWriter head("POST " + config_.path + " HTTP/1.1");
    head.add("Host", config_.address)
        .add("User-Agent", "plumkeel")
        .add("Content-Encoding", "snappy")
        .add("Content-Type", "application/x-protobuf")
        .add("X-Prometheus-Remote-Write-Version", "0.1.0")
        .add("Connection", "close")
        .add("Content-Length", static_cast<std::int64_t>(body.size()));
    if (!config_.bearer.empty()) head.add("Authorization", "Bearer " + config_.bearer);
    std::string text = head.finish();
    net::Address to = *net::Address::parse(config_.address);
    auto exchanged =
        co_await http::exchange(loop_, std::move(to), std::move(text), std::move(body), config_.timeout, 64 * 1024);
    if (exchanged.error) {
        log_result(SendResult::unknown, exchanged.error.message());
        co_return SendResult::unknown;
    }
    const unsigned status = exchanged.response.result_int();
    if (const auto seconds = http::parse_number<std::uint32_t>(http::field(exchanged.response, "Retry-After")))
        retry_after = std::chrono::seconds(*seconds);
    const SendResult heard = status / 100 == 2                    ? SendResult::accepted
                             : status / 100 == 5 || status == 429 ? SendResult::retryable
                                                                  : SendResult::rejected;
    log_result(heard, fmt::format("{} {}", status, exchanged.response.body().substr(0, 200)));
    co_return heard;
}

// A receiver that says the same again and again is told of once.
void Sender::log_result(SendResult heard, const std::string& what) {
    const std::string trouble = heard == SendResult::accepted ? "" : what;
    if (trouble == last_failure_) return;
    last_failure_ = trouble;
    static constexpr const char* kinds[] = {"receiver_takes", "receiver_in_trouble", "receiver_turns_down",
                                            "receiver_silent"};
    notice_(kinds[static_cast<int>(heard)], config_.name + (what.empty() ? "" : ": " + what));
}

}  // namespace plumkeel::remote_write
