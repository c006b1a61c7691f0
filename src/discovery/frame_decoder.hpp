/// Binary codec of the discovery service's watch: decodes frames into events and encodes the subscription. Free of I/O
/// and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/watch_event.hpp"

namespace plumkeel::discovery {

/// Frames refer to zones and invoker types by their index in the settings' lists.
struct LabelTable {
    std::vector<std::string> zones, types;
};

/// What made a frame unreadable.
enum class FrameError {
    none,
    length,  ///< Too short for the fixed fields or over `max_records`.
    kind,    ///< Unknown kind of event.
    record,  ///< Records that do not fill the frame exactly, or an endpoint state that is not known.
};
const char* name_of(FrameError error);

/// Decodes a byte stream that may be split anywhere. After an error the stream can't be resynchronised.
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
    std::string buffer_;  // the length field and payload received so far of one frame
    FrameError error_{};
};

/// The 8 bytes that open a watch: the number of the last event that the subscriber has.
std::string encode_subscription(std::uint64_t last_event);

}  // namespace plumkeel::discovery
