// The trace file: blocks of records, each compressed and under a checksum, with an index at the end
// (docs/trace-format.md). Free of I/O: the writer appends to a Sink, the reader reads from a Source.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::trace {

using Time = std::chrono::microseconds;

constexpr std::uint32_t version = 1;
constexpr std::int64_t max_duration = std::int64_t{1} << 55;  // microseconds, 1,100 years: sums of times can't overflow
constexpr std::size_t max_block_bytes = 16 * 1024 * 1024;     // unpacked; what claims more is damage

struct Record {
    Time at{};                // since the trace's start; never goes back within a file
    std::uint8_t type{};      // what it tells; see docs/trace-format.md
    std::uint64_t request{};  // 0: concerns no one job
    std::string body;

    bool operator==(const Record&) const = default;
};

// Kinds from 1 to this one are of names: the others can't be understood without them. Blocks that hold any are
// marked, so that a reader finds them without the rest.
constexpr std::uint8_t last_name_type = 7;

class Sink {
public:
    virtual ~Sink() = default;
    virtual void append(std::string_view bytes) = 0;
};

class Source {
public:
    virtual ~Source() = default;
    virtual std::uint64_t size() const = 0;
    // Up to `bytes` from `offset`; fewer only at the end.
    virtual std::string read(std::uint64_t offset, std::size_t bytes) const = 0;
};

struct TraceError : std::runtime_error {  // not a trace, or one that this reader must refuse
    using std::runtime_error::runtime_error;
};

// One block of records, as the index knows it.
struct BlockLocation {
    std::uint64_t offset{};
    std::uint32_t bytes{}, records{};  // on disk, with its head
    Time first{}, last{};
    std::uint64_t min_request{}, max_request{};  // both 0: it tells of no job
    bool names{};                                // holds records of names
};

class Writer {
public:
    // Writes the head. `begun` is the start of the trace, since the Unix epoch.
    Writer(Sink& sink, Time begun, std::size_t block_bytes = 256 * 1024, int level = 3);
    ~Writer();
    void add(const Record& record);
    void flush();   // ends the block at hand
    void finish();  // index and footer; nothing is added after it

    std::uint64_t offset() const { return offset_; }
    std::uint64_t raw_bytes() const { return raw_; }

private:
    void put_block(std::uint16_t kind, std::uint16_t flags, std::string_view raw, const BlockLocation& place);

    struct Press;  // zstd's workspace

    Sink& sink_;
    const std::size_t block_bytes_;
    const int level_;
    std::unique_ptr<Press> press_;
    std::string block_, packed_;
    BlockLocation place_;
    Time last_{};
    std::uint64_t offset_{}, raw_{};
    std::vector<BlockLocation> places_;
};

struct Damage {
    std::uint64_t offset{}, bytes{};    // what could not be read
    std::optional<Time> after, before;  // the records around it, where there are any
    std::string what;
};

class Reader {
public:
    // Reads the head, and the index or, where there is none, the heads of all blocks. Throws Fault.
    explicit Reader(const Source& source);

    Time begun() const { return begun_; }
    bool finished() const { return finished_; }
    const std::vector<BlockLocation>& places() const { return places_; }
    // Records in order, from the block that holds `from` on; `each` returns false to stop.
    void walk(Time from, const std::function<bool(const Record&)>& each);
    void of_job(std::uint64_t request, const std::function<bool(const Record&)>& each);
    void names(const std::function<bool(const Record&)>& each);
    // The next block's records from the place `at`, which it moves on; damaged blocks are left out. Empty: the end.
    std::vector<Record> block(std::size_t& at);
    // What was found damaged so far.
    const std::vector<Damage>& damage() const { return damage_; }

private:
    bool read_index();
    void scan();
    bool unpack(const BlockLocation& place, std::vector<Record>& into);
    void harm(std::uint64_t offset, std::uint64_t bytes, std::string what);

    const Source& source_;
    Time begun_{};
    bool finished_{};
    std::vector<BlockLocation> places_;
    std::vector<Damage> damage_;
};

}  // namespace plumkeel::trace
