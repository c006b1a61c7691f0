/// \file
/// Writes a trace file: compressed blocks of records, each with a checksum, and an index at the end.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "trace/format.hpp"

namespace plumkeel::trace {

/// Writes one trace file to a Sink. Methods that write pass on the exceptions of the sink, and throw TraceError if the
/// compression of a block fails.
class Writer {
public:
    /// Writes the file header. `start_time` is the start of the trace, since the Unix epoch. A block is written when
    /// its records reach `block_bytes` before compression. `compression_level` is the level of zstd.
    Writer(Sink& sink, Time start_time, std::size_t block_bytes = 256 * 1024, int compression_level = 3);
    ~Writer();

    /// Adds a record to the current block. If its time is before that of the preceding record, it is stored with the
    /// preceding record's time, because the index requires ordered times.
    void add(const Record& record);
    void flush();   ///< Writes the current block.
    void finish();  ///< Writes index and footer; no records may be added afterwards.

    std::uint64_t offset() const { return offset_; }        ///< Bytes written so far.
    std::uint64_t raw_bytes() const { return raw_bytes_; }  ///< Size of all blocks before compression.

private:
    void write_block(std::uint16_t kind, std::uint16_t flags, std::string_view raw, const BlockLocation& location);
    void write_index();

    struct Compressor;

    Sink& sink_;
    const std::size_t block_bytes_;
    const int compression_level_;
    std::unique_ptr<Compressor> compressor_;
    std::string block_content_, compressed_;
    BlockLocation block_location_;  // describes the current block
    Time last_time_{};
    std::uint64_t offset_{}, raw_bytes_{};
    std::vector<BlockLocation> written_blocks_;
};

}  // namespace plumkeel::trace
