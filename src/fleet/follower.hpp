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

#include "chance/pcg.hpp"

namespace plumkeel::fleet {

using Time = std::chrono::microseconds;

struct Entry {
    std::string name, address, zone, kind;
    bool ready = true;  // false: it drains
    double units = 1;
    int cell{};
    std::optional<Time> started;  // since the Unix epoch

    bool operator==(const Entry&) const = default;
};

struct Answer {
    int status{};
    std::optional<std::uint64_t> index;
    std::string_view body;
};

// What the endpoint told, or nothing where the text is not what it publishes. Entries without a name or a port
// are left out and counted, and so are names that come twice.
std::optional<std::vector<Entry>> read_health(std::string_view body, std::size_t& left_out);

class Follower {
public:
    struct Ask {
        std::uint64_t index{};  // 0: answer at once
        Time wait{}, pause{};   // how long the source may hold it; how long to wait before asking
    };
    enum class Heard { list, same, doubted, nonsense, lost };
    struct Step {
        Ask next;
        Heard heard{};
        bool complete{};             // `changed` is the whole list; else those whose facts changed
        std::vector<Entry> changed;  // empty but for Heard::list
    };

    Follower(Time wait, std::uint64_t seed);
    Ask first() const { return {0, wait_, Time{}}; }
    Step answered(Time now, const Answer& answer);
    Step lost(Time now);  // no answer: no connection, cut off, or too late

    const std::vector<Entry>& list() const { return list_; }
    std::optional<Time> told() const { return told_; }  // when the list was last confirmed
    std::size_t left_out() const { return left_out_; }

private:
    Ask again(bool at_once);

    const Time wait_;
    Pcg chance_;
    std::vector<Entry> list_;
    std::uint64_t index_{};
    bool doubting_{};
    int lost_{};
    std::optional<Time> told_;
    std::size_t left_out_{};
};

}  // namespace plumkeel::fleet
