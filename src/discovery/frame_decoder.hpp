// The notice board's events, as frames and as the configuration's JSON: bytes in, entries of the list or a named
// fault out. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/endpoint.hpp"
#include "platform_settings/fields.hpp"

namespace plumkeel::discovery {

// Records in one event; a larger one is not read.
constexpr std::size_t max_records = 20'000;

struct WatchEvent {
    std::uint64_t number{};
    bool has_changes{};  // else it says only that there is nothing new
    bool is_complete{};  // `entries` is the whole list, else what has changed
    std::vector<gateway::Endpoint> endpoints;
    std::vector<std::string> removed;  // names, of changes
};

// Zones and kinds are told by their places in the settings' lists.
struct LabelTable {
    std::vector<std::string> zones, types;
};

enum class FrameError { none, length, kind, record };
const char* name_of(FrameError broken);

class FrameDecoder {
public:
    explicit FrameDecoder(LabelTable places) : labels_(std::move(places)) {}
    // Takes bytes until an event is whole, and removes them from `bytes`. True: `event` holds it.
    bool next(std::string_view& bytes, WatchEvent& event);
    FrameError error() const { return error_; }

private:
    bool read(WatchEvent& event);

    const LabelTable labels_;
    std::string frame_;
    FrameError error_{};
};

// The 8 bytes by which a controller says which event it has.
std::string encode_subscription(std::uint64_t last);

// The configuration's `known`. Throws settings::Fault.
std::vector<WatchEvent> parse_initial_events(const platform_settings::json& known);

// Which events are believed: each once, in order, none left out.
enum class SequenceCheck { accepted, heartbeat, duplicate, gap };
class EventSequence {
public:
    explicit EventSequence(std::uint64_t last) : last_(last) {}
    SequenceCheck check(const WatchEvent& event);
    std::uint64_t last() const { return last_; }

private:
    std::uint64_t last_;
};

}  // namespace plumkeel::discovery
