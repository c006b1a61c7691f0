/// State machine of a Consul blocking query for the list of invokers: which index to poll next, when to poll, and which
/// responses to apply. Does no I/O and reads no clock; `HealthWatcher` sends the polls.
///
/// While Consul is unreachable, slow or sends malformed responses, the last known list stays in effect. A response
/// whose list is empty or whose index is lower than before is applied only if a second, non-blocking poll confirms it.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "consul/health_response.hpp"
#include "random/pcg.hpp"

namespace plumkeel::consul {

using Time = std::chrono::microseconds;

/// A response of Consul's health endpoint.
struct PollResponse {
    int status{};                        ///< HTTP status code.
    std::optional<std::uint64_t> index;  ///< Value of the header field `X-Consul-Index`.
    std::string_view body;
};

class BlockingQuery {
public:
    struct Poll {
        std::uint64_t index{};  ///< The poll blocks until Consul's index exceeds this; 0: it does not block.
        Time wait{};            ///< How long Consul may block the poll.
        Time delay{};           ///< How long to wait before sending the poll.
    };
    enum class PollResult {
        updated,
        unchanged,
        unconfirmed,  ///< The list became empty or the index decreased; not applied until a second poll confirms it.
        malformed,
        failed,
    };
    struct Step {
        Poll next;
        PollResult result{};
        bool is_complete{};             ///< `changed` is the whole list; otherwise only the endpoints that differ.
        std::vector<Endpoint> changed;  ///< Empty unless `result` is `updated`.
    };

    /// `wait` is the longest time that a poll may block. `seed` is for the random delays of retries.
    BlockingQuery(Time wait, std::uint64_t seed);

    Poll first_poll() const { return {0, wait_, Time{}}; }
    Step on_response(Time now, const PollResponse& response);
    /// Called if a poll had no response: the connection failed or was lost, or the poll timed out.
    Step on_failure();

    const std::vector<Endpoint>& endpoints() const { return endpoints_; }
    /// When Consul last confirmed the list; empty before the first time.
    std::optional<Time> confirmed_at() const { return confirmed_at_; }
    /// Number of malformed entries that were skipped so far.
    std::size_t skipped_entries() const { return skipped_entries_; }

private:
    Poll poll_from(std::uint64_t index) const;
    Step on_malformed_response();
    void find_changes(const std::vector<Endpoint>& current, Step& step) const;

    const Time wait_;
    Pcg random_;
    std::vector<Endpoint> endpoints_;
    std::uint64_t index_{};
    bool unconfirmed_{};
    int failures_{};  // consecutive failed polls
    std::optional<Time> confirmed_at_;
    std::size_t skipped_entries_{};
};

}  // namespace plumkeel::consul
