/// plumkeel-trace-size: a million trace records to a file and back, by block size: bytes a record, compression, time to
/// write, and to find a time and a request in a file just opened that is not in the page cache. Then how the index
/// grows.
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>

#include "trace/file.hpp"
#include "trace/reader.hpp"
#include "trace/writer.hpp"

namespace {

using namespace plumkeel::trace;
using Clock = std::chrono::steady_clock;

constexpr int records_a_request = 4;  // received, attempt started, attempt ended, answered
constexpr int searches = 20;          // spread over a file

double ms_since(Clock::time_point begin) {
    return std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
}

// Removes the file from the page cache, as far as the kernel follows the advice.
void evict_from_page_cache(const std::string& name) {
    const int file = ::open(name.c_str(), O_RDONLY);
    ::fdatasync(file);
    ::posix_fadvise(file, 0, 0, POSIX_FADV_DONTNEED);
    ::close(file);
}

Record make_record(int number) {
    const std::uint64_t request = 1 + static_cast<std::uint64_t>(number) / records_a_request;
    std::uint64_t hash = request * 6364136223846793005ULL + static_cast<std::uint64_t>(number);
    hash = (hash ^ (hash >> 29)) * 0xbf58476d1ce4e5b9ULL;
    return Record{
        Time(std::int64_t{number} * 50 + static_cast<std::int64_t>(hash % 40)),
        static_cast<std::uint8_t>(10 + number % records_a_request), request,
        fmt::format("function-{}\tinvoker-{}\t{}\t{}", hash % 997 % 300, hash % 31, hash % 4000, (hash >> 20) % 100)};
}

int searched_record(int search, int records) {
    return static_cast<int>(static_cast<long long>(records - 1) * search / (searches - 1));
}

struct WrittenFile {
    std::uint64_t raw_bytes{}, bytes{};
    double write_ms{};
};

WrittenFile write_file(const std::string& name, int records, std::optional<std::size_t> block_size = {}) {
    std::filesystem::remove(name);
    const auto begin = Clock::now();
    FileSink sink(name);
    Writer writer = block_size ? Writer(sink, Time{}, *block_size) : Writer(sink, Time{});
    for (int i = 0; i < records; ++i) writer.add(make_record(i));
    writer.finish();
    return {writer.raw_bytes(), writer.offset(), ms_since(begin)};
}

// Opens the file and reads the record at its time.
double find_time_ms(const std::string& name, int number) {
    evict_from_page_cache(name);
    const auto begin = Clock::now();
    FileSource source(name);
    Reader reader(source);
    reader.for_each(make_record(number).at, [](const Record&) { return false; });
    return ms_since(begin);
}

int read_request(Reader& reader, int number) {
    int found = 0;
    reader.for_each_of_request(make_record(number).request, [&](const Record&) { return ++found < records_a_request; });
    return found;
}

// Opens the file and reads a record's request; throws where it is not found.
double find_request_ms(const std::string& name, int number) {
    evict_from_page_cache(name);
    const auto begin = Clock::now();
    FileSource source(name);
    Reader reader(source);
    if (!read_request(reader, number)) throw std::runtime_error(fmt::format("record {} not found", number));
    return ms_since(begin);
}

bool holds_all_records(const std::string& name, int records) {
    FileSource source(name);
    Reader reader(source);
    int count = 0;
    bool equal = true;
    reader.for_each(Time::min(), [&](const Record& record) { return equal = equal && record == make_record(count++); });
    return equal && count == records;
}

std::size_t block_count(const std::string& name) {
    FileSource source(name);
    return Reader(source).blocks().size();
}

void measure_block_size(const std::string& name, int records, std::size_t block_size) {
    const WrittenFile file = write_file(name, records, block_size);
    double slowest_time_ms = 0, slowest_request_ms = 0;
    for (int search = 0; search < searches; ++search) {
        const int number = searched_record(search, records);
        slowest_time_ms = std::max(slowest_time_ms, find_time_ms(name, number));
        slowest_request_ms = std::max(slowest_request_ms, find_request_ms(name, number));
    }
    fmt::print("{:>9}K {:>12.1f} {:>8.2f} {:>7} {:>10.0f} {:>12.1f} {:>15.1f} {:>8}\n", block_size >> 10,
               static_cast<double>(file.bytes) / records,
               static_cast<double>(file.raw_bytes) / static_cast<double>(file.bytes), block_count(name), file.write_ms,
               slowest_time_ms, slowest_request_ms, holds_all_records(name, records) ? "yes" : "NO");
    std::fflush(stdout);
}

void measure_index(const std::string& name, int records) {
    const WrittenFile file = write_file(name, records);
    evict_from_page_cache(name);
    const auto begin = Clock::now();
    FileSource source(name);
    Reader reader(source);
    const double open_ms = ms_since(begin);
    const double index_bytes = static_cast<double>(reader.blocks().capacity() * sizeof(BlockLocation));
    double slowest_request_ms = 0;
    for (int search = 0; search < searches; ++search) {
        evict_from_page_cache(name);
        const auto search_begin = Clock::now();
        read_request(reader, searched_record(search, records));
        slowest_request_ms = std::max(slowest_request_ms, ms_since(search_begin));
    }
    fmt::print("{:>12} {:>10.0f} {:>16.0f} {:>20.1f} {:>10.1f} {:>15.1f}\n", records,
               static_cast<double>(file.bytes) / 1e6, index_bytes / 1024, index_bytes / records * 1000, open_ms,
               slowest_request_ms);
    std::fflush(stdout);
}

}  // namespace

// plumkeel-trace-size [RECORDS [MOST RECORDS OF AN INDEX]]
int main(int argc, char** argv) {
    const int records = argc > 1 ? std::atoi(argv[1]) : 1'000'000;
    const int most_records = argc > 2 ? std::atoi(argv[2]) : 16'000'000;
    const std::string name = std::filesystem::temp_directory_path() / ("plumkeel-trace-" + std::to_string(::getpid()));
    try {
        fmt::print("{:>10} {:>12} {:>8} {:>7} {:>10} {:>12} {:>15} {:>8}\n", "block", "bytes/record", "ratio", "blocks",
                   "write ms", "find time ms", "find request ms", "exact");
        for (const std::size_t block_size : {16u << 10, 64u << 10, 256u << 10, 1024u << 10, 4096u << 10})
            measure_block_size(name, records, block_size);
        fmt::print("\n{:>12} {:>10} {:>16} {:>20} {:>10} {:>15}\n", "records", "file MB", "index memory KB",
                   "bytes a 1000 records", "open ms", "find request ms");
        for (int count = 1'000'000; count <= most_records; count *= 4) measure_index(name, count);
    } catch (const std::exception& error) {
        fmt::print(stderr, "plumkeel-trace-size: {}\n", error.what());
        return 1;
    }
    std::filesystem::remove(name);
    return 0;
}
