#include "discovery/frame_decoder.hpp"

#include <fmt/format.h>

namespace plumkeel::discovery {
namespace {

// Frame format: payload length, event number, event kind, endpoint records.
constexpr std::size_t length_bytes = 4, kind_offset = 8, header_bytes = 9, record_bytes = 27;

// Offsets of the fields of an endpoint record. Integers are big-endian.
constexpr std::size_t id_offset = 0, address_offset = 4, port_offset = 8, state_offset = 10, zone_offset = 11,
                      type_offset = 12, cell_offset = 13, capacity_offset = 15, started_at_offset = 19;

constexpr double capacity_unit = 1000;                     // capacities are encoded in thousandths
constexpr std::uint64_t started_at_limit_ms = 1ULL << 50;  // start times from here on are treated as unknown

enum EventKind : unsigned char { heartbeat = 0, complete_list = 1, changes = 2 };
enum EndpointState : unsigned char { up = 0, draining = 1, removed = 2 };

std::uint64_t read_big_endian(std::string_view bytes, std::size_t offset, std::size_t count) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) value = value << 8 | static_cast<unsigned char>(bytes[offset + i]);
    return value;
}

std::string label_or_empty(const std::vector<std::string>& labels, std::size_t index) {
    return index < labels.size() ? labels[index] : std::string();
}

}  // namespace

const char* name_of(FrameError error) {
    static constexpr const char* names[] = {"none", "length", "kind", "record"};
    return names[static_cast<int>(error)];
}

bool FrameDecoder::next(std::string_view& bytes, WatchEvent& event) {
    while (!bytes.empty() && error_ == FrameError::none) {
        const bool has_length = buffer_.size() >= length_bytes;
        const std::size_t needed_bytes = length_bytes + (has_length ? read_big_endian(buffer_, 0, length_bytes) : 0);
        const std::string_view chunk = bytes.substr(0, needed_bytes - buffer_.size());
        buffer_ += chunk;
        bytes.remove_prefix(chunk.size());
        if (buffer_.size() < needed_bytes) return false;
        if (!has_length) {
            const std::size_t length = read_big_endian(buffer_, 0, length_bytes);
            if (length < header_bytes || length > header_bytes + max_records * record_bytes)
                error_ = FrameError::length;
            continue;
        }
        error_ = decode(std::string_view(buffer_).substr(length_bytes), event);
        buffer_.clear();
        return error_ == FrameError::none;
    }
    return false;
}

FrameError FrameDecoder::decode(std::string_view payload, WatchEvent& event) const {
    const auto kind = static_cast<unsigned char>(payload[kind_offset]);
    event = {};
    event.number = read_big_endian(payload, 0, kind_offset);
    event.has_changes = kind != heartbeat;
    event.is_complete = kind == complete_list;
    std::string_view records = payload.substr(header_bytes);
    if (records.size() % record_bytes != 0 || (kind == heartbeat && !records.empty())) return FrameError::record;
    if (kind > changes) return FrameError::kind;
    for (; !records.empty(); records.remove_prefix(record_bytes)) {
        const auto state = static_cast<unsigned char>(records[state_offset]);
        if (state > removed) return FrameError::record;
        event.add(decode_endpoint(records), state == removed);
    }
    return FrameError::none;
}

gateway::Endpoint FrameDecoder::decode_endpoint(std::string_view record) const {
    const auto field = [&](std::size_t offset, std::size_t size) { return read_big_endian(record, offset, size); };
    gateway::Endpoint endpoint;
    endpoint.name = fmt::format("s-{:08x}", field(id_offset, 4));
    endpoint.address = fmt::format("{}.{}.{}.{}:{}", field(address_offset, 1), field(address_offset + 1, 1),
                                   field(address_offset + 2, 1), field(address_offset + 3, 1), field(port_offset, 2));
    endpoint.ready = static_cast<unsigned char>(record[state_offset]) == up;
    endpoint.zone = label_or_empty(labels_.zones, field(zone_offset, 1));
    endpoint.type = label_or_empty(labels_.types, field(type_offset, 1));
    endpoint.cell = static_cast<int>(field(cell_offset, 2));
    endpoint.capacity = static_cast<double>(field(capacity_offset, 4)) / capacity_unit;
    const std::uint64_t started_at_ms = field(started_at_offset, 8);
    if (started_at_ms > 0 && started_at_ms < started_at_limit_ms)
        endpoint.started_at = std::chrono::milliseconds(started_at_ms);
    return endpoint;
}

std::string encode_subscription(std::uint64_t last_event) {
    std::string encoded;
    for (int shift = 56; shift >= 0; shift -= 8) encoded += static_cast<char>(last_event >> shift & 255);
    return encoded;
}

}  // namespace plumkeel::discovery
