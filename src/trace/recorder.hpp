/// \file
/// Writes records to trace files on a background thread. The recording thread never waits for the disk: if too many
/// records are queued, whole batches are dropped, and a gap record in the trace counts the missing records.
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
    std::string folder;                               ///< If empty, nothing is recorded.
    std::size_t max_memory_bytes = 64 * 1024 * 1024;  ///< Bound of records queued for writing.
    std::size_t block_bytes = 256 * 1024;
    std::size_t max_file_bytes = 256 * 1024 * 1024;  ///< A new file is started after this size.
    Time max_file_age{};                             ///< A new file is started after this time; 0 for no limit.
    std::size_t max_files = 16;                      ///< If there are more files, the oldest are removed.
    Time max_age{};                                  ///< Files last written longer ago are removed; 0 for no limit.
    double sample_ratio = 1;         ///< Fraction of requests to keep, see Sampler; 1 to keep all records.
    bool record_candidates = false;  ///< Whether to record the invokers considered for each request.
};

class Recorder {
public:
    /// Creates files named folder/name-START-NUMBER.trace, where START is `start_time` in milliseconds since the Unix
    /// epoch. Throws TraceError if the first file cannot be created.
    Recorder(RecorderConfig config, std::string name, Time start_time, SinkFactory make_sink = {});
    /// Writes all queued records and closes the file.
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    /// Adds a record to the current batch, which is queued when it is full. Only for the recording thread.
    void offer(const Record& record);
    /// Queues the current batch even if it is not full. To be called regularly, by the recording thread only.
    void flush();

    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t written() const { return written_; }
    const std::string& file() const { return first_file_; }  ///< Name of this recorder's first file.

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
    void update_repeated_names(const Record& record);
    void keep_names_in(const RecordBatch& dropped);
    void enqueue(RecordBatch batch);
    void open_file(Time at);
    void close_file();
    void remove_old_files(Time now);

    const RecorderConfig config_;
    const std::string name_;
    const Time start_time_;
    const SinkFactory make_sink_;
    std::string first_file_;

    // Used only by the recording thread.
    RecordBatch batch_;
    RecordBatch names_in_dropped_batches_;  // queued before the next batch that is not dropped
    Gap dropped_since_last_gap_;

    std::mutex mutex_;
    std::condition_variable queue_changed_;
    std::deque<RecordBatch> write_queue_;
    std::size_t queued_bytes_{};
    bool stopping_{};

    // Used only by the writing thread.
    std::unique_ptr<OpenFile> open_file_;
    Gap unstored_since_last_gap_;  // records whose writing failed
    std::uint64_t records_written_{};
    std::size_t next_file_number_{};
    std::deque<StoredFile> files_;  // oldest first
    // Repeated at the start of each file: the settings record, and the records that define names, by number.
    std::optional<Record> settings_;
    std::map<std::uint64_t, Record> function_names_, invoker_names_;
    std::optional<Sampler> sampler_;

    std::atomic<std::uint64_t> dropped_{}, written_{};
    std::thread thread_;
};

}  // namespace plumkeel::trace
