/// \file
/// Tests of Recorder: file rotation and removal, memory limit, and disks that stall, fill up and recover.
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

/// Returns the records of all files in a folder, in order, without records that define names or settings.
std::vector<Record> read_folder(const std::string& folder) {
    std::map<std::string, int> file_names;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) file_names[entry.path()];
    std::vector<Record> records;
    for (const auto& [name, unused] : file_names) {
        const FileSource source(name);
        Reader(source).for_each(Time::min(), [&](const Record& record) {
            if (record.type == RecordType::gap || record.type > last_name_type) records.push_back(record);
            return true;
        });
    }
    return records;
}

/// Records to files in a temporary folder.
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

TEST_F(RecorderTest, DropsAndCountsWholeBatchesBeyondMemoryLimit) {
    config.max_memory_bytes = 1;  // less than the size of any batch
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

TEST_F(RecorderTest, KeepsNewestFilesAcrossRestarts) {
    config.max_files = 3;
    for (int run = 0; run < 6; ++run) {
        Recorder recorder(config, "c", Time(1'000'000 * (run + 1)));
        recorder.offer({Time(run), 9, 1, "x"});
    }
    const auto read_back = read_folder(config.folder);
    ASSERT_EQ(read_back.size(), 3u);
    EXPECT_EQ(read_back.front().at, Time(3));
}

TEST_F(RecorderTest, WritesGapRecordAfterFailedWrites) {
    config.max_file_bytes = 1;  // each batch starts a new file
    {
        Recorder recorder(config, "c", Time(5));
        auto offer_and_wait = [&](int at) {
            const std::uint64_t processed_before = recorder.written() + recorder.dropped();
            recorder.offer({Time(at), 9, 1, "x"});
            recorder.flush();
            while (recorder.written() + recorder.dropped() == processed_before) ::usleep(1000);
        };
        offer_and_wait(1);
        std::filesystem::rename(config.folder, config.folder + ".away");
        offer_and_wait(2);
        EXPECT_EQ(recorder.dropped(), 1u);
        std::filesystem::rename(config.folder + ".away", config.folder);
        offer_and_wait(3);
    }
    const auto read_back = read_folder(config.folder);
    ASSERT_EQ(read_back.size(), 3u);
    EXPECT_EQ(read_back[0].at, Time(1));
    EXPECT_EQ(read_back[1].type, gap);
    EXPECT_EQ(unpack<Gap>(read_back[1].body).records, 1u);
    EXPECT_EQ(read_back[2].at, Time(3));
}

/// A simulated disk whose writes can be blocked or fail. Its files stay readable when the recorder is destroyed.
class FakeDisk {
public:
    SinkFactory sink_factory() {
        return [this](const std::string& name) {
            const std::lock_guard lock(mutex_);
            files_[name];
            return std::make_unique<FakeFile>(*this, name);
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
            if (bytes.empty()) continue;  // the disk was full when the file header was written
            const MemoryFile source(bytes);
            Reader(source).for_each(Time::min(), [&](const Record& record) {
                out.back().push_back(record);
                return true;
            });
        }
        return out;
    }

private:
    struct FakeFile : Sink {
        FakeDisk& disk;
        std::string name;
        FakeFile(FakeDisk& owner, std::string file_name) : disk(owner), name(std::move(file_name)) {}
        void append(std::string_view bytes) override { disk.append(name, bytes); }
    };
    void append(const std::string& name, std::string_view bytes) {
        std::unique_lock lock(mutex_);
        write_is_stalled_ = stalled_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return !stalled_; });
        write_is_stalled_ = false;
        const std::size_t stored = std::min(bytes.size(), free_bytes_);
        files_[name] += bytes.substr(0, stored);  // a full disk stores the first part of a write
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
        if (each.type == RecordType::function_defined) functions.insert(unpack<NameRecord>(each.body).number);
        if (each.type == RecordType::submit && !functions.count(unpack<RequestSubmitted>(each.body).function))
            return false;
    }
    return true;
}

// offer() must not wait for a stalled disk. Records beyond the memory limit are dropped, and the trace continues with a
// gap record and the names defined in the dropped records.
TEST(Recorder, StalledDiskCausesGapWithoutBlocking) {
    SimulatedTraceOptions options;
    options.requests = 2000;
    const auto records = simulated_trace(options);
    FakeDisk disk;
    RecorderConfig small_memory_config = default_config();
    small_memory_config.max_memory_bytes = 200'000;
    std::uint64_t dropped = 0;
    {
        Recorder recorder(small_memory_config, "c", Time(5), disk.sink_factory());
        recorder.offer(records[0]);
        recorder.flush();
        wait_until_processed(recorder, 1);
        disk.set_stalled(true);
        std::size_t next = 1;
        for (; next < records.size() * 9 / 10; ++next) recorder.offer(records[next]);
        recorder.flush();
        disk.wait_until_a_write_stalls();  // all offer() calls above returned while the disk was stalled
        dropped = recorder.dropped();
        disk.set_stalled(false);
        while (recorder.written() + dropped < next) ::usleep(500);
        for (; next < records.size(); ++next) recorder.offer(records[next]);
    }
    EXPECT_GT(dropped, records.size() / 4);
    const auto files = disk.read_files();
    ASSERT_EQ(files.size(), 1u);
    std::uint64_t records_in_gaps = 0, scheduler_call_records = 0;
    for (const Record& each : files[0]) {
        if (each.type == RecordType::gap) records_in_gaps += unpack<Gap>(each.body).records;
        scheduler_call_records += each.type >= RecordType::submit;
    }
    EXPECT_EQ(records_in_gaps, dropped);
    EXPECT_GT(scheduler_call_records, 0u);
    EXPECT_TRUE(all_functions_are_named(files[0]));
    Replayer replayer;
    EXPECT_THROW(
        {
            for (const Record& each : files[0]) replayer.feed(each);
        },
        TraceError);
    EXPECT_FALSE(replayer.compare().first);
}

TEST(Recorder, FullDiskCausesGapAndNextFileHasAllNames) {
    const auto records = simulated_trace({});
    FakeDisk disk;
    std::uint64_t dropped = 0;
    {
        Recorder recorder(default_config(), "c", Time(5), disk.sink_factory());
        std::size_t next = 0;
        const auto offer_until = [&](std::size_t end) {
            for (; next < end; ++next) recorder.offer(records[next]);
            recorder.flush();
            wait_until_processed(recorder, next);
        };
        offer_until(records.size() / 3);
        disk.set_free_bytes(100);
        offer_until(records.size() * 2 / 3);
        EXPECT_GT(recorder.dropped(), 0u);
        disk.set_free_bytes(SIZE_MAX);
        offer_until(records.size());
        dropped = recorder.dropped();
    }
    std::uint64_t records_in_gaps = 0;
    for (const auto& file : disk.read_files()) {
        EXPECT_TRUE(all_functions_are_named(file));
        for (const Record& each : file)
            if (each.type == RecordType::gap) records_in_gaps += unpack<Gap>(each.body).records;
    }
    EXPECT_EQ(records_in_gaps, dropped);
}

TEST(Recorder, FilesRotateByAgeAndAreReplayedAsOne) {
    const auto records = simulated_trace({});
    FakeDisk disk;
    RecorderConfig age_limited_config = default_config();
    age_limited_config.max_file_age = 1s;
    {
        Recorder recorder(age_limited_config, "c", Time(5), disk.sink_factory());
        for (const Record& each : records) {
            recorder.offer(each);
            if (each.type == RecordType::wake) recorder.flush();
        }
    }
    const auto files = disk.read_files();
    EXPECT_GE(files.size(), 3u);  // the records cover about 4.5 s
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
    RecorderConfig age_limited_config = default_config();
    std::filesystem::remove_all(age_limited_config.folder);
    age_limited_config.max_file_bytes = 1;  // each batch has its own file
    age_limited_config.max_age = 60s;
    const Time start_time = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
    {
        Recorder recorder(age_limited_config, "c", start_time);
        for (int minute = 0; minute < 10; ++minute) {
            recorder.offer({std::chrono::minutes(minute), 200, 1, "x"});
            recorder.flush();
            wait_until_processed(recorder, static_cast<std::uint64_t>(minute) + 1);
        }
    }
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(age_limited_config.folder), {}), 2);
    std::filesystem::remove_all(age_limited_config.folder);
}

}  // namespace
}  // namespace plumkeel::trace
