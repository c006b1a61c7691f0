#include "trace/writer.hpp"

#include <zstd.h>

#include <algorithm>
#include <new>

#include "trace/layout.hpp"

namespace plumkeel::trace {
namespace {

/// A larger index is split into several blocks.
constexpr std::size_t entries_per_index_block = 100'000;

}  // namespace

/// Owns the zstd compression context, which is reused for all blocks.
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
    const Time at = std::max(record.at, last_time_);
    if (block_content_.empty()) {
        block_location_ = {};
        block_location_.first_time = at;
        block_location_.min_request = UINT64_MAX;
        last_time_ = at;
    }
    layout::append_varint(block_content_, static_cast<std::uint64_t>((at - last_time_).count()));
    block_content_.push_back(static_cast<char>(record.type));
    layout::append_varint(block_content_, record.request);
    layout::append_varint(block_content_, record.body.size());
    block_content_ += record.body;
    last_time_ = block_location_.last_time = at;
    ++block_location_.records;
    block_location_.has_names = block_location_.has_names || is_name_type(record.type);
    if (record.request) {
        block_location_.min_request = std::min(block_location_.min_request, record.request);
        block_location_.max_request = std::max(block_location_.max_request, record.request);
    }
    if (block_content_.size() >= block_bytes_) flush();
}

void Writer::flush() {
    if (block_content_.empty()) return;
    if (block_location_.max_request == 0) block_location_.min_request = 0;
    write_block(layout::BlockKind::records, block_location_.has_names ? layout::BlockFlag::names : 0, block_content_,
                block_location_);
    block_content_.clear();
}

void Writer::write_block(std::uint16_t kind, std::uint16_t flags, std::string_view raw, const BlockLocation& location) {
    if (const std::size_t max_compressed_bytes = ZSTD_compressBound(raw.size());
        compressed_.size() < max_compressed_bytes)
        compressed_.resize(max_compressed_bytes);
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
        BlockLocation written_block = location;
        written_block.offset = offset_;
        written_block.bytes = static_cast<std::uint32_t>(header_bytes.size() + content.size());
        written_blocks_.push_back(written_block);
    }
    // A single append for the whole block, so that an interrupted write damages only this block.
    sink_.append(header_bytes + std::string(content));
    offset_ += header_bytes.size() + content.size();
    raw_bytes_ += raw.size();
}

void Writer::write_index() {
    std::size_t next_entry = 0;
    do {  // an empty trace also has an index block
        const std::size_t entries_end = std::min(written_blocks_.size(), next_entry + entries_per_index_block);
        std::string raw;
        for (; next_entry < entries_end; ++next_entry) layout::append_index_entry(raw, written_blocks_[next_entry]);
        write_block(layout::BlockKind::index, layout::BlockFlag::optional, raw, {});
    } while (next_entry < written_blocks_.size());
}

void Writer::finish() {
    flush();
    const layout::Footer footer{offset_, written_blocks_.size()};
    write_index();
    const std::string bytes = layout::encode(footer);
    sink_.append(bytes);
    offset_ += bytes.size();
}

}  // namespace plumkeel::trace
