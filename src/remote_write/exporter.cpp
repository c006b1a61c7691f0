#include "remote_write/exporter.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/socket_event_loop.hpp"

namespace plumkeel::remote_write {

struct Exporter::Worker {
    Worker(ExporterConfig wanted, Collect from, Sender::Notice tell)
        : rules(std::move(wanted)),
          collect(std::move(from)),
          notice(std::move(tell)),
          spool(rules.queue, names()),
          scraper(rules.queue.shards),
          clock(loop.wall_clock(), loop.now(), spool.newest_ms()) {
        std::uint64_t seed = static_cast<std::uint64_t>(loop.wall_clock().count());
        for (const ReceiverConfig& each : rules.receivers)
            senders.push_back(std::make_unique<Sender>(loop, each, spool, rules.queue.shards, ++seed, notice));
    }

    std::vector<std::string> names() const {
        std::vector<std::string> out;
        for (const ReceiverConfig& each : rules.receivers) out.push_back(each.name);
        return out;
    }

    net::Task<> run() {
        for (const auto& sender : senders) sender->start();
        tell(0);  // what the last run left
        Time next = loop.now();
        while (!ending) {
            next += rules.interval;
            const Time now = loop.now();
            if (next < now) next = now;  // the machine stood still: no scrapes are made up
            co_await loop.sleep(next - now);
            if (!ending) scrape();
        }
    }

    void scrape() {
        std::vector<Sample> samples = flatten(collect());
        add_own(samples);
        const std::int64_t at = clock.ms(loop.wall_clock(), loop.now());
        append(at, scraper.encode(samples, at));
        const double inflow =
            static_cast<double>(samples.size()) / std::chrono::duration<double>(rules.interval).count();
        tell(inflow);
    }

    void append(std::int64_t at, const std::vector<Shard>& parts) {
        try {
            spool.append(at, parts);
            if (std::exchange(broken, false)) notice("spool_works", "again");
        } catch (const QueueError& fault) {
            for (const Shard& each : parts) lost += each.samples;
            if (!std::exchange(broken, true)) notice("spool_broken", fault.what());
        }
    }

    void tell(double inflow) {
        for (const auto& sender : senders) sender->notify(inflow);
    }

    void add_own(std::vector<Sample>& samples) const {
        const auto add = [&](const char* name, double value, const std::string& receiver = "") {
            Labels labels = {{"__name__", std::string("plumkeel_remote_") + name}};
            if (!rules.controller.empty()) labels.emplace_back("controller", rules.controller);
            if (!receiver.empty()) labels.emplace_back("receiver", receiver);
            samples.push_back({std::move(labels), value});
        };
        add("spool_bytes", static_cast<double>(spool.bytes()));
        add("dropped_samples_total", static_cast<double>(spool.dropped() + lost));
        for (const auto& sender : senders) {
            add("waiting_samples", static_cast<double>(spool.waiting(sender->name())), sender->name());
            add("taken_samples_total", static_cast<double>(sender->counts().accepted), sender->name());
            add("turned_down_samples_total", static_cast<double>(sender->counts().rejected), sender->name());
            add("troubles_total", static_cast<double>(sender->counts().failures), sender->name());
        }
    }

    void end() {
        ending = true;
        const std::int64_t at = clock.ms(loop.wall_clock(), loop.now());
        append(at, scraper.encode_end(at));
        tell(0);
        const Time until = loop.now() + rules.shutdown_timeout;
        watch_out(until);
    }

    // Until all is taken or the time for it is over.
    void watch_out(Time until) {
        const bool waits =
            std::any_of(senders.begin(), senders.end(), [&](const auto& s) { return spool.waiting(s->name()) > 0; });
        if (!waits || loop.now() >= until) return loop.stop();
        loop.call_at(loop.now() + std::chrono::milliseconds(20), [this, until] { watch_out(until); });
    }

    const ExporterConfig rules;
    const Collect collect;
    const Sender::Notice notice;
    DurableQueue spool;
    SeriesEncoder scraper;
    std::uint64_t lost{};
    bool ending{}, broken{};
    net::SocketEventLoop loop;
    SampleClock clock;
    std::vector<std::unique_ptr<Sender>>
        senders;  // their coroutines, which end with the world, touch them no more then
};

Exporter::Exporter(ExporterConfig rules, Collect collect, Sender::Notice notice)
    : worker_(std::make_unique<Worker>(std::move(rules), std::move(collect), std::move(notice))) {
    thread_ = std::thread([deck = worker_.get()] {
        deck->loop.spawn(deck->run());
        deck->loop.run();
    });
}

Exporter::~Exporter() {
    net::asio::post(worker_->loop.executor(), [deck = worker_.get()] { deck->end(); });
    thread_.join();
}

}  // namespace plumkeel::remote_write
