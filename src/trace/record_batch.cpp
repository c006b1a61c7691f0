#include "trace/record_batch.hpp"

namespace plumkeel::trace {
namespace {

/// Assumed average record size, including the body, when memory is reserved.
constexpr std::size_t typical_record_bytes = 32;

}  // namespace

void RecordBatch::reserve(std::size_t bytes) {
    entries_.reserve(bytes / typical_record_bytes);
    bodies_.reserve(bytes);
}

void RecordBatch::add(const Record& record) {
    entries_.push_back({record.at, record.request, static_cast<std::uint32_t>(record.body.size()), record.type});
    bodies_ += record.body;
}

void RecordBatch::for_each(const std::function<void(const Record&)>& visitor) const {
    Record record;
    std::size_t offset = 0;
    for (const Entry& entry : entries_) {
        record.at = entry.at;
        record.type = entry.type;
        record.request = entry.request;
        record.body.assign(bodies_, offset, entry.body_bytes);
        offset += entry.body_bytes;
        visitor(record);
    }
}

}  // namespace plumkeel::trace
