// A million records to a file and back, by block size: bytes a record, compression, time to write, and to find a
// moment and a job from a file just opened that is not in the machine's cache. Then how the index grows.
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>

#include "trace/file.hpp"
#include "trace/reader.hpp"
#include "trace/writer.hpp"

// Out of the page cache, as far as the kernel follows the advice.
static void make_cold(const std::string& name) {
    const int file = ::open(name.c_str(), O_RDONLY);
    ::fdatasync(file);
    ::posix_fadvise(file, 0, 0, POSIX_FADV_DONTNEED);
    ::close(file);
}

int main(int argc, char** argv) {
    using namespace plumkeel::trace;
    using Clock = std::chrono::steady_clock;
    const int count = argc > 1 ? std::atoi(argv[1]) : 1'000'000;
    const int longest = argc > 2 ? std::atoi(argv[2]) : 16'000'000;
    const std::string name = std::filesystem::temp_directory_path() / ("plumkeel-trace-" + std::to_string(::getpid()));
    auto ms = [](Clock::time_point from) {
        return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
    };
    auto record_of = [](int i) {  // a job's story: taken, hop started, hop ended, answered
        const std::uint64_t request = 1 + static_cast<std::uint64_t>(i) / 4;
        std::uint64_t dice = request * 6364136223846793005ULL + static_cast<std::uint64_t>(i);
        dice = (dice ^ (dice >> 29)) * 0xbf58476d1ce4e5b9ULL;
        return Record{Time(std::int64_t{i} * 50 + static_cast<std::int64_t>(dice % 40)),
                      static_cast<std::uint8_t>(10 + i % 4), request,
                      fmt::format("function-{}\tinvoker-{}\t{}\t{}", dice % 997 % 300, dice % 31, dice % 4000,
                                  (dice >> 20) % 100)};
    };
    fmt::print("{:>10} {:>12} {:>8} {:>7} {:>10} {:>12} {:>10} {:>8}\n", "block", "bytes/record", "ratio", "blocks",
               "write ms", "find time ms", "find job ms", "exact");
    for (const std::size_t block : {16u << 10, 64u << 10, 256u << 10, 1024u << 10, 4096u << 10}) {
        std::filesystem::remove(name);
        const auto began = Clock::now();
        std::uint64_t raw = 0, bytes = 0;
        {
            FileSink sink(name);
            Writer writer(sink, Time{}, block);
            for (int i = 0; i < count; ++i) writer.add(record_of(i));
            writer.finish();
            raw = writer.raw_bytes();
            bytes = writer.offset();
        }
        const double wrote = ms(began);
        double worst_time = 0, worst_job = 0;
        std::size_t blocks = 0;
        for (int part = 0; part < 20; ++part) {
            const int i = static_cast<int>(static_cast<long long>(count - 1) * part / 19);
            make_cold(name);
            auto from = Clock::now();
            {
                FileSource source(name);
                Reader reader(source);
                blocks = reader.blocks().size();
                reader.for_each(record_of(i).at, [](const Record&) { return false; });
            }
            worst_time = std::max(worst_time, ms(from));
            make_cold(name);
            from = Clock::now();
            FileSource source(name);
            Reader reader(source);
            int found = 0;
            reader.for_each_of_request(record_of(i).request, [&](const Record&) { return ++found < 4; });
            if (!found) return 1;
            worst_job = std::max(worst_job, ms(from));
        }
        FileSource source(name);
        Reader reader(source);
        int at = 0;
        bool exact = true;
        reader.for_each(Time::min(), [&](const Record& record) { return exact = exact && record == record_of(at++); });
        exact = exact && at == count;
        fmt::print("{:>9}K {:>12.1f} {:>8.2f} {:>7} {:>10.0f} {:>12.1f} {:>10.1f} {:>8}\n", block >> 10,
                   static_cast<double>(bytes) / count, static_cast<double>(raw) / static_cast<double>(bytes), blocks,
                   wrote, worst_time, worst_job, exact ? "yes" : "NO");
        std::fflush(stdout);
    }
    fmt::print("\n{:>12} {:>10} {:>16} {:>20} {:>10} {:>12}\n", "records", "file MB", "index memory KB",
               "bytes a 1000 records", "open ms", "find job ms");
    for (int records = 1'000'000; records <= longest; records *= 4) {
        std::filesystem::remove(name);
        std::uint64_t bytes = 0;
        {
            FileSink sink(name);
            Writer writer(sink, Time{});
            for (int i = 0; i < records; ++i) writer.add(record_of(i));
            writer.finish();
            bytes = writer.offset();
        }
        make_cold(name);
        auto from = Clock::now();
        FileSource source(name);
        Reader reader(source);
        const double opened = ms(from);
        const double memory = static_cast<double>(reader.blocks().capacity() * sizeof(BlockLocation));
        double worst_job = 0;
        for (int part = 0; part < 20; ++part) {
            make_cold(name);
            from = Clock::now();
            int found = 0;
            reader.for_each_of_request(
                record_of(static_cast<int>(static_cast<long long>(records - 1) * part / 19)).request,
                [&](const Record&) { return ++found < 4; });
            worst_job = std::max(worst_job, ms(from));
        }
        fmt::print("{:>12} {:>10.0f} {:>16.0f} {:>20.1f} {:>10.1f} {:>12.1f}\n", records,
                   static_cast<double>(bytes) / 1e6, memory / 1024, memory / records * 1000, opened, worst_job);
        std::fflush(stdout);
    }
    std::filesystem::remove(name);
    return 0;
}
