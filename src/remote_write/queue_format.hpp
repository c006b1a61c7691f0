/// Stored format of the durable queue: keys and values of its two LMDB tables. Private to the package.
///
/// Table `entries`: the samples of one scrape in one shard. The key is the scrape's sequence number (8 bytes, big
/// endian) and the shard (1 byte); the value is a header of three numbers (EntryHeader) and a zstd frame.
/// Table `places`: the key `receiver NUL shard` maps to the sequence number of the first scrape that the receiver has
/// not acknowledged; the keys of `metadata_key` map to numbers that concern the whole queue. A number is 8 bytes, big
/// endian.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "remote_write/series_encoder.hpp"

namespace plumkeel::remote_write::queue_format {

namespace table_name {
constexpr const char* entries = "entries";
constexpr const char* positions = "places";
}  // namespace table_name

namespace metadata_key {
constexpr std::string_view next_sequence = "end";
constexpr std::string_view dropped_samples = "dropped";
constexpr std::string_view newest_timestamp_ms = "newest";
constexpr std::string_view shards = "parts";
}  // namespace metadata_key

std::string encode_number(std::uint64_t value);
/// Empty if `bytes` is not 8 bytes long.
std::optional<std::uint64_t> decode_number(std::string_view bytes);

struct EntryKey {
    std::uint64_t sequence{};
    std::size_t shard{};
};
std::string encode_entry_key(EntryKey key);
std::optional<EntryKey> decode_entry_key(std::string_view bytes);

struct EntryHeader {
    std::int64_t timestamp_ms{};
    std::uint32_t samples{};
    std::uint64_t uncompressed_bytes{};
};
std::string encode_entry(std::int64_t timestamp_ms, const Shard& shard);
std::optional<EntryHeader> decode_entry_header(std::string_view entry);
/// Returns the serialized samples of an entry; empty if the entry is damaged.
std::optional<std::string> decompress_entry(std::string_view entry);

struct PositionKey {
    std::string receiver;
    std::size_t shard{};
};
std::string encode_position_key(const std::string& receiver, std::size_t shard);
/// Empty if `bytes` is one of the keys of `metadata_key`.
std::optional<PositionKey> decode_position_key(std::string_view bytes);

}  // namespace plumkeel::remote_write::queue_format
