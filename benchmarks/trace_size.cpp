/// plumkeel-trace-size: measures trace files by block size: bytes per record, compression ratio, time to write the
/// file, and time to open an uncached file and find a time or a request in it. Then measures the index by number of
/// records.
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

constexpr int records_per_request = 4;  // received, attempt started, attempt ended, answered
constexpr int search_count = 20;        // number of searched records, spread over the file

double ms_since(Clock::time_point begin) {
    return std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
}

// Asks the kernel to remove the file from the page cache.
void evict_from_page_cache(const std::string& file_name) {
    const int file = ::open(file_name.c_str(), O_RDONLY);
    ::fdatasync(file);
    ::posix_fadvise(file, 0, 0, POSIX_FADV_DONTNEED);
    ::close(file);
}

Record make_record(int record_number) {
    const std::uint64_t request = 1 + static_cast<std::uint64_t>(record_number) / records_per_request;
    std::uint64_t random_bits = request * 6364136223846793005ULL + static_cast<std::uint64_t>(record_number);
    random_bits = (random_bits ^ (random_bits >> 29)) * 0xbf58476d1ce4e5b9ULL;
    return Record{Time(std::int64_t{record_number} * 50 + static_cast<std::int64_t>(random_bits % 40)),
                  static_cast<std::uint8_t>(10 + record_number % records_per_request), request,
                  fmt::format("function-{}\tinvoker-{}\t{}\t{}", random_bits % 997 % 300, random_bits % 31,
                              random_bits % 4000, (random_bits >> 20) % 100)};
}

int searched_record_number(int search, int record_count) {
    return static_cast<int>(static_cast<long long>(record_count - 1) * search / (search_count - 1));
}

struct WrittenFile {
    std::uint64_t raw_bytes{}, bytes{};
    double write_ms{};
};

WrittenFile write_file(const std::string& file_name, int record_count, std::optional<std::size_t> block_size = {}) {
    std::filesystem::remove(file_name);
    const auto begin = Clock::now();
    FileSink sink(file_name);
    Writer writer = block_size ? Writer(sink, Time{}, *block_size) : Writer(sink, Time{});
    for (int i = 0; i < record_count; ++i) writer.add(make_record(i));
    writer.finish();
    return {writer.raw_bytes(), writer.offset(), ms_since(begin)};
}

// Returns the time to open the file and find the record by its time.
double find_time_ms(const std::string& file_name, int record_number) {
    evict_from_page_cache(file_name);
    const auto begin = Clock::now();
    FileSource source(file_name);
    Reader reader(source);
    reader.for_each(make_record(record_number).at, [](const Record&) { return false; });
    return ms_since(begin);
}

int read_request(Reader& reader, int record_number) {
    int found_records = 0;
    reader.for_each_of_request(make_record(record_number).request,
                               [&](const Record&) { return ++found_records < records_per_request; });
    return found_records;
}

// Returns the time to open the file and read all records of a record's request. Throws if the request is not found.
double find_request_ms(const std::string& file_name, int record_number) {
    evict_from_page_cache(file_name);
    const auto begin = Clock::now();
    FileSource source(file_name);
    Reader reader(source);
    if (!read_request(reader, record_number))
        throw std::runtime_error(fmt::format("the request of record {} was not found", record_number));
    return ms_since(begin);
}

bool holds_all_records(const std::string& file_name, int record_count) {
    FileSource source(file_name);
    Reader reader(source);
    int count = 0;
    bool all_equal = true;
    reader.for_each(Time::min(),
                    [&](const Record& record) { return all_equal = all_equal && record == make_record(count++); });
    return all_equal && count == record_count;
}

std::size_t block_count(const std::string& file_name) {
    FileSource source(file_name);
    return Reader(source).blocks().size();
}

void measure_block_size(const std::string& file_name, int record_count, std::size_t block_size) {
    const WrittenFile file = write_file(file_name, record_count, block_size);
    double slowest_find_time_ms = 0, slowest_find_request_ms = 0;
    for (int search = 0; search < search_count; ++search) {
        const int record_number = searched_record_number(search, record_count);
        slowest_find_time_ms = std::max(slowest_find_time_ms, find_time_ms(file_name, record_number));
        slowest_find_request_ms = std::max(slowest_find_request_ms, find_request_ms(file_name, record_number));
    }
    fmt::print("{:>9}K {:>12.1f} {:>8.2f} {:>7} {:>10.0f} {:>12.1f} {:>15.1f} {:>8}\n", block_size >> 10,
               static_cast<double>(file.bytes) / record_count,
               static_cast<double>(file.raw_bytes) / static_cast<double>(file.bytes), block_count(file_name),
               file.write_ms, slowest_find_time_ms, slowest_find_request_ms,
               holds_all_records(file_name, record_count) ? "yes" : "NO");
    std::fflush(stdout);
}

void measure_index(const std::string& file_name, int record_count) {
    const WrittenFile file = write_file(file_name, record_count);
    evict_from_page_cache(file_name);
    const auto begin = Clock::now();
    FileSource source(file_name);
    Reader reader(source);
    const double open_ms = ms_since(begin);
    const double index_bytes = static_cast<double>(reader.blocks().capacity() * sizeof(BlockLocation));
    double slowest_find_request_ms = 0;
    for (int search = 0; search < search_count; ++search) {
        evict_from_page_cache(file_name);
        const auto search_begin = Clock::now();
        read_request(reader, searched_record_number(search, record_count));
        slowest_find_request_ms = std::max(slowest_find_request_ms, ms_since(search_begin));
    }
    fmt::print("{:>12} {:>10.0f} {:>16.0f} {:>20.1f} {:>10.1f} {:>15.1f}\n", record_count,
               static_cast<double>(file.bytes) / 1e6, index_bytes / 1024, index_bytes / record_count * 1000, open_ms,
               slowest_find_request_ms);
    std::fflush(stdout);
}

}  // namespace

// Usage: plumkeel-trace-size [RECORDS [MAX_INDEX_RECORDS]]
int main(int argc, char** argv) {
    const int record_count = argc > 1 ? std::atoi(argv[1]) : 1'000'000;
    const int max_index_records = argc > 2 ? std::atoi(argv[2]) : 16'000'000;
    const std::string file_name =
        std::filesystem::temp_directory_path() / ("plumkeel-trace-" + std::to_string(::getpid()));
    try {
        fmt::print("{:>10} {:>12} {:>8} {:>7} {:>10} {:>12} {:>15} {:>8}\n", "block", "bytes/record", "ratio", "blocks",
                   "write ms", "find time ms", "find request ms", "exact");
        for (const std::size_t block_size : {16u << 10, 64u << 10, 256u << 10, 1024u << 10, 4096u << 10})
            measure_block_size(file_name, record_count, block_size);
        fmt::print("\n{:>12} {:>10} {:>16} {:>20} {:>10} {:>15}\n", "records", "file MB", "index memory KB",
                   "bytes / 1000 records", "open ms", "find request ms");
        for (int count = 1'000'000; count <= max_index_records; count *= 4) measure_index(file_name, count);
    } catch (const std::exception& error) {
        fmt::print(stderr, "plumkeel-trace-size: {}\n", error.what());
        return 1;
    }
    std::filesystem::remove(file_name);
    return 0;
}
