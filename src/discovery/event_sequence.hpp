/// Decides by its number whether an event of the watch is applied: each once, in order, with none missing.
#pragma once

#include <cstdint>

#include "discovery/watch_event.hpp"

namespace plumkeel::discovery {

enum class SequenceCheck {
    accepted,
    heartbeat,
    duplicate,
    gap,  ///< An event was missed: subscribe again from `last_accepted()`.
};

class EventSequence {
public:
    explicit EventSequence(std::uint64_t last) : last_(last) {}

    SequenceCheck check(const WatchEvent& event) {
        if (!event.has_changes) return event.number > last_ ? SequenceCheck::gap : SequenceCheck::heartbeat;
        if (event.number <= last_) return SequenceCheck::duplicate;
        // A complete list replaces whatever was missed before it.
        if (event.number > last_ + 1 && !event.is_complete) return SequenceCheck::gap;
        last_ = event.number;
        return SequenceCheck::accepted;
    }
    /// The number of the last event accepted.
    std::uint64_t last_accepted() const { return last_; }

private:
    std::uint64_t last_;
};

}  // namespace plumkeel::discovery
