/// \file
/// A batch of records in two contiguous buffers; Recorder passes batches from the recording to the writing thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "trace/format.hpp"

namespace plumkeel::trace {

class RecordBatch {
public:
    /// Reserves memory for records of `bytes` bytes in total, so that add() rarely allocates.
    void reserve(std::size_t bytes);
    void add(const Record& record);

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    std::size_t bytes() const { return bodies_.size() + entries_.size() * sizeof(Entry); }
    bool has_memory() const { return entries_.capacity() > 0; }
    Time first_time() const { return entries_.front().at; }
    Time last_time() const { return entries_.back().at; }
    void for_each(const std::function<void(const Record&)>& visitor) const;

private:
    struct Entry {
        Time at{};
        std::uint64_t request{};
        std::uint32_t body_bytes{};
        std::uint8_t type{};
    };
    std::vector<Entry> entries_;
    std::string bodies_;
};

}  // namespace plumkeel::trace
