/// The state of a Consul blocking query that follows a list of invokers: which index to poll next, how long to wait
/// before, and which responses to apply. Free of I/O, clocks and threads; `HealthWatcher` sends the polls.
///
/// The last known list is kept while the source is unreachable, slow or sends malformed responses. A response that
/// empties the list, or whose index went back, is polled again without blocking and applied only if it repeats.
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

/// One response of the health endpoint.
struct PollResponse {
    int status{};  ///< HTTP status.
    std::optional<std::uint64_t> index;
    std::string_view body;
};

class BlockingQuery {
public:
    struct Poll {
        std::uint64_t index{};  ///< 0: the source responds at once.
        Time wait{};            ///< How long the source may block the poll.
        Time delay{};           ///< How long to wait before sending it.
    };
    enum class PollResult {
        updated,
        unchanged,
        unconfirmed,  ///< The list is empty or the index went back: kept until a second poll says the same.
        malformed,
        failed,
    };
    struct Step {
        Poll next;
        PollResult result{};
        bool is_complete{};             ///< `changed` is the whole list; otherwise only endpoints that differ.
        std::vector<Endpoint> changed;  ///< Empty unless `result` is `updated`.
    };

    /// `wait` bounds each blocking poll; `seed` spreads the retries of several controllers.
    BlockingQuery(Time wait, std::uint64_t seed);

    Poll first_poll() const { return {0, wait_, Time{}}; }
    Step on_response(Time now, const PollResponse& response);
    /// No response: not connected, connection lost, or timed out.
    Step on_failure();

    const std::vector<Endpoint>& endpoints() const { return endpoints_; }
    /// When the list was last confirmed by the source.
    std::optional<Time> confirmed_at() const { return confirmed_at_; }
    /// How many malformed entries have been skipped so far.
    std::size_t skipped() const { return skipped_; }

private:
    Poll poll_from(std::uint64_t index) const;
    Step on_malformed_response();
    void find_changes(const std::vector<Endpoint>& current, Step& step) const;

    const Time wait_;
    Pcg random_;
    std::vector<Endpoint> endpoints_;
    std::uint64_t index_{};
    bool unconfirmed_{};
    int failures_{};  // in a row
    std::optional<Time> confirmed_at_;
    std::size_t skipped_{};
};

}  // namespace plumkeel::consul
