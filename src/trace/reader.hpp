/// \file
/// Reads trace files, including unfinished and damaged ones.
#pragma once

#include <functional>
#include <vector>

#include "trace/format.hpp"

namespace plumkeel::trace {

/// Finds records by time and by request. Damaged blocks are skipped and reported by damage(). The Source must outlive
/// the Reader.
class Reader {
public:
    /// Called for each record; returns false to stop the iteration.
    using Visitor = std::function<bool(const Record&)>;

    /// Reads the file header and the index; without a valid index, reads the headers of all blocks. Throws TraceError
    /// if the file is not a trace or its format version or features are not supported.
    explicit Reader(const Source& source);

    Time start_time() const { return start_time_; }  ///< Start of the trace, since the Unix epoch.
    bool finished() const { return finished_; }      ///< Whether the file has a valid index.
    const std::vector<BlockLocation>& blocks() const { return blocks_; }

    /// Visits all records at or after the time `from`, in file order.
    void for_each(Time from, const Visitor& visitor);
    /// Visits all records of one request, in file order.
    void for_each_of_request(std::uint64_t request, const Visitor& visitor);
    /// Visits all records of name types (see is_name_type()), in file order.
    void for_each_name(const Visitor& visitor);
    /// Returns the records of the first intact block at or after `block_index`, and sets `block_index` to the block
    /// after it. Returns an empty list at the end of the file.
    std::vector<Record> next_block(std::size_t& block_index);

    /// Damaged parts of the file found so far.
    const std::vector<Damage>& damage() const { return damage_; }

private:
    bool read_index();
    void scan_blocks();
    std::uint64_t find_next_header(std::uint64_t offset) const;
    bool read_records(const BlockLocation& location, std::vector<Record>& records);
    void add_damage(std::uint64_t offset, std::uint64_t bytes, std::string description);

    const Source& source_;
    Time start_time_{};
    bool finished_{};
    std::vector<BlockLocation> blocks_;
    std::vector<Damage> damage_;
};

}  // namespace plumkeel::trace
