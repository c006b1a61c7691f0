// The recorder against disks that stall, fill up and come back, its rotation, and samples of the jobs.
#include "trace/recorder.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <set>

#include "tests/memory_file.hpp"
#include "tests/toy_trace.hpp"
#include "trace/recording_scheduler.hpp"

namespace plumkeel::trace {
namespace {

using namespace std::chrono_literals;

// A disk that the test holds up or fills. Its files outlive the recorder.
struct Disk {
    std::mutex lock;
    std::condition_variable change;
    bool stalled{};
    std::size_t room = SIZE_MAX;
    std::map<std::string, std::string> files;
    bool waiting{};

    struct Sheet : Sink {
        Disk& disk;
        std::string name;
        Sheet(Disk& on, std::string called) : disk(on), name(std::move(called)) {}
        void append(std::string_view bytes) override {
            std::unique_lock held(disk.lock);
            disk.waiting = disk.stalled;
            disk.change.notify_all();
            disk.change.wait(held, [this] { return !disk.stalled; });
            disk.waiting = false;
            const std::size_t taken = std::min(bytes.size(), disk.room);
            disk.files[name] += bytes.substr(0, taken);  // what still fits is written, torn
            if (disk.room != SIZE_MAX) disk.room -= taken;
            if (taken < bytes.size()) throw TraceError(name + ": no space left");
        }
    };
    MakeSink maker() {
        return [this](const std::string& name) {
            const std::lock_guard held(lock);
            files[name];
            return std::make_unique<Sheet>(*this, name);
        };
    }
    void stall(bool on) {
        const std::lock_guard held(lock);
        stalled = on;
        change.notify_all();
    }
    void make_room(std::size_t bytes) {
        const std::lock_guard held(lock);
        room = bytes;
    }
    void until_waiting() {
        std::unique_lock held(lock);
        change.wait(held, [this] { return waiting; });
    }
};

std::vector<std::vector<Record>> read_all(const Disk& disk) {
    std::vector<std::vector<Record>> out;
    for (const auto& [name, bytes] : disk.files) {
        out.emplace_back();
        if (bytes.empty()) continue;  // not even its head was taken
        const MemoryFile source(bytes);
        Reader(source).walk(Time::min(), [&](const Record& record) {
            out.back().push_back(record);
            return true;
        });
    }
    return out;
}

RecorderConfig rules() {
    RecorderConfig out;
    out.folder = testing::TempDir() + "plumkeel_recorder_" + std::to_string(::getpid());
    return out;
}

void until_taken(const Recorder& recorder, std::uint64_t records) {
    while (recorder.written() + recorder.dropped() < records) ::usleep(500);
}

bool names_known(const std::vector<Record>& records) {
    std::set<std::uint64_t> functions;
    for (const Record& each : records) {
        if (each.type == RecordType::function_known) functions.insert(unpack<NameRecord>(each.body).number);
        if (each.type == RecordType::submit && !functions.count(unpack<RequestSubmitted>(each.body).function))
            return false;
    }
    return true;
}

// What is offered while the disk stands still is bounded by the memory and by nothing else: offer() returns at
// once, and the trace goes on behind a gap, with all names.
TEST(Recorder, AStalledDiskCostsAGapAndNoWait) {
    ToyPlay play;
    play.requests = 2000;
    const auto records = toy_trace(play);
    Disk disk;
    RecorderConfig small = rules();
    small.max_memory_bytes = 200'000;
    std::uint64_t dropped = 0;
    {
        Recorder recorder(small, "c", Time(5), disk.maker());
        recorder.offer(records[0]);
        recorder.flush();
        until_taken(recorder, 1);
        disk.stall(true);
        std::size_t next = 1;
        for (; next < records.size() * 9 / 10; ++next) recorder.offer(records[next]);
        recorder.flush();
        disk.until_waiting();  // it stands, and all of the above was offered meanwhile
        dropped = recorder.dropped();
        disk.stall(false);
        while (recorder.written() + dropped < next) ::usleep(500);
        for (; next < records.size(); ++next) recorder.offer(records[next]);
    }
    EXPECT_GT(dropped, records.size() / 4);
    const auto files = read_all(disk);
    ASSERT_EQ(files.size(), 1u);
    std::uint64_t told = 0, calls = 0;
    for (const Record& each : files[0]) {
        if (each.type == RecordType::gap) told += unpack<Gap>(each.body).records;
        calls += each.type >= RecordType::submit;
    }
    EXPECT_EQ(told, dropped);
    EXPECT_GT(calls, 0u);
    EXPECT_TRUE(names_known(files[0]));
    Replayer again;
    EXPECT_THROW(
        {
            for (const Record& each : files[0]) again.feed(each);
        },
        TraceError);
    EXPECT_FALSE(again.compare().first);
}

TEST(Recorder, AFullDiskCostsAGapAndALaterFileKnowsAllNames) {
    const auto records = toy_trace({});
    Disk disk;
    std::uint64_t dropped = 0;
    {
        Recorder recorder(rules(), "c", Time(5), disk.maker());
        std::size_t next = 0;
        const auto give = [&](std::size_t until) {
            for (; next < until; ++next) recorder.offer(records[next]);
            recorder.flush();
            until_taken(recorder, next);
        };
        give(records.size() / 3);
        disk.make_room(100);
        give(records.size() * 2 / 3);
        EXPECT_GT(recorder.dropped(), 0u);
        disk.make_room(SIZE_MAX);
        give(records.size());
        dropped = recorder.dropped();
    }
    std::uint64_t told = 0;
    for (const auto& file : read_all(disk)) {
        EXPECT_TRUE(names_known(file));
        for (const Record& each : file)
            if (each.type == RecordType::gap) told += unpack<Gap>(each.body).records;
    }
    EXPECT_EQ(told, dropped);
}

TEST(Recorder, AFileIsBegunAnewForItsAgeAndEachDecidesOnFromTheLast) {
    const auto records = toy_trace({});
    Disk disk;
    RecorderConfig aged = rules();
    aged.max_file_age = 1s;
    {
        Recorder recorder(aged, "c", Time(5), disk.maker());
        for (const Record& each : records) {
            recorder.offer(each);
            if (each.type == RecordType::wake) recorder.flush();
        }
    }
    const auto files = read_all(disk);
    EXPECT_GE(files.size(), 3u);  // about 4.5 s
    Replayer again;
    for (const auto& file : files)
        for (const Record& each : file) again.feed(each);
    EXPECT_FALSE(again.compare().first);
    EXPECT_EQ(again.compare().requests, 400u);
    for (std::size_t i = 1; i < files.size(); ++i) {
        EXPECT_EQ(files[i].front().type, RecordType::resumed);
        EXPECT_TRUE(names_known(files[i]));
    }
}

TEST(Recorder, FilesAreRemovedForTheirAge) {
    RecorderConfig aged = rules();
    std::filesystem::remove_all(aged.folder);
    aged.max_file_bytes = 1;  // each batch has its own
    aged.max_age = 60s;
    const Time begun = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
    {
        Recorder recorder(aged, "c", begun);
        for (int minute = 0; minute < 10; ++minute) {
            recorder.offer({std::chrono::minutes(minute), 200, 1, "x"});
            recorder.flush();
            until_taken(recorder, static_cast<std::uint64_t>(minute) + 1);
        }
    }
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(aged.folder), {}), 2);
    std::filesystem::remove_all(aged.folder);
}

// ---------------------------------------------------------------- samples

std::map<std::uint64_t, bool> ended_badly(const std::vector<Record>& records) {
    std::map<std::uint64_t, bool> out;
    std::map<std::uint64_t, Time> late;
    for (const Record& each : records) {
        if (each.type == RecordType::submit) {
            const auto told = unpack<RequestSubmitted>(each.body);
            late[each.request] = each.at + (told.request_class == 0 ? Time(1s) : Time(800ms));
            out[each.request] = true;
        }
        if (each.type == RecordType::transition)
            if (const auto told = unpack<TransitionRecord>(each.body); told.to >= RequestState::succeeded)
                out[each.request] = told.to != RequestState::succeeded || each.at > late[each.request];
    }
    return out;
}

TEST(Sampler, KeepsAllThatEndedBadlyAndItsPartOfTheRest) {
    ToyPlay play;
    play.requests = 3000;
    const auto records = toy_trace(play);
    std::map<std::uint64_t, std::size_t> whole, kept;
    for (const Record& each : records)
        if (each.request && each.type != RecordType::actions) ++whole[each.request];
    Sampler sampler(0.1, 1'000'000);
    Time last{};
    const auto emit = [&](const Record& record) {
        EXPECT_GE(record.at, last);  // the file's order
        last = record.at;
        if (record.type == RecordType::sampled_request)
            kept[record.request] = unpack<SampledRequest>(record.body).records.size();
        EXPECT_TRUE(record.type == RecordType::sampled_request || record.request == 0);
        EXPECT_NE(record.type, RecordType::actions);
    };
    for (const Record& each : records) sampler.feed(each, emit);
    sampler.finish(emit);
    std::size_t bad = 0, good = 0;
    for (const auto& [request, badly] : ended_badly(records)) {
        if (badly) {
            ++bad;
            EXPECT_TRUE(kept.count(request)) << request;
        } else {
            good += kept.count(request);
        }
    }
    for (const auto& [request, n] : kept) EXPECT_EQ(n, whole[request]) << request;
    EXPECT_GT(bad, 50u);
    const double rest = static_cast<double>(good) / static_cast<double>(3000 - bad);
    EXPECT_GT(rest, 0.07);
    EXPECT_LT(rest, 0.13);
}

TEST(Sampler, PastItsMemoryTheOldestJobIsToldAsFarAsItIsKnown) {
    Sampler sampler(0, 1000);
    std::vector<std::uint64_t> told;
    const auto emit = [&](const Record& record) {
        if (record.type == RecordType::sampled_request) told.push_back(record.request);
    };
    for (std::uint64_t request = 1; request <= 100; ++request)
        sampler.feed({Time(request), RecordType::submit, request, pack(RequestSubmitted{0, 0, 0, 1, {}, 4s, false})},
                     emit);
    ASSERT_GT(told.size(), 50u);
    EXPECT_EQ(told.front(), 1u);
    sampler.finish(emit);
    EXPECT_EQ(told.size(), 100u);
}

}  // namespace
}  // namespace plumkeel::trace
