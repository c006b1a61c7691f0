/// \file
/// Types shared by the writer and the reader of trace files (docs/trace-format.md). File I/O is behind the interfaces
/// Sink and Source.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace plumkeel::trace {

using Time = std::chrono::microseconds;

/// The trace format version that is written, and the newest version that can be read.
constexpr std::uint32_t format_version = 1;
/// Bound of the absolute value of every time in a trace, in microseconds (1,100 years); sums of times cannot overflow.
constexpr std::int64_t max_duration = std::int64_t{1} << 55;
/// Maximum size of a block before compression. A block whose header declares more is treated as damaged.
constexpr std::size_t max_block_bytes = 16 * 1024 * 1024;

struct Record {
    Time at{};                ///< Time since the start of the trace; never decreases within a file.
    std::uint8_t type{};      ///< A RecordType, or an unknown type from a newer version of the writer.
    std::uint64_t request{};  ///< Number of the request that the record concerns, or 0.
    std::string body;         ///< Encoded struct of the record type, see records.hpp.

    bool operator==(const Record&) const = default;
};

/// Record types from 1 to this one define names and settings that are needed to interpret other records. Blocks that
/// contain such records are marked, so that a reader finds them without reading other blocks.
constexpr std::uint8_t last_name_type = 7;

constexpr bool is_name_type(std::uint8_t type) {
    return type > 0 && type <= last_name_type;
}

/// Destination of the bytes of a trace. Throws TraceError if bytes cannot be stored.
class Sink {
public:
    virtual ~Sink() = default;
    virtual void append(std::string_view bytes) = 0;
};

/// Random access to the bytes of a trace.
class Source {
public:
    virtual ~Source() = default;
    virtual std::uint64_t size() const = 0;
    /// Reads `bytes` bytes at `offset`, or fewer if the trace ends before.
    virtual std::string read(std::uint64_t offset, std::size_t bytes) const = 0;
};

/// Thrown for malformed or unsupported trace data and for file system errors. Command line tools show the message to
/// the user.
struct TraceError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Position and summary of one block of records, as stored in the index.
struct BlockLocation {
    std::uint64_t offset{};
    std::uint32_t bytes{};  ///< Stored size, including the block header.
    std::uint32_t records{};
    Time first_time{}, last_time{};
    std::uint64_t min_request{}, max_request{};  ///< Both 0 if no record of the block concerns a request.
    bool has_names{};                            ///< Whether any record has a name type, see is_name_type().
};

/// A damaged byte range of a file.
struct Damage {
    std::uint64_t offset{}, bytes{};
    std::optional<Time> after, before;  ///< Times of the nearest readable records.
    std::string what;
};

}  // namespace plumkeel::trace
