#include "remote_write/queue_format.hpp"

#include <zstd.h>

#include <cstdlib>

namespace plumkeel::remote_write::queue_format {
namespace {

constexpr std::size_t number_bytes = 8;
constexpr std::size_t entry_key_bytes = number_bytes + 1;
constexpr std::size_t entry_header_bytes = 3 * number_bytes;
constexpr std::size_t max_uncompressed_bytes =
    std::size_t{256} * 1024 * 1024;  // an entry with a larger size in its header is damaged
constexpr int compression_level = 1;

// Reads 8 bytes, big endian. `bytes` must have at least 8 bytes after `offset`.
std::uint64_t read_number(std::string_view bytes, std::size_t offset) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < number_bytes; ++i) value = value << 8 | static_cast<unsigned char>(bytes[offset + i]);
    return value;
}

std::string compress(const std::string& bytes) {
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    compressed.resize(
        ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), compression_level));
    return compressed;
}

}  // namespace

std::string encode_number(std::uint64_t value) {
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(value >> shift));
    return bytes;
}

std::optional<std::uint64_t> decode_number(std::string_view bytes) {
    if (bytes.size() != number_bytes) return {};
    return read_number(bytes, 0);
}

std::string encode_entry_key(EntryKey key) {
    return encode_number(key.sequence) + static_cast<char>(key.shard);
}

std::optional<EntryKey> decode_entry_key(std::string_view bytes) {
    if (bytes.size() != entry_key_bytes) return {};
    return EntryKey{read_number(bytes, 0), static_cast<unsigned char>(bytes[number_bytes])};
}

std::string encode_entry(std::int64_t timestamp_ms, const Shard& shard) {
    return encode_number(static_cast<std::uint64_t>(timestamp_ms)) + encode_number(shard.samples) +
           encode_number(shard.bytes.size()) + compress(shard.bytes);
}

std::optional<EntryHeader> decode_entry_header(std::string_view entry) {
    if (entry.size() < entry_header_bytes) return {};
    return EntryHeader{static_cast<std::int64_t>(read_number(entry, 0)),
                       static_cast<std::uint32_t>(read_number(entry, number_bytes)),
                       read_number(entry, 2 * number_bytes)};
}

std::optional<std::string> decompress_entry(std::string_view entry) {
    const std::optional<EntryHeader> header = decode_entry_header(entry);
    if (!header || header->uncompressed_bytes > max_uncompressed_bytes) return {};
    std::string bytes(header->uncompressed_bytes, '\0');
    const std::string_view compressed = entry.substr(entry_header_bytes);
    if (ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size()) != bytes.size()) return {};
    return bytes;
}

std::string encode_position_key(const std::string& receiver, std::size_t shard) {
    return receiver + '\0' + std::to_string(shard);
}

std::optional<PositionKey> decode_position_key(std::string_view bytes) {
    const auto separator = bytes.find('\0');
    if (separator == std::string_view::npos) return {};
    const std::string shard(bytes.substr(separator + 1));
    return PositionKey{std::string(bytes.substr(0, separator)),
                       static_cast<std::size_t>(std::strtol(shard.c_str(), nullptr, 10))};
}

}  // namespace plumkeel::remote_write::queue_format
