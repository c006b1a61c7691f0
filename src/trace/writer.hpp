/// \file
/// Writes a trace file: blocks of records, each compressed and under a checksum, with an index at the end.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "trace/format.hpp"

namespace plumkeel::trace {

/// Appends one trace to a Sink. Every method that writes throws what the sink throws, and TraceError if a block cannot
/// be compressed.
class Writer {
public:
    /// Writes the file header. `start_time` is the start of the trace, since the Unix epoch; a block is written once
    /// its records reach `block_bytes` before compression; `compression_level` is zstd's.
    Writer(Sink& sink, Time start_time, std::size_t block_bytes = 256 * 1024, int compression_level = 3);
    ~Writer();

    /// A record that is older than the one before it takes that one's time: the index relies on the order.
    void add(const Record& record);
    void flush();   ///< Ends the current block.
    void finish();  ///< Writes index and footer; nothing may be added after it.

    std::uint64_t offset() const { return offset_; }        ///< Bytes written so far.
    std::uint64_t raw_bytes() const { return raw_bytes_; }  ///< Content of all blocks before compression.

private:
    void write_block(std::uint16_t kind, std::uint16_t flags, std::string_view raw, const BlockLocation& location);
    void write_index();

    struct Compressor;

    Sink& sink_;
    const std::size_t block_bytes_;
    const int compression_level_;
    std::unique_ptr<Compressor> compressor_;
    std::string block_, compressed_;
    BlockLocation location_;  // of the current block
    Time last_{};
    std::uint64_t offset_{}, raw_bytes_{};
    std::vector<BlockLocation> blocks_;
};

}  // namespace plumkeel::trace
