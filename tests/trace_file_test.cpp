/// \file
/// Writer and Reader: exact round trips, every cut point, random damage, forged headers.
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
    EXPECT_EQ(read(write(records, 4000, false)), records);  // never finished
    EXPECT_TRUE(read(write({})).empty());
}

TEST(TraceFile, IndexFindsATimeAndARequest) {
    const auto records = random_records(20'000);
    const MemoryFile file = write(records);
    Reader reader(file);
    EXPECT_TRUE(reader.finished());
    EXPECT_EQ(reader.start_time(), Time(1000));
    const Record& wanted = records[12'345];
    std::optional<Record> found;
    reader.for_each(wanted.at, [&](const Record& record) {
        found = record;
        return false;
    });
    ASSERT_TRUE(found);
    EXPECT_EQ(found->at, wanted.at);
    std::vector<Record> of_request, expected;
    reader.for_each_of_request(3000, [&](const Record& record) {
        of_request.push_back(record);
        return true;
    });
    for (const Record& each : records)
        if (each.request == 3000) expected.push_back(each);
    EXPECT_EQ(of_request, expected);
}

TEST(TraceFile, ClockThatStepsBackKeepsTimesInOrder) {
    std::vector<Record> records = {{Time(100), 1, 1, "a"}, {Time(50), 1, 1, "b"}, {Time(200), 1, 2, "c"}};
    const auto got = read(write(records, 1));
    ASSERT_EQ(got.size(), 3u);
    EXPECT_EQ(got[1].at, Time(100));
    EXPECT_EQ(got[1].body, "b");
}

// Whole blocks before the cut are read, and nothing else; the damage is reported.
TEST(TraceFile, TruncationAtEveryByteKeepsEarlierBlocks) {
    const auto records = random_records(400);
    const MemoryFile whole = write(records, 600);
    Reader all(whole);
    for (std::size_t cut = 0; cut < whole.bytes.size(); ++cut) {
        MemoryFile part;
        part.bytes = whole.bytes.substr(0, cut);
        if (cut < file_header_bytes) {
            EXPECT_THROW(Reader{part}, TraceError) << cut;
            continue;
        }
        std::size_t expected = 0;
        bool torn = cut > file_header_bytes;
        for (const BlockLocation& block : all.blocks()) {
            if (block.offset + block.bytes <= cut) expected += block.records;
            if (block.offset + block.bytes == cut) torn = false;
        }
        std::size_t damage_count = 0;
        const auto got = read(part, &damage_count);
        ASSERT_EQ(got.size(), expected) << cut;
        ASSERT_TRUE(std::equal(got.begin(), got.end(), records.begin())) << cut;
        const std::uint64_t last = all.blocks().back().offset + all.blocks().back().bytes;
        if (torn && cut < last) {
            EXPECT_EQ(damage_count, 1u) << cut;
        }
    }
}

/// Flips, clears, repeats or removes bytes. Returns the offset of the first.
std::size_t damage(MemoryFile& file, std::uint64_t& random) {
    const int count = 1 + static_cast<int>(next_random(random) % 3);
    std::size_t first = file.bytes.size();
    for (int i = 0; i < count; ++i) {
        const std::size_t at = next_random(random) % file.bytes.size(),
                          n = std::min<std::size_t>(1 + next_random(random) % 60, file.bytes.size() - at);
        first = std::min(first, at);
        switch (next_random(random) % 4) {
            case 0:
                file.bytes[at] = static_cast<char>(file.bytes[at] ^ (1 << (next_random(random) % 8)));
                break;
            case 1:
                std::fill_n(file.bytes.begin() + static_cast<std::ptrdiff_t>(at), n, '\0');
                break;
            case 2:
                file.bytes.insert(at, file.bytes.substr(at, n));
                break;
            default:
                file.bytes.erase(at, n);
        }
    }
    return first;
}

TEST(TraceFile, RandomDamageYieldsNoWrongRecord) {
    const auto records = random_records(1500);
    const MemoryFile whole = write(records, 800);
    std::map<std::pair<Time, std::string>, int> known;
    for (const Record& each : records) ++known[{each.at, each.body}];
    std::uint64_t random = 11;
    for (int round = 0; round < 10'000; ++round) {
        MemoryFile file = whole;
        const std::size_t first = damage(file, random);
        try {
            const auto got = read(file);
            ASSERT_LE(got.size(), records.size());
            for (const Record& each : got) ASSERT_TRUE(known.count({each.at, each.body})) << round;
            std::size_t before = 0;  // all in blocks before the damage
            Reader clean(whole);
            for (const BlockLocation& block : clean.blocks())
                if (block.offset + block.bytes <= first) before += block.records;
            ASSERT_GE(got.size(), before) << round;
            ASSERT_TRUE(std::equal(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(before), got.begin()))
                << round;
        } catch (const TraceError&) {
            // Only a damaged header, or a block that must not be skipped, stops a reader.
            ASSERT_LT(first, file_header_bytes) << round;
        }
    }
}

TEST(TraceFile, OtherVersionsAndOtherFilesAreRefused) {
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
