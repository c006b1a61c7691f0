/// Binary codec of the discovery protocol: decodes frames into events and encodes subscriptions. Free of I/O and
/// clocks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/watch_event.hpp"

namespace plumkeel::discovery {

/// Names of zones and invoker types, to which frames refer by index.
struct LabelTable {
    std::vector<std::string> zones, types;
};

/// Why a frame is malformed.
enum class FrameError {
    none,
    length,  ///< The payload is too short for the fixed fields or too long for `max_records`.
    kind,    ///< The event kind is unknown.
    record,  ///< The records do not fill the frame exactly, or an endpoint state is unknown.
};
const char* name_of(FrameError error);

/// Decodes a byte stream that may be split anywhere. After an error nothing more is decoded.
class FrameDecoder {
public:
    explicit FrameDecoder(LabelTable labels) : labels_(std::move(labels)) {}

    /// Consumes bytes from the front of `bytes` until an event is complete. Returns true if `event` holds one.
    bool next(std::string_view& bytes, WatchEvent& event);
    FrameError error() const { return error_; }

private:
    FrameError decode(std::string_view payload, WatchEvent& event) const;
    gateway::Endpoint decode_endpoint(std::string_view record) const;

    const LabelTable labels_;
    std::string buffer_;  // the current frame as far as it has been received
    FrameError error_{};
};

/// Encodes the 8-byte subscription: the number of the last event that the subscriber has received.
std::string encode_subscription(std::uint64_t last_event);

}  // namespace plumkeel::discovery
