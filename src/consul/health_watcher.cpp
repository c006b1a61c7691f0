#include "consul/health_watcher.hpp"

#include <fmt/format.h>

#include "http/exchange.hpp"

namespace plumkeel::consul {

using namespace std::chrono_literals;

constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;
constexpr int wait_jitter_divisor = 16;  // Consul adds up to 1/16 of the wait time to a blocking query

HealthWatcher::HealthWatcher(net::EventLoop& loop, const EndpointSource& source, std::string controller, Log& log,
                             std::uint64_t seed, OnChange on_change)
    : loop_(loop),
      source_(source),
      controller_(std::move(controller)),
      log_(log),
      query_(source.wait, seed),
      on_change_(std::move(on_change)) {}

void HealthWatcher::start() {
    loop_.spawn(run());
}

net::Task<> HealthWatcher::run() {
    BlockingQuery::Poll next_poll = query_.first_poll();
    for (;;) {
        if (next_poll.delay > Time{}) co_await loop_.sleep(next_poll.delay);
        const std::optional<Response> response = co_await send(next_poll);
        const BlockingQuery::Step step =
            response ? query_.on_response(loop_.now(), {response->status, response->index, response->body})
                     : query_.on_failure();
        apply(step, response);
        next_poll = step.next;
    }
}

void HealthWatcher::apply(const BlockingQuery::Step& step, const std::optional<Response>& response) {
    const std::size_t endpoint_count = query_.endpoints().size();
    switch (step.result) {
        case BlockingQuery::PollResult::updated:
            log_.write(Log::Level::info, "endpoints_updated",
                       {{"endpoints", endpoint_count}, {"changed", step.changed.size()}});
            on_change_(step.changed, step.is_complete);
            break;
        case BlockingQuery::PollResult::unchanged:
            break;
        case BlockingQuery::PollResult::unconfirmed:
            log_.write(Log::Level::warn, "endpoints_unconfirmed", {{"endpoints", endpoint_count}});
            break;
        case BlockingQuery::PollResult::malformed:
            log_.write(Log::Level::warn, "endpoints_malformed", {{"status", response ? response->status : 0}});
            break;
        case BlockingQuery::PollResult::failed:
            log_.write(Log::Level::warn, "endpoint_source_unreachable", {{"endpoints", endpoint_count}});
            break;
    }
}

// Sends a poll on a new connection, so that a response after the timeout can't be mistaken for that of the next poll.
net::Task<std::optional<HealthWatcher::Response>> HealthWatcher::send(BlockingQuery::Poll poll) {
    const Time max_block_time = poll.index ? poll.wait + poll.wait / wait_jitter_divisor : Time{};
    std::string target = "/v1/health/service/" + http::percent_encode(source_.service);
    if (poll.index) target += fmt::format("?index={}&wait={}ms", poll.index, poll.wait / 1ms);
    std::string head = http::HeadWriter("GET " + target + " HTTP/1.1")
                           .add("Host", source_.consul)
                           .add("Accept", "application/json")
                           .add("Connection", "close")
                           .add("User-Agent", "plumkeel")
                           .add("Plumkeel-Controller", controller_)
                           .finish();
    auto exchange_result = co_await http::exchange(loop_, *net::Address::parse(source_.consul), std::move(head), "",
                                                   max_block_time + source_.response_slack, max_response_bytes);
    if (exchange_result.error) co_return std::nullopt;
    Response response;
    response.status = static_cast<int>(exchange_result.response.result_int());
    response.index = http::parse_number<std::uint64_t>(http::field(exchange_result.response, "X-Consul-Index"));
    response.body = std::move(exchange_result.response.body());
    co_return response;
}

}  // namespace plumkeel::consul
