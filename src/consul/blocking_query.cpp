#include "consul/blocking_query.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace plumkeel::consul {

using namespace std::chrono_literals;

constexpr Time initial_backoff = 100ms, max_backoff = 5s;
constexpr int max_backoff_doublings = 6;
constexpr Time min_poll_delay = 10ms;      // avoids a busy loop if Consul responds at once
constexpr Time unindexed_poll_delay = 1s;  // used without an index, since such polls do not block
constexpr int http_ok = 200;

BlockingQuery::BlockingQuery(Time wait, std::uint64_t seed) : wait_(wait), random_(seed) {}

BlockingQuery::Poll BlockingQuery::poll_from(std::uint64_t index) const {
    return {index, wait_, min_poll_delay};
}

BlockingQuery::Step BlockingQuery::on_failure() {
    ++failures_;
    Step step;
    step.result = PollResult::failed;
    const Time backoff = std::min(max_backoff, initial_backoff * (1 << std::min(failures_ - 1, max_backoff_doublings)));
    // The jitter prevents that all controllers poll a recovering Consul agent at the same moment.
    const double jittered_backoff = static_cast<double>(backoff.count()) * (0.5 + random_.next());
    step.next = {index_, wait_, Time(static_cast<Time::rep>(jittered_backoff))};
    return step;
}

BlockingQuery::Step BlockingQuery::on_malformed_response() {
    Step step = on_failure();
    step.result = PollResult::malformed;
    return step;
}

BlockingQuery::Step BlockingQuery::on_response(Time now, const PollResponse& response) {
    if (response.status != http_ok) return on_malformed_response();
    auto current = parse_health_response(response.body, skipped_entries_);
    if (!current) {
        Step step = on_malformed_response();
        step.next.index = 0;
        return step;
    }
    failures_ = 0;
    Step step;
    const std::uint64_t index = response.index.value_or(0);
    const bool index_decreased = index < index_, became_empty = current->empty() && !endpoints_.empty();
    if ((index_decreased || became_empty) && !unconfirmed_) {
        unconfirmed_ = true;
        step.result = PollResult::unconfirmed;
        step.next = poll_from(0);
        return step;
    }
    unconfirmed_ = false;
    index_ = index;
    confirmed_at_ = now;
    step.next = poll_from(index_);
    if (index_ == 0) step.next.delay = unindexed_poll_delay;
    if (*current == endpoints_) {
        step.result = PollResult::unchanged;
        return step;
    }
    step.result = PollResult::updated;
    find_changes(*current, step);
    endpoints_ = std::move(*current);
    return step;
}

// Fills `changed` with the endpoints that differ, or with the whole list if an endpoint was removed, since `changed`
// can't express a removal.
void BlockingQuery::find_changes(const std::vector<Endpoint>& current, Step& step) const {
    std::map<std::string, const Endpoint*> old_endpoints, new_endpoints;
    for (const Endpoint& endpoint : endpoints_) old_endpoints[endpoint.name] = &endpoint;
    for (const Endpoint& endpoint : current) new_endpoints[endpoint.name] = &endpoint;
    step.is_complete = std::any_of(endpoints_.begin(), endpoints_.end(),
                                   [&](const Endpoint& endpoint) { return !new_endpoints.count(endpoint.name); });
    for (const Endpoint& endpoint : current) {
        const auto previous = old_endpoints.find(endpoint.name);
        if (step.is_complete || previous == old_endpoints.end() || !(*previous->second == endpoint))
            step.changed.push_back(endpoint);
    }
}

}  // namespace plumkeel::consul
