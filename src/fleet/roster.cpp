#include "fleet/roster.hpp"

#include <fmt/format.h>

#include "http/exchange.hpp"

namespace plumkeel::fleet {

using namespace std::chrono_literals;

constexpr std::size_t most_list_bytes = 64 * 1024 * 1024;

Roster::Roster(net::World& world, const ListSource& source, std::string asker, Log& log, std::uint64_t seed,
               Told told)
    : world_(world),
      source_(source),
      asker_(std::move(asker)),
      log_(log),
      follower_(source.wait, seed),
      told_(std::move(told)) {}

void Roster::follow() {
    world_.spawn(run());
}

net::Task<> Roster::run() {
    Follower::Ask next = follower_.first();
    for (;;) {
        if (next.pause > Time{}) co_await world_.sleep(next.pause);
        const Got got = co_await ask(next);
        Follower::Step step = got.whole
                                  ? follower_.answered(world_.now(), {got.status, got.index, got.body})
                                  : follower_.lost(world_.now());
        switch (step.heard) {
            case Follower::Heard::list:
                log_.line(Log::Level::info, "list_changed",
                          {{"entries", follower_.list().size()}, {"changed", step.changed.size()}});
                told_(step.changed, step.complete);
                break;
            case Follower::Heard::same:
                break;
            case Follower::Heard::doubted:
                log_.line(Log::Level::warn, "list_doubted", {{"known", follower_.list().size()}});
                break;
            case Follower::Heard::nonsense:
                log_.line(Log::Level::warn, "list_nonsense", {{"status", got.status}});
                break;
            case Follower::Heard::lost:
                log_.line(Log::Level::warn, "list_source_gone", {{"known", follower_.list().size()}});
                break;
        }
        next = step.next;
    }
}

// One poll on a connection of its own: an answer that comes after we gave up on it finds nobody.
net::Task<Roster::Got> Roster::ask(Follower::Ask ask) {
    Got got;
    // A blocking query may be held for the wait and, by the publisher's word, a sixteenth more.
    const Time limit = (ask.index ? ask.wait + ask.wait / 16 : Time{}) + source_.answer_slack;
    std::string target = "/v1/health/service/" + http::encoded(source_.service);
    if (ask.index) target += fmt::format("?index={}&wait={}ms", ask.index, ask.wait / 1ms);
    std::string head = http::HeadWriter("GET " + target + " HTTP/1.1")
                           .add("Host", source_.consul)
                           .add("Accept", "application/json")
                           .add("Connection", "close")
                           .add("User-Agent", "plumkeel")
                           .add("Plumkeel-Controller", asker_)
                           .done();
    auto exchanged = co_await http::exchange(world_, *net::Address::parse(source_.consul), std::move(head), "", limit,
                                             most_list_bytes);
    if (exchanged.error) co_return got;
    got.whole = true;
    got.status = static_cast<int>(exchanged.answer.result_int());
    got.index = http::number<std::uint64_t>(http::field(exchanged.answer, "X-Consul-Index"));
    got.body = std::move(exchanged.answer.body());
    co_return got;
}

}  // namespace plumkeel::fleet
