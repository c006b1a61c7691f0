/// Checks event numbers, so that each event of the watch is applied once and in order, and missing events are detected.
#pragma once

#include <cstdint>

#include "discovery/watch_event.hpp"

namespace plumkeel::discovery {

enum class SequenceCheck {
    accepted,
    heartbeat,
    duplicate,
    gap,  ///< An event was missed: the watcher has to subscribe again from `last_accepted()`.
};

class EventSequence {
public:
    explicit EventSequence(std::uint64_t known_event_number) : last_accepted_(known_event_number) {}

    SequenceCheck check(const WatchEvent& event) {
        if (!event.has_changes) return event.number > last_accepted_ ? SequenceCheck::gap : SequenceCheck::heartbeat;
        if (event.number <= last_accepted_) return SequenceCheck::duplicate;
        // A complete list makes up for missed events.
        if (event.number > last_accepted_ + 1 && !event.is_complete) return SequenceCheck::gap;
        last_accepted_ = event.number;
        return SequenceCheck::accepted;
    }
    /// The number of the last event accepted.
    std::uint64_t last_accepted() const { return last_accepted_; }

private:
    std::uint64_t last_accepted_;
};

}  // namespace plumkeel::discovery
