/// \file
/// The byte layout of a trace file: header, blocks and footer (docs/trace-format.md). Used only by Writer and Reader.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trace/format.hpp"

namespace plumkeel::trace::layout {

constexpr std::string_view file_magic = "PLKTRACE";
constexpr std::string_view footer_magic = "PLKTREND";
constexpr std::uint32_t block_magic = 0x4b4c4254;  // "TBLK" in little-endian order

constexpr std::size_t file_header_bytes = 40;
constexpr std::size_t block_header_bytes = 72;
constexpr std::size_t footer_bytes = 32;
constexpr std::size_t index_entry_bytes = 48;

/// Bit mask of the optional format features that this build can read; none exist yet.
constexpr std::uint64_t supported_features = 0;

enum BlockKind : std::uint16_t { records = 1, index = 2 };

enum BlockFlag : std::uint16_t {
    optional = 1,  ///< Readers may skip the block if they do not support its kind.
    names = 2,     ///< The block contains records of name types, see is_name_type().
};

/// Appends an integer in little-endian order.
template <class Integer>
void append_integer(std::string& out, Integer value) {
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

/// Reads a little-endian integer, which must lie within `bytes`.
template <class Integer>
Integer read_integer(std::string_view bytes, std::size_t offset) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return static_cast<Integer>(value);
}

void append_varint(std::string& out, std::uint64_t value);
/// Removes a varint from the front of `bytes`. Returns false if it is incomplete or longer than 10 bytes.
bool take_varint(std::string_view& bytes, std::uint64_t& value);

std::uint64_t checksum(std::string_view bytes);

std::string encode_file_header(Time start_time);

/// Validates the file header and returns the start time of the trace. Throws TraceError if the header is invalid.
Time read_file_header(const Source& source);

struct BlockHeader {
    std::uint16_t kind{}, flags{};
    std::uint32_t raw_bytes{}, stored_bytes{};  ///< Size of the content before and after compression.
    BlockLocation location;
    std::uint64_t content_checksum{};
};

std::string encode(const BlockHeader& header);
/// Returns the block header at `offset`, or nothing if there is no valid header.
std::optional<BlockHeader> read_block_header(const Source& source, std::uint64_t offset);
/// Returns the decompressed content of a block, or nothing if it is damaged. Allocates at most the sizes that the
/// header declares.
std::optional<std::string> read_block_content(const Source& source, const BlockHeader& header);

void append_index_entry(std::string& out, const BlockLocation& location);
BlockLocation decode_index_entry(std::string_view entry);

struct Footer {
    std::uint64_t index_offset{}, block_count{};
};

std::string encode(const Footer& footer);
/// Returns the footer, or nothing if the file does not end with a valid one.
std::optional<Footer> read_footer(const Source& source);

}  // namespace plumkeel::trace::layout
