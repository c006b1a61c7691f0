// When the next batch may go to a receiver and how large it may be: pure decisions, for one receiver.
//
// It sends through a few lanes at once, each with its own part of the series, so that order within a series is
// kept. A receiver in trouble gets one small batch after a growing, jittered pause; one that is back gets more
// lanes and larger batches step by step, and while a backlog lasts no more samples a second than a stated multiple
// of what comes in: guards against knocking over again what has just come back.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "chance/pcg.hpp"

namespace plumkeel::remote {

using Time = std::chrono::microseconds;

struct PacerRules {
    int lanes = 4;
    std::size_t most_samples = 2000, least_samples = 200;  // a batch
    Time first_pause = std::chrono::milliseconds(200), longest_pause = std::chrono::seconds(30);
    Time slow = std::chrono::seconds(2);  // an answer that takes longer halves the lanes
    double catch_up = 4;                  // times what comes in, while there is a backlog
    double least_rate = 500;              // samples a second that are always allowed
};

enum class Heard {
    taken,
    later,  // 5xx or 429: it may take the same batch another time
    never,  // another 4xx: this batch will never be taken
    lost,   // no answer: whether it took the batch is not known
};

class Pacer {
public:
    Pacer(PacerRules rules, std::uint64_t seed);

    struct Leave {
        std::size_t samples{};  // 0: not now
        Time again{};           // then ask at this moment, or when an answer comes if it is Time::max()
    };
    // May a lane that is idle send now? `inflow` is in samples a second.
    Leave ask(Time now, double inflow);
    void sent(Time now, std::size_t samples);
    void answered(Time now, Heard heard, Time took, std::optional<Time> retry_after);

    int width() const { return static_cast<int>(width_); }  // lanes that may be busy at once
    bool resting(Time now) const { return now < not_before_; }
    int troubles() const { return troubles_; }  // in a row

private:
    const PacerRules rules_;
    Pcg chance_;
    double width_ = 1, batch_;
    double tokens_;
    Time filled_{}, not_before_{}, pause_{};
    int busy_{}, troubles_{};
};

}  // namespace plumkeel::remote
