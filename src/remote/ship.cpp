#include "remote/ship.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/real.hpp"

namespace plumkeel::remote {

struct Ship::Deck {
    Deck(Shipping wanted, Collect from, Sender::Notice tell)
        : rules(std::move(wanted)),
          collect(std::move(from)),
          notice(std::move(tell)),
          spool(rules.spool, names()),
          scraper(rules.spool.parts),
          clock(world.wall(), world.now(), spool.newest_ms()) {
        std::uint64_t seed = static_cast<std::uint64_t>(world.wall().count());
        for (const ReceiverRules& each : rules.receivers)
            senders.push_back(std::make_unique<Sender>(world, each, spool, rules.spool.parts, ++seed, notice));
    }

    std::vector<std::string> names() const {
        std::vector<std::string> out;
        for (const ReceiverRules& each : rules.receivers) out.push_back(each.name);
        return out;
    }

    net::Task<> run() {
        for (const auto& sender : senders) sender->start();
        tell(0);  // what the last run left
        Time next = world.now();
        while (!ending) {
            next += rules.every;
            const Time now = world.now();
            if (next < now) next = now;  // the machine stood still: no scrapes are made up
            co_await world.sleep(next - now);
            if (!ending) scrape();
        }
    }

    void scrape() {
        std::vector<Sample> samples = flat(collect());
        add_own(samples);
        const std::int64_t at = clock.ms(world.wall(), world.now());
        append(at, scraper.scrape(samples, at));
        const double inflow = static_cast<double>(samples.size()) / std::chrono::duration<double>(rules.every).count();
        tell(inflow);
    }

    void append(std::int64_t at, const std::vector<Part>& parts) {
        try {
            spool.append(at, parts);
            if (std::exchange(broken, false)) notice("spool_works", "again");
        } catch (const SpoolFault& fault) {
            for (const Part& each : parts) lost += each.samples;
            if (!std::exchange(broken, true)) notice("spool_broken", fault.what());
        }
    }

    void tell(double inflow) {
        for (const auto& sender : senders) sender->tell(inflow);
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
            add("taken_samples_total", static_cast<double>(sender->counts().taken), sender->name());
            add("turned_down_samples_total", static_cast<double>(sender->counts().never), sender->name());
            add("troubles_total", static_cast<double>(sender->counts().troubles), sender->name());
        }
    }

    void end() {
        ending = true;
        const std::int64_t at = clock.ms(world.wall(), world.now());
        append(at, scraper.end(at));
        tell(0);
        const Time until = world.now() + rules.farewell;
        watch_out(until);
    }

    // Until all is taken or the time for it is over.
    void watch_out(Time until) {
        const bool waits = std::any_of(senders.begin(), senders.end(), [&](const auto& s) { return spool.waiting(s->name()) > 0; });
        if (!waits || world.now() >= until) return world.stop();
        world.at(world.now() + std::chrono::milliseconds(20), [this, until] { watch_out(until); });
    }

    const Shipping rules;
    const Collect collect;
    const Sender::Notice notice;
    Spool spool;
    Scraper scraper;
    std::uint64_t lost{};
    bool ending{}, broken{};
    net::RealWorld world;
    SampleClock clock;
    std::vector<std::unique_ptr<Sender>> senders;  // their coroutines, which end with the world, touch them no more then
};

Ship::Ship(Shipping rules, Collect collect, Sender::Notice notice)
    : deck_(std::make_unique<Deck>(std::move(rules), std::move(collect), std::move(notice))) {
    thread_ = std::thread([deck = deck_.get()] {
        deck->world.spawn(deck->run());
        deck->world.run();
    });
}

Ship::~Ship() {
    net::asio::post(deck_->world.executor(), [deck = deck_.get()] { deck->end(); });
    thread_.join();
}

}  // namespace plumkeel::remote
