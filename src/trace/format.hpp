/// \file
/// The types that the writer and the reader of trace files share (docs/trace-format.md). Free of I/O: bytes go to a
/// Sink and come from a Source.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace plumkeel::trace {

using Time = std::chrono::microseconds;

/// The format version that this build writes, and the newest that it reads.
constexpr std::uint32_t version = 1;
/// No time in a trace is further from zero, in microseconds (1,100 years), so that sums of times cannot overflow.
constexpr std::int64_t max_duration = std::int64_t{1} << 55;
/// Bound of an uncompressed block. A block that claims to be larger is damaged, and no memory is allocated for it.
constexpr std::size_t max_block_bytes = 16 * 1024 * 1024;

struct Record {
    Time at{};                ///< Since the trace's start; never decreases within a file.
    std::uint8_t type{};      ///< A RecordType, or a value that only a newer writer knows.
    std::uint64_t request{};  ///< The request it concerns, or 0.
    std::string body;         ///< Encoded as its type demands; see records.hpp.

    bool operator==(const Record&) const = default;
};

/// Record types from 1 to this one define names and settings, without which the others cannot be interpreted. Blocks
/// that hold any are marked, so that a reader finds them without reading the rest.
constexpr std::uint8_t last_name_type = 7;

constexpr bool is_name_type(std::uint8_t type) {
    return type > 0 && type <= last_name_type;
}

/// Where a trace is written to. Throws TraceError when the bytes cannot be stored.
class Sink {
public:
    virtual ~Sink() = default;
    virtual void append(std::string_view bytes) = 0;
};

/// Where a trace is read from.
class Source {
public:
    virtual ~Source() = default;
    virtual std::uint64_t size() const = 0;
    /// Up to `bytes` from `offset`; fewer only at the end.
    virtual std::string read(std::uint64_t offset, std::size_t bytes) const = 0;
};

/// Thrown for input that is not a trace or that this build cannot use, and for failures of the file system. The
/// message is meant for the person who ran the command.
struct TraceError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// One block of records, as listed in the index.
struct BlockLocation {
    std::uint64_t offset{};
    std::uint32_t bytes{};  ///< Stored size, header included.
    std::uint32_t records{};
    Time first{}, last{};
    std::uint64_t min_request{}, max_request{};  ///< Both 0 if no record concerns a request.
    bool has_names{};                            ///< Holds records of name types.
};

/// A stretch of a file that could not be read.
struct Damage {
    std::uint64_t offset{}, bytes{};
    std::optional<Time> after, before;  ///< Times of the nearest readable records on both sides.
    std::string what;
};

}  // namespace plumkeel::trace
