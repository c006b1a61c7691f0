#include "consul/blocking_query.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace plumkeel::consul {

using namespace std::chrono_literals;

constexpr Time initial_backoff = 100ms, max_backoff = 5s;
constexpr int max_backoff_doublings = 6;
constexpr Time min_poll_delay = 10ms;      // a source that responds at once must not be polled in a tight loop
constexpr Time unindexed_poll_delay = 1s;  // without an index no poll blocks
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
    // Jitter, so that all controllers do not return to a recovering source at the same moment.
    const double jittered = static_cast<double>(backoff.count()) * (0.5 + random_.next());
    step.next = {index_, wait_, Time(static_cast<Time::rep>(jittered))};
    return step;
}

BlockingQuery::Step BlockingQuery::on_malformed_response() {
    Step step = on_failure();
    step.result = PollResult::malformed;
    return step;
}

BlockingQuery::Step BlockingQuery::on_response(Time now, const PollResponse& response) {
    if (response.status != http_ok) return on_malformed_response();
    auto current = parse_health_response(response.body, skipped_);
    if (!current) {
        Step step = on_malformed_response();
        step.next.index = 0;
        return step;
    }
    failures_ = 0;
    Step step;
    const std::uint64_t index = response.index.value_or(0);
    const bool index_went_back = index < index_, became_empty = current->empty() && !endpoints_.empty();
    if ((index_went_back || became_empty) && !unconfirmed_) {
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

// A removal makes the step a complete list, since `changed` can't express it.
void BlockingQuery::find_changes(const std::vector<Endpoint>& current, Step& step) const {
    std::map<std::string, const Endpoint*> before, after;
    for (const Endpoint& endpoint : endpoints_) before[endpoint.name] = &endpoint;
    for (const Endpoint& endpoint : current) after[endpoint.name] = &endpoint;
    step.is_complete = std::any_of(endpoints_.begin(), endpoints_.end(),
                                   [&](const Endpoint& endpoint) { return !after.count(endpoint.name); });
    for (const Endpoint& endpoint : current) {
        const auto known = before.find(endpoint.name);
        if (step.is_complete || known == before.end() || !(*known->second == endpoint))
            step.changed.push_back(endpoint);
    }
}

}  // namespace plumkeel::consul
