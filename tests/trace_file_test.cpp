/// \file
/// Tests of Writer and Reader: round trips, truncation at every byte, random damage, and invalid headers.
#include <gtest/gtest.h>

#include <map>

#include "tests/memory_file.hpp"
#include "tests/trace_records.hpp"
#include "trace/reader.hpp"
#include "trace/writer.hpp"

namespace plumkeel::trace {
namespace {

constexpr std::size_t file_header_bytes = 40;

MemoryFile write(const std::vector<Record>& records, std::size_t block_bytes = 2000, bool finish = true) {
    MemoryFile file;
    Writer writer(file, Time(1000), block_bytes);
    for (const Record& each : records) writer.add(each);
    if (finish)
        writer.finish();
    else
        writer.flush();
    return file;
}

std::vector<Record> read(const MemoryFile& file, std::size_t* damage_count = nullptr) {
    Reader reader(file);
    std::vector<Record> out;
    reader.for_each(Time::min(), [&](const Record& record) {
        out.push_back(record);
        return true;
    });
    if (damage_count) *damage_count = reader.damage().size();
    return out;
}

TEST(TraceFile, RoundTripIsExact) {
    const auto records = random_records(20'000);
    for (const std::size_t block : {100u, 4000u, 1'000'000u}) EXPECT_EQ(read(write(records, block)), records) << block;
    EXPECT_EQ(read(write(records, 4000, false)), records);  // a file without index and footer
    EXPECT_TRUE(read(write({})).empty());
}

TEST(TraceFile, IndexFindsTimeAndRequest) {
    const auto records = random_records(20'000);
    const MemoryFile file = write(records);
    Reader reader(file);
    EXPECT_TRUE(reader.finished());
    EXPECT_EQ(reader.start_time(), Time(1000));
    const Record& target_record = records[12'345];
    std::optional<Record> found_record;
    reader.for_each(target_record.at, [&](const Record& record) {
        found_record = record;
        return false;
    });
    ASSERT_TRUE(found_record);
    EXPECT_EQ(found_record->at, target_record.at);
    std::vector<Record> records_of_request, expected;
    reader.for_each_of_request(3000, [&](const Record& record) {
        records_of_request.push_back(record);
        return true;
    });
    for (const Record& each : records)
        if (each.request == 3000) expected.push_back(each);
    EXPECT_EQ(records_of_request, expected);
}

TEST(TraceFile, ClockThatStepsBackKeepsTimesInOrder) {
    std::vector<Record> records = {{Time(100), 1, 1, "a"}, {Time(50), 1, 1, "b"}, {Time(200), 1, 2, "c"}};
    const auto read_back = read(write(records, 1));
    ASSERT_EQ(read_back.size(), 3u);
    EXPECT_EQ(read_back[1].at, Time(100));
    EXPECT_EQ(read_back[1].body, "b");
}

// Truncation must lose only the block that it cuts, and damage() must report that block.
TEST(TraceFile, TruncationAtEveryByteKeepsEarlierBlocks) {
    const auto records = random_records(400);
    const MemoryFile complete_file = write(records, 600);
    Reader complete_reader(complete_file);
    for (std::size_t cut_offset = 0; cut_offset < complete_file.bytes.size(); ++cut_offset) {
        MemoryFile truncated_file;
        truncated_file.bytes = complete_file.bytes.substr(0, cut_offset);
        if (cut_offset < file_header_bytes) {
            EXPECT_THROW(Reader{truncated_file}, TraceError) << cut_offset;
            continue;
        }
        std::size_t expected_records = 0;
        bool cut_inside_block = cut_offset > file_header_bytes;
        for (const BlockLocation& block : complete_reader.blocks()) {
            if (block.offset + block.bytes <= cut_offset) expected_records += block.records;
            if (block.offset + block.bytes == cut_offset) cut_inside_block = false;
        }
        std::size_t damage_count = 0;
        const auto read_back = read(truncated_file, &damage_count);
        ASSERT_EQ(read_back.size(), expected_records) << cut_offset;
        ASSERT_TRUE(std::equal(read_back.begin(), read_back.end(), records.begin())) << cut_offset;
        const std::uint64_t blocks_end = complete_reader.blocks().back().offset + complete_reader.blocks().back().bytes;
        if (cut_inside_block && cut_offset < blocks_end) {
            EXPECT_EQ(damage_count, 1u) << cut_offset;
        }
    }
}

/// Flips a bit, or clears, repeats or removes bytes, at one to three random offsets. Returns the lowest offset.
std::size_t damage(MemoryFile& file, std::uint64_t& random_state) {
    const int change_count = 1 + static_cast<int>(next_random(random_state) % 3);
    std::size_t first_damaged = file.bytes.size();
    for (int i = 0; i < change_count; ++i) {
        const std::size_t offset = next_random(random_state) % file.bytes.size(),
                          length =
                              std::min<std::size_t>(1 + next_random(random_state) % 60, file.bytes.size() - offset);
        first_damaged = std::min(first_damaged, offset);
        switch (next_random(random_state) % 4) {
            case 0:
                file.bytes[offset] = static_cast<char>(file.bytes[offset] ^ (1 << (next_random(random_state) % 8)));
                break;
            case 1:
                std::fill_n(file.bytes.begin() + static_cast<std::ptrdiff_t>(offset), length, '\0');
                break;
            case 2:
                file.bytes.insert(offset, file.bytes.substr(offset, length));
                break;
            default:
                file.bytes.erase(offset, length);
        }
    }
    return first_damaged;
}

TEST(TraceFile, RandomDamageYieldsNoWrongRecord) {
    const auto records = random_records(1500);
    const MemoryFile complete_file = write(records, 800);
    std::map<std::pair<Time, std::string>, int> original_records;
    for (const Record& each : records) ++original_records[{each.at, each.body}];
    std::uint64_t random_state = 11;
    for (int round = 0; round < 10'000; ++round) {
        MemoryFile file = complete_file;
        const std::size_t first_damaged = damage(file, random_state);
        try {
            const auto read_back = read(file);
            ASSERT_LE(read_back.size(), records.size());
            for (const Record& each : read_back) ASSERT_TRUE(original_records.count({each.at, each.body})) << round;
            std::size_t records_before_damage = 0;  // number of records in blocks before the damage
            Reader undamaged_reader(complete_file);
            for (const BlockLocation& block : undamaged_reader.blocks())
                if (block.offset + block.bytes <= first_damaged) records_before_damage += block.records;
            ASSERT_GE(read_back.size(), records_before_damage) << round;
            ASSERT_TRUE(std::equal(records.begin(),
                                   records.begin() + static_cast<std::ptrdiff_t>(records_before_damage),
                                   read_back.begin()))
                << round;
        } catch (const TraceError&) {
            // Only damage to the file header may make the whole file unreadable.
            ASSERT_LT(first_damaged, file_header_bytes) << round;
        }
    }
}

TEST(TraceFile, UnsupportedVersionsAndOtherFilesAreRejected) {
    MemoryFile file = write(random_records(10));
    file.bytes[8] = 9;
    try {
        Reader reader(file);
        FAIL();
    } catch (const TraceError& error) {
        EXPECT_STREQ(error.what(), "trace format version 9 is not supported, the newest supported is 1");
    }
    MemoryFile empty, other;
    other.bytes = "#!/bin/bash\necho this is something else entirely, and long enough\n";
    EXPECT_THROW(Reader{empty}, TraceError);
    EXPECT_THROW(Reader{other}, TraceError);
}

}  // namespace
}  // namespace plumkeel::trace
