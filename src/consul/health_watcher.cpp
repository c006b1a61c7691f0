#include "consul/health_watcher.hpp"

#include <fmt/format.h>

#include "http/exchange.hpp"

namespace plumkeel::consul {

using namespace std::chrono_literals;

constexpr std::size_t most_list_bytes = 64 * 1024 * 1024;

HealthWatcher::HealthWatcher(net::EventLoop& loop, const EndpointSource& source, std::string asker, Log& log,
                             std::uint64_t seed, Told told)
    : loop_(loop),
      source_(source),
      asker_(std::move(asker)),
      log_(log),
      follower_(source.wait, seed),
      told_(std::move(told)) {}

void HealthWatcher::follow() {
    loop_.spawn(run());
}

net::Task<> HealthWatcher::run() {
    BlockingQuery::Poll next = follower_.first();
    for (;;) {
        if (next.pause > Time{}) co_await loop_.sleep(next.pause);
        const Got got = co_await ask(next);
        BlockingQuery::Step step = got.whole ? follower_.answered(loop_.now(), {got.status, got.index, got.body})
                                             : follower_.lost(loop_.now());
        switch (step.result) {
            case BlockingQuery::PollResult::updated:
                log_.write(Log::Level::info, "list_changed",
                           {{"entries", follower_.list().size()}, {"changed", step.changed.size()}});
                told_(step.changed, step.complete);
                break;
            case BlockingQuery::PollResult::unchanged:
                break;
            case BlockingQuery::PollResult::unconfirmed:
                log_.write(Log::Level::warn, "list_doubted", {{"known", follower_.list().size()}});
                break;
            case BlockingQuery::PollResult::malformed:
                log_.write(Log::Level::warn, "list_nonsense", {{"status", got.status}});
                break;
            case BlockingQuery::PollResult::failed:
                log_.write(Log::Level::warn, "list_source_gone", {{"known", follower_.list().size()}});
                break;
        }
        next = step.next;
    }
}

// One poll on a connection of its own: an answer that comes after we gave up on it finds nobody.
net::Task<HealthWatcher::Got> HealthWatcher::ask(BlockingQuery::Poll ask) {
    Got got;
    // A blocking query may be held for the wait and, by the publisher's word, a sixteenth more.
    const Time limit = (ask.index ? ask.wait + ask.wait / 16 : Time{}) + source_.response_slack;
    std::string target = "/v1/health/service/" + http::percent_encode(source_.service);
    if (ask.index) target += fmt::format("?index={}&wait={}ms", ask.index, ask.wait / 1ms);
    std::string head = http::HeadWriter("GET " + target + " HTTP/1.1")
                           .add("Host", source_.consul)
                           .add("Accept", "application/json")
                           .add("Connection", "close")
                           .add("User-Agent", "plumkeel")
                           .add("Plumkeel-Controller", asker_)
                           .finish();
    auto exchanged = co_await http::exchange(loop_, *net::Address::parse(source_.consul), std::move(head), "", limit,
                                             most_list_bytes);
    if (exchanged.error) co_return got;
    got.whole = true;
    got.status = static_cast<int>(exchanged.response.result_int());
    got.index = http::parse_number<std::uint64_t>(http::field(exchanged.response, "X-Consul-Index"));
    got.body = std::move(exchanged.response.body());
    co_return got;
}

}  // namespace plumkeel::consul
