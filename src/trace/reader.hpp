/// \file
/// Reads a trace file, whole, unfinished or damaged.
#pragma once

#include <functional>
#include <vector>

#include "trace/format.hpp"

namespace plumkeel::trace {

/// Finds records by time and by request. Damaged blocks are skipped and reported by damage(). The Source must outlive
/// the reader.
class Reader {
public:
    /// Receives a record; returns false to stop.
    using Visitor = std::function<bool(const Record&)>;

    /// Reads the file header, and the index or, if there is none, the headers of all blocks. Throws TraceError if the
    /// file is not a trace or demands what this build lacks.
    explicit Reader(const Source& source);

    Time start_time() const { return start_time_; }  ///< Of the trace, since the Unix epoch.
    bool finished() const { return finished_; }      ///< False if the writer has not written the index (yet).
    const std::vector<BlockLocation>& blocks() const { return blocks_; }

    /// All records from the time `from` on, in order.
    void for_each(Time from, const Visitor& visitor);
    /// All records of one request, in order.
    void for_each_of_request(std::uint64_t request, const Visitor& visitor);
    /// All records of name types, in order.
    void for_each_name(const Visitor& visitor);
    /// The records of the next intact block from index `block` on, which is advanced past it. Empty at the end.
    std::vector<Record> next_block(std::size_t& block);

    /// The damage found so far.
    const std::vector<Damage>& damage() const { return damage_; }

private:
    bool read_index();
    void scan_blocks();
    std::uint64_t find_next_header(std::uint64_t offset) const;
    bool read_records(const BlockLocation& location, std::vector<Record>& into);
    void add_damage(std::uint64_t offset, std::uint64_t bytes, std::string what);

    const Source& source_;
    Time start_time_{};
    bool finished_{};
    std::vector<BlockLocation> blocks_;
    std::vector<Damage> damage_;
};

}  // namespace plumkeel::trace
