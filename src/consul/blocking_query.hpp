// Follows a list of invokers by Consul's published health endpoint with blocking queries. This part decides
// what to ask next and which answers to believe; it is free of I/O, clocks and threads. roster.hpp asks.
//
// The last known list is kept while the source is gone, slow or talks nonsense. An answer that empties a list
// at once, or whose index went back, is asked for again without waiting, and believed if it comes again.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/endpoint.hpp"
#include "random/pcg.hpp"

namespace plumkeel::consul {

using Time = std::chrono::microseconds;

using gateway::Endpoint;

struct Answer {
    int status{};
    std::optional<std::uint64_t> index;
    std::string_view body;
};

// What the endpoint told, or nothing where the text is not what it publishes. Entries without a name or a port
// are left out and counted, and so are names that come twice.
std::optional<std::vector<Endpoint>> read_health(std::string_view body, std::size_t& left_out);

class BlockingQuery {
public:
    struct Poll {
        std::uint64_t index{};  // 0: answer at once
        Time wait{}, pause{};   // how long the source may hold it; how long to wait before asking
    };
    enum class PollResult { updated, unchanged, unconfirmed, malformed, failed };
    struct Step {
        Poll next;
        PollResult result{};
        bool complete{};                // `changed` is the whole list; else those whose facts changed
        std::vector<Endpoint> changed;  // empty but for Heard::list
    };

    BlockingQuery(Time wait, std::uint64_t seed);
    Poll first() const { return {0, wait_, Time{}}; }
    Step answered(Time now, const Answer& answer);
    Step lost(Time now);  // no answer: no connection, cut off, or too late

    const std::vector<Endpoint>& list() const { return list_; }
    std::optional<Time> confirmed_at() const { return confirmed_at_; }  // when the list was last confirmed
    std::size_t skipped() const { return skipped_; }

private:
    Poll again(bool at_once);

    const Time wait_;
    Pcg random_;
    std::vector<Endpoint> list_;
    std::uint64_t index_{};
    bool unconfirmed_{};
    int failures_{};
    std::optional<Time> confirmed_at_;
    std::size_t skipped_{};
};

}  // namespace plumkeel::consul
