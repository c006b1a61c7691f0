#include "remote_write/export_worker.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace plumkeel::remote_write {
namespace {

constexpr Time stop_poll_interval = std::chrono::milliseconds(20);

namespace metric_name {
constexpr const char* queue_bytes = "plumkeel_remote_spool_bytes";
constexpr const char* dropped_samples = "plumkeel_remote_dropped_samples_total";
constexpr const char* pending_samples = "plumkeel_remote_waiting_samples";
constexpr const char* accepted_samples = "plumkeel_remote_taken_samples_total";
constexpr const char* rejected_samples = "plumkeel_remote_turned_down_samples_total";
constexpr const char* send_failures = "plumkeel_remote_troubles_total";
}  // namespace metric_name

}  // namespace

ExportWorker::ExportWorker(ExporterConfig config, MetricCollector collect, ExportListener listener)
    : config_(std::move(config)),
      collect_(std::move(collect)),
      listener_(std::move(listener)),
      queue_(config_.queue, receiver_names()),
      encoder_(config_.queue.shards),
      clock_(loop_.wall_clock(), loop_.now(), queue_.newest_timestamp_ms()) {
    auto seed = static_cast<std::uint64_t>(loop_.wall_clock().count());
    for (const ReceiverConfig& receiver : config_.receivers)
        senders_.push_back(std::make_unique<Sender>(loop_, receiver, queue_, config_.queue.shards, ++seed, listener_));
}

std::vector<std::string> ExportWorker::receiver_names() const {
    std::vector<std::string> names;
    names.reserve(config_.receivers.size());
    for (const ReceiverConfig& receiver : config_.receivers) names.push_back(receiver.name);
    return names;
}

void ExportWorker::run() {
    loop_.spawn(scrape_loop());
    loop_.run();
}

net::Task<> ExportWorker::scrape_loop() {
    for (const auto& sender : senders_) sender->start();
    notify_senders(0);  // sends samples left in the queue by the previous run
    Time next_scrape = loop_.now();
    while (!stopping_) {
        next_scrape += config_.interval;
        const Time now = loop_.now();
        next_scrape = std::max(next_scrape, now);  // skips scrapes that were due during a stall
        co_await loop_.sleep(next_scrape - now);
        if (!stopping_) scrape();
    }
}

void ExportWorker::scrape() {
    std::vector<Sample> samples = to_samples(collect_());
    append_own_metrics(samples);
    const std::int64_t timestamp_ms = clock_.next_timestamp_ms(loop_.wall_clock(), loop_.now());
    append(timestamp_ms, encoder_.encode(samples, timestamp_ms));
    notify_senders(static_cast<double>(samples.size()) / std::chrono::duration<double>(config_.interval).count());
}

void ExportWorker::append(std::int64_t timestamp_ms, const std::vector<Shard>& shards) {
    try {
        queue_.append(timestamp_ms, shards);
        if (std::exchange(queue_failed_, false))
            listener_(ExportEvent::queue_recovered, "the queue can be written to disk again");
    } catch (const QueueError& error) {
        for (const Shard& shard : shards) unqueued_samples_ += shard.samples;
        if (!std::exchange(queue_failed_, true)) listener_(ExportEvent::queue_failed, error.what());
    }
}

void ExportWorker::notify_senders(double inflow) {
    for (const auto& sender : senders_) sender->notify(inflow);
}

void ExportWorker::append_own_metrics(std::vector<Sample>& samples) const {
    const auto append_sample = [&](const char* name, std::uint64_t value, const std::string& receiver = "") {
        Labels labels = {{"__name__", name}};
        if (!config_.controller.empty()) labels.emplace_back("controller", config_.controller);
        if (!receiver.empty()) labels.emplace_back("receiver", receiver);
        samples.push_back({std::move(labels), static_cast<double>(value)});
    };
    append_sample(metric_name::queue_bytes, queue_.bytes());
    append_sample(metric_name::dropped_samples, queue_.dropped_samples() + unqueued_samples_);
    for (const auto& sender : senders_) {
        const SenderCounters& counters = sender->counters();
        append_sample(metric_name::pending_samples, queue_.pending_samples(sender->name()), sender->name());
        append_sample(metric_name::accepted_samples, counters.accepted, sender->name());
        append_sample(metric_name::rejected_samples, counters.rejected, sender->name());
        append_sample(metric_name::send_failures, counters.failures, sender->name());
    }
}

void ExportWorker::request_stop() {
    net::asio::post(loop_.executor(), [this] { stop(); });
}

void ExportWorker::stop() {
    stopping_ = true;
    const std::int64_t timestamp_ms = clock_.next_timestamp_ms(loop_.wall_clock(), loop_.now());
    append(timestamp_ms, encoder_.encode_end(timestamp_ms));
    notify_senders(0);
    stop_when_sent(loop_.now() + config_.shutdown_timeout);
}

void ExportWorker::stop_when_sent(Time deadline) {
    const bool pending =
        std::ranges::any_of(senders_, [&](const auto& sender) { return queue_.pending_samples(sender->name()) > 0; });
    if (!pending || loop_.now() >= deadline) return loop_.stop();
    loop_.call_at(loop_.now() + stop_poll_interval, [this, deadline] { stop_when_sent(deadline); });
}

}  // namespace plumkeel::remote_write
