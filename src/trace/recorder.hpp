/// \file
/// Writes records to trace files on a thread of its own. The recording thread never waits for the disk: beyond a bound
/// of memory whole batches are dropped, and the trace says how many records are missing.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "trace/file.hpp"
#include "trace/record_batch.hpp"
#include "trace/sampler.hpp"

namespace plumkeel::trace {

struct RecorderConfig {
    std::string folder;                               ///< Empty: nothing is recorded.
    std::size_t max_memory_bytes = 64 * 1024 * 1024;  ///< Of records that wait for the disk.
    std::size_t block_bytes = 256 * 1024;
    std::size_t max_file_bytes = 256 * 1024 * 1024;  ///< A file that has reached this is closed,
    Time max_file_age{};                             ///< or this age; 0 for no bound of age.
    std::size_t max_files = 16;                      ///< The oldest files beyond these are removed,
    Time max_age{};                                  ///< and those last written so long ago; 0 for no bound.
    double sample_ratio = 1;         ///< Share of the requests that is kept, besides all that ended badly.
    bool record_candidates = false;  ///< Record the invokers considered for each request.
};

class Recorder {
public:
    /// Files are called folder/name-START-NUMBER.trace, with the start time in milliseconds. `start_time` is since the
    /// Unix epoch. Throws TraceError if the first file cannot be created.
    Recorder(RecorderConfig config, std::string name, Time start_time, MakeSink make_sink = {});
    /// Writes what was offered first.
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    /// Both are for the recording thread alone. Call flush now and then: it hands over a batch that is not full.
    void offer(const Record& record);
    void flush();

    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t written() const { return written_; }
    const std::string& file() const { return first_file_; }  ///< The first one of this recorder.

private:
    struct StoredFile {
        std::string name;
        Time last_written{};  // since the Unix epoch
    };
    struct OpenFile;

    void find_earlier_files();
    void run();
    void write(const RecordBatch& batch);
    void write_record(const Record& record);
    void track_name(const Record& record);
    void keep_names_of(const RecordBatch& dropped);
    void enqueue(RecordBatch batch);
    void open_file(Time at);
    void close_file();
    void remove_old_files(Time now);

    const RecorderConfig config_;
    const std::string name_;
    const Time start_time_;
    const MakeSink make_sink_;
    std::string first_file_;

    // Used by the recording thread alone.
    RecordBatch batch_;
    RecordBatch names_of_dropped_;  // to be written with the next batch that is not dropped
    Gap dropped_since_last_;

    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<RecordBatch> queue_;
    std::size_t queued_bytes_{};
    bool stopping_{};

    // Used by the writing thread alone.
    std::unique_ptr<OpenFile> open_file_;
    Gap lost_;  // what the disk did not store, until a gap is written
    std::uint64_t records_written_{};
    std::size_t next_file_number_{};
    std::deque<StoredFile> files_;  // oldest first
    // Each file starts with these: the settings, and the names that are known.
    std::optional<Record> settings_;
    std::map<std::uint64_t, Record> functions_, invokers_;
    std::optional<Sampler> sampler_;

    std::atomic<std::uint64_t> dropped_{}, written_{};
    std::thread thread_;
};

}  // namespace plumkeel::trace
