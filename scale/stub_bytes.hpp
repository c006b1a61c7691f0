/// Decodes big-endian numbers for the stubs of clients, discovery and watchers.
#pragma once

#include <cstdint>
#include <string_view>

namespace plumkeel::scale {

inline std::uint64_t big_endian_at(std::string_view bytes, std::size_t offset, std::size_t byte_count) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < byte_count; ++i) value = value << 8 | static_cast<unsigned char>(bytes[offset + i]);
    return value;
}

// A discovery frame consists of a length, an event number, a kind and a payload. These are field sizes in bytes.
constexpr std::size_t frame_length_bytes = 4, frame_event_number_bytes = 8;

}  // namespace plumkeel::scale
