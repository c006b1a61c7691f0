/// \file
/// Recorder: rotation, retention, memory bound, and disks that stall, fill up and recover.
#include "trace/recorder.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <set>

#include "tests/memory_file.hpp"
#include "tests/simulated_trace.hpp"
#include "tests/trace_records.hpp"
#include "trace/reader.hpp"
#include "trace/replayer.hpp"

namespace plumkeel::trace {
namespace {

using namespace std::chrono_literals;

/// What all files of a folder hold, in order, without the names that files start with.
std::vector<Record> read_folder(const std::string& folder) {
    std::map<std::string, int> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) names[entry.path()];
    std::vector<Record> out;
    for (const auto& [name, unused] : names) {
        const FileSource source(name);
        Reader(source).for_each(Time::min(), [&](const Record& record) {
            if (record.type == RecordType::gap || record.type > last_name_type) out.push_back(record);
            return true;
        });
    }
    return out;
}

/// Writes to real files.
class RecorderTest : public testing::Test {
protected:
    RecorderTest() { std::filesystem::remove_all(config.folder); }
    ~RecorderTest() override { std::filesystem::remove_all(config.folder); }
    RecorderConfig config{.folder = testing::TempDir() + "plumkeel_traces_" + std::to_string(::getpid())};
};

TEST_F(RecorderTest, WritesAllRecordsOverSeveralFiles) {
    config.max_file_bytes = 100'000;
    const auto records = random_records(100'000);
    {
        Recorder recorder(config, "c", Time(5));
        for (const Record& each : records) recorder.offer(each);
    }
    EXPECT_EQ(read_folder(config.folder), records);
    EXPECT_GT(std::distance(std::filesystem::directory_iterator(config.folder), {}), 2);
}

TEST_F(RecorderTest, BeyondItsMemoryDropsAndCountsWholeBatches) {
    config.max_memory_bytes = 1;  // no batch fits
    const auto records = random_records(10'000);
    std::uint64_t dropped = 0;
    {
        Recorder recorder(config, "c", Time(5));
        for (const Record& each : records) recorder.offer(each);
        recorder.flush();
        dropped = recorder.dropped();
    }
    EXPECT_EQ(dropped, records.size());
    EXPECT_TRUE(read_folder(config.folder).empty());
}

TEST_F(RecorderTest, KeepsTheNewestFilesOverRestarts) {
    config.max_files = 3;
    for (int run = 0; run < 6; ++run) {
        Recorder recorder(config, "c", Time(1'000'000 * (run + 1)));
        recorder.offer({Time(run), 9, 1, "x"});
    }
    const auto got = read_folder(config.folder);
    ASSERT_EQ(got.size(), 3u);
    EXPECT_EQ(got.front().at, Time(3));
}

TEST_F(RecorderTest, WritesAGapForWhatTheDiskDidNotStore) {
    config.max_file_bytes = 1;  // each batch begins a file
    {
        Recorder recorder(config, "c", Time(5));
        auto record_at = [&](int at) {
            const std::uint64_t before = recorder.written() + recorder.dropped();
            recorder.offer({Time(at), 9, 1, "x"});
            recorder.flush();
            while (recorder.written() + recorder.dropped() == before) ::usleep(1000);
        };
        record_at(1);
        std::filesystem::rename(config.folder, config.folder + ".away");
        record_at(2);
        EXPECT_EQ(recorder.dropped(), 1u);
        std::filesystem::rename(config.folder + ".away", config.folder);
        record_at(3);
    }
    const auto got = read_folder(config.folder);
    ASSERT_EQ(got.size(), 3u);
    EXPECT_EQ(got[0].at, Time(1));
    EXPECT_EQ(got[1].type, gap);
    EXPECT_EQ(unpack<Gap>(got[1].body).records, 1u);
    EXPECT_EQ(got[2].at, Time(3));
}

/// A disk that a test can stall or fill. Its files outlive the recorder.
class FakeDisk {
public:
    MakeSink sink_maker() {
        return [this](const std::string& name) {
            const std::lock_guard lock(mutex_);
            files_[name];
            return std::make_unique<FileOnDisk>(*this, name);
        };
    }
    void set_stalled(bool stalled) {
        const std::lock_guard lock(mutex_);
        stalled_ = stalled;
        changed_.notify_all();
    }
    void set_free_bytes(std::size_t bytes) {
        const std::lock_guard lock(mutex_);
        free_bytes_ = bytes;
    }
    void wait_until_a_write_stalls() {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return write_is_stalled_; });
    }
    std::vector<std::vector<Record>> read_files() const {
        std::vector<std::vector<Record>> out;
        for (const auto& [name, bytes] : files_) {
            out.emplace_back();
            if (bytes.empty()) continue;  // not even its header was stored
            const MemoryFile source(bytes);
            Reader(source).for_each(Time::min(), [&](const Record& record) {
                out.back().push_back(record);
                return true;
            });
        }
        return out;
    }

private:
    struct FileOnDisk : Sink {
        FakeDisk& disk;
        std::string name;
        FileOnDisk(FakeDisk& on, std::string called) : disk(on), name(std::move(called)) {}
        void append(std::string_view bytes) override { disk.append(name, bytes); }
    };
    void append(const std::string& name, std::string_view bytes) {
        std::unique_lock lock(mutex_);
        write_is_stalled_ = stalled_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return !stalled_; });
        write_is_stalled_ = false;
        const std::size_t stored = std::min(bytes.size(), free_bytes_);
        files_[name] += bytes.substr(0, stored);  // what still fits is written
        if (free_bytes_ != SIZE_MAX) free_bytes_ -= stored;
        if (stored < bytes.size()) throw TraceError(name + ": no space left");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stalled_{}, write_is_stalled_{};
    std::size_t free_bytes_ = SIZE_MAX;
    std::map<std::string, std::string> files_;
};

RecorderConfig default_config() {
    RecorderConfig out;
    out.folder = testing::TempDir() + "plumkeel_recorder_" + std::to_string(::getpid());
    return out;
}

void wait_until_processed(const Recorder& recorder, std::uint64_t records) {
    while (recorder.written() + recorder.dropped() < records) ::usleep(500);
}

bool all_functions_are_named(const std::vector<Record>& records) {
    std::set<std::uint64_t> functions;
    for (const Record& each : records) {
        if (each.type == RecordType::function_known) functions.insert(unpack<NameRecord>(each.body).number);
        if (each.type == RecordType::submit && !functions.count(unpack<RequestSubmitted>(each.body).function))
            return false;
    }
    return true;
}

// While the disk stalls, offer() returns at once and only the memory bounds what is kept; the trace then continues
// behind a gap, with all names.
TEST(Recorder, StalledDiskCausesAGapAndNoWait) {
    SimulatedTraceOptions options;
    options.requests = 2000;
    const auto records = simulated_trace(options);
    FakeDisk disk;
    RecorderConfig small = default_config();
    small.max_memory_bytes = 200'000;
    std::uint64_t dropped = 0;
    {
        Recorder recorder(small, "c", Time(5), disk.sink_maker());
        recorder.offer(records[0]);
        recorder.flush();
        wait_until_processed(recorder, 1);
        disk.set_stalled(true);
        std::size_t next = 1;
        for (; next < records.size() * 9 / 10; ++next) recorder.offer(records[next]);
        recorder.flush();
        disk.wait_until_a_write_stalls();  // and all of the above was offered meanwhile
        dropped = recorder.dropped();
        disk.set_stalled(false);
        while (recorder.written() + dropped < next) ::usleep(500);
        for (; next < records.size(); ++next) recorder.offer(records[next]);
    }
    EXPECT_GT(dropped, records.size() / 4);
    const auto files = disk.read_files();
    ASSERT_EQ(files.size(), 1u);
    std::uint64_t in_gaps = 0, calls = 0;
    for (const Record& each : files[0]) {
        if (each.type == RecordType::gap) in_gaps += unpack<Gap>(each.body).records;
        calls += each.type >= RecordType::submit;
    }
    EXPECT_EQ(in_gaps, dropped);
    EXPECT_GT(calls, 0u);
    EXPECT_TRUE(all_functions_are_named(files[0]));
    Replayer replayer;
    EXPECT_THROW(
        {
            for (const Record& each : files[0]) replayer.feed(each);
        },
        TraceError);
    EXPECT_FALSE(replayer.compare().first);
}

TEST(Recorder, FullDiskCausesAGapAndALaterFileHasAllNames) {
    const auto records = simulated_trace({});
    FakeDisk disk;
    std::uint64_t dropped = 0;
    {
        Recorder recorder(default_config(), "c", Time(5), disk.sink_maker());
        std::size_t next = 0;
        const auto record_until = [&](std::size_t end) {
            for (; next < end; ++next) recorder.offer(records[next]);
            recorder.flush();
            wait_until_processed(recorder, next);
        };
        record_until(records.size() / 3);
        disk.set_free_bytes(100);
        record_until(records.size() * 2 / 3);
        EXPECT_GT(recorder.dropped(), 0u);
        disk.set_free_bytes(SIZE_MAX);
        record_until(records.size());
        dropped = recorder.dropped();
    }
    std::uint64_t in_gaps = 0;
    for (const auto& file : disk.read_files()) {
        EXPECT_TRUE(all_functions_are_named(file));
        for (const Record& each : file)
            if (each.type == RecordType::gap) in_gaps += unpack<Gap>(each.body).records;
    }
    EXPECT_EQ(in_gaps, dropped);
}

TEST(Recorder, FilesRotateByAgeAndAreReplayedAsOne) {
    const auto records = simulated_trace({});
    FakeDisk disk;
    RecorderConfig by_age = default_config();
    by_age.max_file_age = 1s;
    {
        Recorder recorder(by_age, "c", Time(5), disk.sink_maker());
        for (const Record& each : records) {
            recorder.offer(each);
            if (each.type == RecordType::wake) recorder.flush();
        }
    }
    const auto files = disk.read_files();
    EXPECT_GE(files.size(), 3u);  // about 4.5 s
    Replayer replayer;
    for (const auto& file : files)
        for (const Record& each : file) replayer.feed(each);
    EXPECT_FALSE(replayer.compare().first);
    EXPECT_EQ(replayer.compare().requests, 400u);
    for (std::size_t i = 1; i < files.size(); ++i) {
        EXPECT_EQ(files[i].front().type, RecordType::resumed);
        EXPECT_TRUE(all_functions_are_named(files[i]));
    }
}

TEST(Recorder, FilesAreRemovedByAge) {
    RecorderConfig by_age = default_config();
    std::filesystem::remove_all(by_age.folder);
    by_age.max_file_bytes = 1;  // each batch has its own
    by_age.max_age = 60s;
    const Time start_time = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
    {
        Recorder recorder(by_age, "c", start_time);
        for (int minute = 0; minute < 10; ++minute) {
            recorder.offer({std::chrono::minutes(minute), 200, 1, "x"});
            recorder.flush();
            wait_until_processed(recorder, static_cast<std::uint64_t>(minute) + 1);
        }
    }
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(by_age.folder), {}), 2);
    std::filesystem::remove_all(by_age.folder);
}

}  // namespace
}  // namespace plumkeel::trace
