#include "trace/reader.hpp"

#include <algorithm>

#include "trace/layout.hpp"

namespace plumkeel::trace {
namespace {

/// Read size while searching for the next block header after a damaged part of the file.
constexpr std::size_t scan_window_bytes = 1 << 16;

/// Decodes the records of a block. Returns false if a record is incomplete or its time is out of range.
bool decode_records(std::string_view raw, Time first, std::vector<Record>& records) {
    Time at = first;
    while (!raw.empty()) {
        std::uint64_t delta = 0, request = 0, length = 0;
        if (!layout::take_varint(raw, delta) || raw.empty()) return false;
        const auto type = static_cast<std::uint8_t>(raw.front());
        raw.remove_prefix(1);
        if (!layout::take_varint(raw, request) || !layout::take_varint(raw, length)) return false;
        if (length > raw.size()) return false;
        if (delta > static_cast<std::uint64_t>(max_duration) || std::chrono::abs(at).count() > max_duration)
            return false;
        at += Time(delta);
        records.push_back({at, type, request, std::string(raw.substr(0, length))});
        raw.remove_prefix(length);
    }
    return true;
}

}  // namespace

Reader::Reader(const Source& source) : source_(source), start_time_(layout::read_file_header(source)) {
    finished_ = read_index();
    if (!finished_) scan_blocks();
}

bool Reader::read_index() {
    const auto footer = layout::read_footer(source_);
    if (!footer) return false;
    std::vector<BlockLocation> blocks;
    const std::uint64_t end = source_.size() - layout::footer_bytes;
    for (std::uint64_t offset = footer->index_offset; offset < end;) {
        const auto header = layout::read_block_header(source_, offset);
        if (!header || header->kind != layout::BlockKind::index) return false;
        const auto raw = layout::read_block_content(source_, *header);
        if (!raw || raw->size() % layout::index_entry_bytes) return false;
        for (std::size_t i = 0; i < raw->size(); i += layout::index_entry_bytes)
            blocks.push_back(layout::decode_index_entry(std::string_view(*raw).substr(i, layout::index_entry_bytes)));
        offset += header->location.bytes;
    }
    if (blocks.size() != footer->block_count) return false;
    blocks_ = std::move(blocks);
    return true;
}

/// Finds all blocks by their headers, for a file without a valid index.
void Reader::scan_blocks() {
    const std::uint64_t size = source_.size();
    std::uint64_t offset = layout::file_header_bytes;
    while (offset < size) {
        const auto header = layout::read_block_header(source_, offset);
        if (header && offset + header->location.bytes <= size) {
            if (header->kind == layout::BlockKind::records)
                blocks_.push_back(header->location);
            else if (!(header->flags & layout::BlockFlag::optional))
                throw TraceError("the trace contains a required block of unsupported kind " +
                                 std::to_string(header->kind) + "; supported kinds are 1 (records) and 2 (index)");
            offset += header->location.bytes;
            continue;
        }
        // The file ends with a valid footer, but its index is damaged.
        if (size - offset == layout::footer_bytes && source_.read(offset, 8) == layout::footer_magic) break;
        const std::uint64_t damage_offset = offset;
        offset = find_next_header(offset + 1);
        add_damage(damage_offset, offset - damage_offset,
                   offset < size ? "a block is damaged" : "the file ends within a block");
    }
}

/// Returns the offset of the first valid block header at or after `offset`, or the file size if there is none.
std::uint64_t Reader::find_next_header(std::uint64_t offset) const {
    const std::uint64_t size = source_.size();
    std::string magic_bytes;
    layout::append_integer(magic_bytes, layout::block_magic);
    while (offset < size) {
        const std::string bytes = source_.read(offset, scan_window_bytes);
        const auto magic_position = bytes.find(magic_bytes);
        if (magic_position != std::string::npos) {
            offset += magic_position;
            if (layout::read_block_header(source_, offset)) return offset;
            ++offset;
        } else if (offset + bytes.size() >= size) {
            offset = size;
        } else {
            offset += bytes.size() - (magic_bytes.size() - 1);  // the magic number may cross the window's end
        }
    }
    return offset;
}

void Reader::add_damage(std::uint64_t offset, std::uint64_t bytes, std::string description) {
    if (std::any_of(damage_.begin(), damage_.end(),
                    [&](const Damage& known_damage) { return known_damage.offset == offset; }))
        return;
    Damage damage{offset, bytes, {}, {}, std::move(description)};
    for (const BlockLocation& block : blocks_) {
        if (block.offset + block.bytes <= offset) damage.after = block.last_time;
        if (block.offset >= offset + bytes && !damage.before) damage.before = block.first_time;
    }
    damage_.push_back(std::move(damage));
}

bool Reader::read_records(const BlockLocation& location, std::vector<Record>& records) {
    records.clear();
    const auto header = layout::read_block_header(source_, location.offset);
    const bool holds_records = header && header->kind == layout::BlockKind::records;
    const auto raw = holds_records ? layout::read_block_content(source_, *header) : std::nullopt;
    if (raw && decode_records(*raw, location.first_time, records) && records.size() == location.records) return true;
    records.clear();
    add_damage(location.offset, location.bytes, "a block is damaged");
    return false;
}

void Reader::for_each(Time from, const Visitor& visitor) {
    const auto begin = std::partition_point(blocks_.begin(), blocks_.end(),
                                            [&](const BlockLocation& block) { return block.last_time < from; });
    std::vector<Record> records;
    for (auto block = begin; block != blocks_.end(); ++block) {
        if (!read_records(*block, records)) continue;
        for (const Record& record : records)
            if (record.at >= from && !visitor(record)) return;
    }
}

void Reader::for_each_of_request(std::uint64_t request, const Visitor& visitor) {
    std::vector<Record> records;
    for (const BlockLocation& block : blocks_) {
        if (request < block.min_request || request > block.max_request || !read_records(block, records)) continue;
        for (const Record& record : records)
            if (record.request == request && !visitor(record)) return;
    }
}

void Reader::for_each_name(const Visitor& visitor) {
    std::vector<Record> records;
    for (const BlockLocation& block : blocks_) {
        if (!block.has_names || !read_records(block, records)) continue;
        for (const Record& record : records)
            if (is_name_type(record.type) && !visitor(record)) return;
    }
}

std::vector<Record> Reader::next_block(std::size_t& block_index) {
    std::vector<Record> records;
    while (block_index < blocks_.size() && !read_records(blocks_[block_index++], records)) {
    }
    return records;
}

}  // namespace plumkeel::trace
