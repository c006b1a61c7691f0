/// Reading of big-endian numbers, for the stubs of peers.
#pragma once

#include <cstdint>
#include <string_view>

namespace plumkeel::scale {

inline std::uint64_t big_endian_at(std::string_view bytes, std::size_t offset, std::size_t count) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) value = value << 8 | static_cast<unsigned char>(bytes[offset + i]);
    return value;
}

// Of discovery's frames: length, event number, kind, payload.
constexpr std::size_t frame_length_size = 4, frame_number_size = 8;

}  // namespace plumkeel::scale
