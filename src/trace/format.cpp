#include "trace/format.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <cstring>

namespace plumkeel::trace {
namespace {

constexpr std::string_view file_mark = "PLKTRACE", end_mark = "PLKTREND";
constexpr std::uint32_t block_mark = 0x4b4c4254;  // "TBLK", little end first
constexpr std::size_t head_bytes = 40, block_head_bytes = 72, footer_bytes = 32;
constexpr std::uint64_t known_features = 0;

enum Kind : std::uint16_t { records = 1, index = 2 };
enum Flag : std::uint16_t { optional = 1, names = 2 };
constexpr std::uint32_t names_bit = 0x8000'0000;  // in the index, of the number of records

template <class T>
void put(std::string& out, T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

template <class T>
T get(std::string_view in, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[at + i])) << (8 * i);
    return static_cast<T>(value);
}

void put_varint(std::string& out, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) out.push_back(static_cast<char>(value | 0x80));
    out.push_back(static_cast<char>(value));
}

bool get_varint(std::string_view& in, std::uint64_t& value) {
    value = 0;
    for (int shift = 0; shift < 64 && !in.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(in.front());
        in.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (!(byte & 0x80)) return true;
    }
    return false;
}

struct BlockHead {
    std::uint16_t kind{}, flags{};
    std::uint32_t raw{}, packed{};
    BlockLocation place;
    std::uint64_t sum{};
};

std::string text_of(const BlockHead& head) {
    std::string out;
    put(out, block_mark);
    put(out, head.kind);
    put(out, head.flags);
    put(out, head.raw);
    put(out, head.packed);
    put(out, head.place.records);
    put(out, std::uint32_t{0});
    put(out, static_cast<std::int64_t>(head.place.first.count()));
    put(out, static_cast<std::int64_t>(head.place.last.count()));
    put(out, head.place.min_request);
    put(out, head.place.max_request);
    put(out, head.sum);
    // The head has a sum of its own, so that a length can be trusted before the block is read.
    put(out, XXH3_64bits(out.data(), out.size()));
    return out;
}

std::optional<BlockHead> head_at(const Source& source, std::uint64_t offset) {
    const std::string text = source.read(offset, block_head_bytes);
    if (text.size() < block_head_bytes || get<std::uint32_t>(text, 0) != block_mark) return {};
    if (get<std::uint64_t>(text, 64) != XXH3_64bits(text.data(), 64)) return {};
    BlockHead head;
    head.kind = get<std::uint16_t>(text, 4);
    head.flags = get<std::uint16_t>(text, 6);
    head.raw = get<std::uint32_t>(text, 8);
    head.packed = get<std::uint32_t>(text, 12);
    head.place.records = get<std::uint32_t>(text, 16);
    head.place.first = Time(get<std::int64_t>(text, 24));
    head.place.last = Time(get<std::int64_t>(text, 32));
    head.place.min_request = get<std::uint64_t>(text, 40);
    head.place.max_request = get<std::uint64_t>(text, 48);
    head.sum = get<std::uint64_t>(text, 56);
    head.place.offset = offset;
    if (head.raw > max_block_bytes || head.packed > max_block_bytes) return {};
    // Such a head was never written, whatever its sum says.
    for (const Time at : {head.place.first, head.place.last})
        if (at.count() > max_duration || at.count() < -max_duration) return {};
    head.place.bytes = static_cast<std::uint32_t>(block_head_bytes + head.packed);
    head.place.names = (head.flags & Flag::names) != 0;
    return head;
}

// The block's bytes, or nothing where they are damaged. Allocates no more than the file holds.
std::optional<std::string> content(const Source& source, const BlockHead& head) {
    const std::string packed = source.read(head.place.offset + block_head_bytes, head.packed);
    if (packed.size() != head.packed || XXH3_64bits(packed.data(), packed.size()) != head.sum) return {};
    std::string raw(head.raw, '\0');
    const std::size_t n = ZSTD_decompress(raw.data(), raw.size(), packed.data(), packed.size());
    if (ZSTD_isError(n) || n != raw.size()) return {};
    return raw;
}

}  // namespace

struct Writer::Press {
    ZSTD_CCtx* work = ZSTD_createCCtx();
    ~Press() { ZSTD_freeCCtx(work); }
};

Writer::~Writer() = default;

Writer::Writer(Sink& sink, Time begun, std::size_t block_bytes, int level)
    : sink_(sink),
      block_bytes_(std::min(block_bytes, max_block_bytes / 2)),
      level_(level),
      press_(std::make_unique<Press>()) {
    if (!press_->work) throw std::bad_alloc();
    std::string head(file_mark);
    put(head, version);
    put(head, std::uint32_t{head_bytes});
    put(head, known_features);
    put(head, static_cast<std::int64_t>(begun.count()));
    put(head, XXH3_64bits(head.data(), head.size()));
    sink_.append(head);
    offset_ = head.size();
}

void Writer::add(const Record& record) {
    const Time at = std::max(record.at, last_);  // a clock that steps back must not break the index
    if (block_.empty()) {
        place_ = {};
        place_.first = at;
        place_.min_request = UINT64_MAX;
        last_ = at;
    }
    put_varint(block_, static_cast<std::uint64_t>((at - last_).count()));
    block_.push_back(static_cast<char>(record.type));
    put_varint(block_, record.request);
    put_varint(block_, record.body.size());
    block_ += record.body;
    last_ = place_.last = at;
    ++place_.records;
    place_.names = place_.names || (record.type > 0 && record.type <= last_name_type);
    if (record.request) {
        place_.min_request = std::min(place_.min_request, record.request);
        place_.max_request = std::max(place_.max_request, record.request);
    }
    if (block_.size() >= block_bytes_) flush();
}

void Writer::flush() {
    if (block_.empty()) return;
    if (place_.max_request == 0) place_.min_request = 0;
    put_block(Kind::records, place_.names ? Flag::names : 0, block_, place_);
    block_.clear();
}

void Writer::put_block(std::uint16_t kind, std::uint16_t flags, std::string_view raw, const BlockLocation& place) {
    if (const std::size_t room = ZSTD_compressBound(raw.size()); packed_.size() < room) packed_.resize(room);
    const std::size_t n =
        ZSTD_compressCCtx(press_->work, packed_.data(), packed_.size(), raw.data(), raw.size(), level_);
    if (ZSTD_isError(n)) throw TraceError(std::string("a block can't be packed: ") + ZSTD_getErrorName(n));
    const std::string_view packed(packed_.data(), n);
    BlockHead head{kind,
                   flags,
                   static_cast<std::uint32_t>(raw.size()),
                   static_cast<std::uint32_t>(packed.size()),
                   place,
                   XXH3_64bits(packed.data(), packed.size())};
    const std::string text = text_of(head);
    if (kind == Kind::records) {
        BlockLocation known = place;
        known.offset = offset_;
        known.bytes = static_cast<std::uint32_t>(text.size() + packed.size());
        places_.push_back(known);
    }
    sink_.append(text + std::string(packed));  // in one piece: a cut leaves a torn last block and no other harm
    offset_ += text.size() + packed.size();
    raw_ += raw.size();
}

void Writer::finish() {
    flush();
    const std::uint64_t at = offset_;
    std::string raw;
    constexpr std::size_t in_one = 100'000;
    for (std::size_t i = 0; i < places_.size() || raw.empty(); ++i) {
        if (i < places_.size()) {
            const BlockLocation& place = places_[i];
            put(raw, place.offset);
            put(raw, place.bytes);
            put(raw, place.records | (place.names ? names_bit : 0));
            put(raw, static_cast<std::int64_t>(place.first.count()));
            put(raw, static_cast<std::int64_t>(place.last.count()));
            put(raw, place.min_request);
            put(raw, place.max_request);
        }
        if ((i + 1) % in_one == 0 || i + 1 >= places_.size()) {
            put_block(Kind::index, Flag::optional, raw, {});
            if (i + 1 >= places_.size()) break;
            raw.clear();
        }
    }
    std::string footer(end_mark);
    put(footer, at);
    put(footer, static_cast<std::uint64_t>(places_.size()));
    put(footer, XXH3_64bits(footer.data(), footer.size()));
    sink_.append(footer);
    offset_ += footer.size();
}

// ---------------------------------------------------------------- reading

Reader::Reader(const Source& source) : source_(source) {
    const std::string head = source.read(0, head_bytes);
    if (head.size() < 8 || head.substr(0, 8) != file_mark) throw TraceError("this is no trace file");
    if (head.size() < head_bytes) throw TraceError("the trace ends within its head");
    const auto theirs = get<std::uint32_t>(head, 8);
    if (theirs > version)
        throw TraceError("the trace is of version " + std::to_string(theirs) + ", this reader knows up to " +
                         std::to_string(version));
    if (get<std::uint64_t>(head, 32) != XXH3_64bits(head.data(), 32)) throw TraceError("the trace's head is damaged");
    if (const auto needed = get<std::uint64_t>(head, 16) & ~known_features)
        throw TraceError("the trace needs features that this reader lacks: " + std::to_string(needed));
    begun_ = Time(get<std::int64_t>(head, 24));
    if (begun_.count() > max_duration || begun_.count() < -max_duration)
        throw TraceError("the trace's head is damaged");
    finished_ = read_index();
    if (!finished_) scan();
}

bool Reader::read_index() {
    const std::uint64_t size = source_.size();
    if (size < head_bytes + footer_bytes) return false;
    const std::string footer = source_.read(size - footer_bytes, footer_bytes);
    if (footer.size() < footer_bytes || footer.substr(0, 8) != end_mark) return false;
    if (get<std::uint64_t>(footer, 24) != XXH3_64bits(footer.data(), 24)) return false;
    const auto count = get<std::uint64_t>(footer, 16);
    std::vector<BlockLocation> places;
    for (std::uint64_t at = get<std::uint64_t>(footer, 8); at < size - footer_bytes;) {
        const auto head = head_at(source_, at);
        if (!head || head->kind != Kind::index) return false;
        const auto raw = content(source_, *head);
        constexpr std::size_t entry = 48;
        if (!raw || raw->size() % entry) return false;
        for (std::size_t i = 0; i < raw->size(); i += entry) {
            const std::string_view text(raw->data() + i, entry);
            const auto told = get<std::uint32_t>(text, 12);
            places.push_back({get<std::uint64_t>(text, 0), get<std::uint32_t>(text, 8), told & ~names_bit,
                              Time(get<std::int64_t>(text, 16)), Time(get<std::int64_t>(text, 24)),
                              get<std::uint64_t>(text, 32), get<std::uint64_t>(text, 40), (told & names_bit) != 0});
        }
        at += head->place.bytes;
    }
    if (places.size() != count) return false;
    places_ = std::move(places);
    return true;
}

// Without a good index: from block to block; behind damage, on to the next mark that heads a block.
void Reader::scan() {
    const std::uint64_t size = source_.size();
    std::uint64_t at = head_bytes;
    constexpr std::size_t window = 1 << 16;
    while (at < size) {
        if (const auto head = head_at(source_, at); head && at + head->place.bytes <= size) {
            if (head->kind == Kind::records)
                places_.push_back(head->place);
            else if (!(head->flags & Flag::optional))
                throw TraceError("the trace holds a part of kind " + std::to_string(head->kind) +
                                 " that this reader must know");
            at += head->place.bytes;
            continue;
        }
        if (size - at == footer_bytes && source_.read(at, 8) == end_mark) break;  // its index was damaged
        const std::uint64_t torn = at++;
        std::string mark;
        put(mark, block_mark);
        while (at < size) {
            const std::string bytes = source_.read(at, window);
            const auto found = bytes.find(mark);
            if (found != std::string::npos) {
                at += found;
                if (head_at(source_, at)) break;
                ++at;
            } else if (at + bytes.size() >= size) {
                at = size;
            } else {
                at += bytes.size() - 3;
            }
        }
        harm(torn, at - torn, at < size ? "a block is damaged" : "the file ends within a block");
    }
}

void Reader::harm(std::uint64_t offset, std::uint64_t bytes, std::string what) {
    if (std::any_of(damage_.begin(), damage_.end(), [&](const Damage& d) { return d.offset == offset; })) return;
    Damage damage{offset, bytes, {}, {}, std::move(what)};
    for (const BlockLocation& place : places_) {
        if (place.offset + place.bytes <= offset) damage.after = place.last;
        if (place.offset >= offset + bytes && !damage.before) damage.before = place.first;
    }
    damage_.push_back(std::move(damage));
}

bool Reader::unpack(const BlockLocation& place, std::vector<Record>& into) {
    into.clear();
    const auto head = head_at(source_, place.offset);
    const auto raw = head && head->kind == Kind::records ? content(source_, *head) : std::nullopt;
    bool whole = raw.has_value();
    Time at = place.first;
    std::string_view rest = whole ? std::string_view(*raw) : std::string_view();
    while (whole && !rest.empty()) {
        std::uint64_t delta = 0, request = 0, length = 0;
        whole = get_varint(rest, delta) && !rest.empty();
        if (!whole) break;
        const auto kind = static_cast<std::uint8_t>(rest.front());
        rest.remove_prefix(1);
        whole = get_varint(rest, request) && get_varint(rest, length) && length <= rest.size();
        if (!whole) break;
        whole = delta <= static_cast<std::uint64_t>(max_duration) && std::chrono::abs(at).count() <= max_duration;
        if (!whole) break;
        at += Time(delta);
        into.push_back({at, kind, request, std::string(rest.substr(0, length))});
        rest.remove_prefix(length);
    }
    if (whole && into.size() == place.records) return true;
    into.clear();
    harm(place.offset, place.bytes, "a block is damaged");
    return false;
}

void Reader::walk(Time from, const std::function<bool(const Record&)>& each) {
    const auto begin =
        std::partition_point(places_.begin(), places_.end(), [&](const BlockLocation& p) { return p.last < from; });
    std::vector<Record> block;
    for (auto it = begin; it != places_.end(); ++it) {
        if (!unpack(*it, block)) continue;
        for (const Record& record : block)
            if (record.at >= from && !each(record)) return;
    }
}

void Reader::of_job(std::uint64_t request, const std::function<bool(const Record&)>& each) {
    std::vector<Record> block;
    for (const BlockLocation& place : places_) {
        if (request < place.min_request || request > place.max_request || !unpack(place, block)) continue;
        for (const Record& record : block)
            if (record.request == request && !each(record)) return;
    }
}

void Reader::names(const std::function<bool(const Record&)>& each) {
    std::vector<Record> block;
    for (const BlockLocation& place : places_) {
        if (!place.names || !unpack(place, block)) continue;
        for (const Record& record : block)
            if (record.type > 0 && record.type <= last_name_type && !each(record)) return;
    }
}

std::vector<Record> Reader::block(std::size_t& at) {
    std::vector<Record> block;
    while (at < places_.size() && !unpack(places_[at++], block)) {
    }
    return block;
}

}  // namespace plumkeel::trace
