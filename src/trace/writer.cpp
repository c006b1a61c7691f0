#include "trace/writer.hpp"

#include <zstd.h>

#include <algorithm>
#include <new>

#include "trace/layout.hpp"

namespace plumkeel::trace {
namespace {

/// Large indexes are written as several blocks.
constexpr std::size_t entries_per_index_block = 100'000;

}  // namespace

/// Owns zstd's compression context, which is reused for all blocks.
struct Writer::Compressor {
    ZSTD_CCtx* context = ZSTD_createCCtx();
    Compressor() = default;
    Compressor(const Compressor&) = delete;
    Compressor& operator=(const Compressor&) = delete;
    ~Compressor() { ZSTD_freeCCtx(context); }
};

Writer::~Writer() = default;

Writer::Writer(Sink& sink, Time start_time, std::size_t block_bytes, int compression_level)
    : sink_(sink),
      block_bytes_(std::min(block_bytes, max_block_bytes / 2)),
      compression_level_(compression_level),
      compressor_(std::make_unique<Compressor>()) {
    if (!compressor_->context) throw std::bad_alloc();
    const std::string header = layout::encode_file_header(start_time);
    sink_.append(header);
    offset_ = header.size();
}

void Writer::add(const Record& record) {
    const Time at = std::max(record.at, last_);
    if (block_.empty()) {
        location_ = {};
        location_.first = at;
        location_.min_request = UINT64_MAX;
        last_ = at;
    }
    layout::append_varint(block_, static_cast<std::uint64_t>((at - last_).count()));
    block_.push_back(static_cast<char>(record.type));
    layout::append_varint(block_, record.request);
    layout::append_varint(block_, record.body.size());
    block_ += record.body;
    last_ = location_.last = at;
    ++location_.records;
    location_.has_names = location_.has_names || is_name_type(record.type);
    if (record.request) {
        location_.min_request = std::min(location_.min_request, record.request);
        location_.max_request = std::max(location_.max_request, record.request);
    }
    if (block_.size() >= block_bytes_) flush();
}

void Writer::flush() {
    if (block_.empty()) return;
    if (location_.max_request == 0) location_.min_request = 0;
    write_block(layout::BlockKind::records, location_.has_names ? layout::BlockFlag::names : 0, block_, location_);
    block_.clear();
}

void Writer::write_block(std::uint16_t kind, std::uint16_t flags, std::string_view raw, const BlockLocation& location) {
    if (const std::size_t bound = ZSTD_compressBound(raw.size()); compressed_.size() < bound) compressed_.resize(bound);
    const std::size_t size = ZSTD_compressCCtx(compressor_->context, compressed_.data(), compressed_.size(), raw.data(),
                                               raw.size(), compression_level_);
    if (ZSTD_isError(size)) throw TraceError(std::string("cannot compress a block: ") + ZSTD_getErrorName(size));
    const std::string_view content(compressed_.data(), size);
    layout::BlockHeader header;
    header.kind = kind;
    header.flags = flags;
    header.raw_bytes = static_cast<std::uint32_t>(raw.size());
    header.stored_bytes = static_cast<std::uint32_t>(content.size());
    header.location = location;
    header.content_checksum = layout::checksum(content);
    const std::string header_bytes = layout::encode(header);
    if (kind == layout::BlockKind::records) {
        BlockLocation stored = location;
        stored.offset = offset_;
        stored.bytes = static_cast<std::uint32_t>(header_bytes.size() + content.size());
        blocks_.push_back(stored);
    }
    // One append for the whole block: an interrupted write damages the last block and nothing else.
    sink_.append(header_bytes + std::string(content));
    offset_ += header_bytes.size() + content.size();
    raw_bytes_ += raw.size();
}

void Writer::write_index() {
    std::size_t next = 0;
    do {  // an empty trace has an empty index block
        const std::size_t end = std::min(blocks_.size(), next + entries_per_index_block);
        std::string raw;
        for (; next < end; ++next) layout::append_index_entry(raw, blocks_[next]);
        write_block(layout::BlockKind::index, layout::BlockFlag::optional, raw, {});
    } while (next < blocks_.size());
}

void Writer::finish() {
    flush();
    const layout::Footer footer{offset_, blocks_.size()};
    write_index();
    const std::string bytes = layout::encode(footer);
    sink_.append(bytes);
    offset_ += bytes.size();
}

}  // namespace plumkeel::trace
