#include "trace/layout.hpp"

#include <xxhash.h>
#include <zstd.h>

namespace plumkeel::trace::layout {
namespace {

/// Bit of an index entry's record count that is set if the block contains records of name types.
constexpr std::uint32_t index_names_bit = 0x8000'0000;

bool is_in_range(Time at) {
    return at.count() <= max_duration && at.count() >= -max_duration;
}

}  // namespace

void append_varint(std::string& out, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) out.push_back(static_cast<char>(value | 0x80));
    out.push_back(static_cast<char>(value));
}

bool take_varint(std::string_view& bytes, std::uint64_t& value) {
    value = 0;
    for (int shift = 0; shift < 64 && !bytes.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (!(byte & 0x80)) return true;
    }
    return false;
}

std::uint64_t checksum(std::string_view bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string encode_file_header(Time start_time) {
    std::string out(file_magic);
    append_integer(out, format_version);
    append_integer(out, std::uint32_t{file_header_bytes});
    append_integer(out, supported_features);
    append_integer(out, static_cast<std::int64_t>(start_time.count()));
    append_integer(out, checksum(out));
    return out;
}

Time read_file_header(const Source& source) {
    const std::string header = source.read(0, file_header_bytes);
    if (!std::string_view(header).starts_with(file_magic)) throw TraceError("not a trace file");
    if (header.size() < file_header_bytes) throw TraceError("the trace file ends within its 40-byte header");
    const auto file_version = read_integer<std::uint32_t>(header, 8);
    if (file_version > format_version)
        throw TraceError("trace format version " + std::to_string(file_version) +
                         " is not supported, the newest supported is " + std::to_string(format_version));
    if (read_integer<std::uint64_t>(header, 32) != checksum(std::string_view(header).substr(0, 32)))
        throw TraceError("the trace file header has a wrong checksum");
    if (const auto unsupported_features = read_integer<std::uint64_t>(header, 16) & ~supported_features)
        throw TraceError("the trace requires unsupported format features; their bit mask in decimal: " +
                         std::to_string(unsupported_features));
    const Time start_time(read_integer<std::int64_t>(header, 24));
    if (!is_in_range(start_time)) throw TraceError("the start time in the trace file header is out of range");
    return start_time;
}

std::string encode(const BlockHeader& header) {
    std::string out;
    append_integer(out, block_magic);
    append_integer(out, header.kind);
    append_integer(out, header.flags);
    append_integer(out, header.raw_bytes);
    append_integer(out, header.stored_bytes);
    append_integer(out, header.location.records);
    append_integer(out, std::uint32_t{0});
    append_integer(out, static_cast<std::int64_t>(header.location.first_time.count()));
    append_integer(out, static_cast<std::int64_t>(header.location.last_time.count()));
    append_integer(out, header.location.min_request);
    append_integer(out, header.location.max_request);
    append_integer(out, header.content_checksum);
    // The header has a separate checksum, so that its lengths are validated before the content is read.
    append_integer(out, checksum(out));
    return out;
}

std::optional<BlockHeader> read_block_header(const Source& source, std::uint64_t offset) {
    const std::string bytes = source.read(offset, block_header_bytes);
    if (bytes.size() < block_header_bytes || read_integer<std::uint32_t>(bytes, 0) != block_magic) return {};
    if (read_integer<std::uint64_t>(bytes, 64) != checksum(std::string_view(bytes).substr(0, 64))) return {};
    BlockHeader header;
    header.kind = read_integer<std::uint16_t>(bytes, 4);
    header.flags = read_integer<std::uint16_t>(bytes, 6);
    header.raw_bytes = read_integer<std::uint32_t>(bytes, 8);
    header.stored_bytes = read_integer<std::uint32_t>(bytes, 12);
    header.content_checksum = read_integer<std::uint64_t>(bytes, 56);
    BlockLocation& location = header.location;
    location.records = read_integer<std::uint32_t>(bytes, 16);
    location.first_time = Time(read_integer<std::int64_t>(bytes, 24));
    location.last_time = Time(read_integer<std::int64_t>(bytes, 32));
    location.min_request = read_integer<std::uint64_t>(bytes, 40);
    location.max_request = read_integer<std::uint64_t>(bytes, 48);
    location.offset = offset;
    if (header.raw_bytes > max_block_bytes || header.stored_bytes > max_block_bytes) return {};
    // Times beyond max_duration are invalid, even if the checksum is correct.
    if (!is_in_range(location.first_time) || !is_in_range(location.last_time)) return {};
    location.bytes = static_cast<std::uint32_t>(block_header_bytes + header.stored_bytes);
    location.has_names = (header.flags & BlockFlag::names) != 0;
    return header;
}

std::optional<std::string> read_block_content(const Source& source, const BlockHeader& header) {
    const std::string stored = source.read(header.location.offset + block_header_bytes, header.stored_bytes);
    if (stored.size() != header.stored_bytes || checksum(stored) != header.content_checksum) return {};
    std::string raw(header.raw_bytes, '\0');
    const std::size_t size = ZSTD_decompress(raw.data(), raw.size(), stored.data(), stored.size());
    if (ZSTD_isError(size) || size != raw.size()) return {};
    return raw;
}

void append_index_entry(std::string& out, const BlockLocation& location) {
    append_integer(out, location.offset);
    append_integer(out, location.bytes);
    append_integer(out, location.records | (location.has_names ? index_names_bit : 0));
    append_integer(out, static_cast<std::int64_t>(location.first_time.count()));
    append_integer(out, static_cast<std::int64_t>(location.last_time.count()));
    append_integer(out, location.min_request);
    append_integer(out, location.max_request);
}

BlockLocation decode_index_entry(std::string_view entry) {
    const auto records_and_flag = read_integer<std::uint32_t>(entry, 12);
    BlockLocation location;
    location.offset = read_integer<std::uint64_t>(entry, 0);
    location.bytes = read_integer<std::uint32_t>(entry, 8);
    location.records = records_and_flag & ~index_names_bit;
    location.first_time = Time(read_integer<std::int64_t>(entry, 16));
    location.last_time = Time(read_integer<std::int64_t>(entry, 24));
    location.min_request = read_integer<std::uint64_t>(entry, 32);
    location.max_request = read_integer<std::uint64_t>(entry, 40);
    location.has_names = (records_and_flag & index_names_bit) != 0;
    return location;
}

std::string encode(const Footer& footer) {
    std::string out(footer_magic);
    append_integer(out, footer.index_offset);
    append_integer(out, footer.block_count);
    append_integer(out, checksum(out));
    return out;
}

std::optional<Footer> read_footer(const Source& source) {
    const std::uint64_t size = source.size();
    if (size < file_header_bytes + footer_bytes) return {};
    const std::string bytes = source.read(size - footer_bytes, footer_bytes);
    if (bytes.size() < footer_bytes || !std::string_view(bytes).starts_with(footer_magic)) return {};
    if (read_integer<std::uint64_t>(bytes, 24) != checksum(std::string_view(bytes).substr(0, 24))) return {};
    return Footer{read_integer<std::uint64_t>(bytes, 8), read_integer<std::uint64_t>(bytes, 16)};
}

}  // namespace plumkeel::trace::layout
