// Writes what a Watched controller tells to trace files, on a thread of its own. The deciding thread never waits
// for the disk: past a bound of memory whole batches are dropped, and the trace says how much.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "trace/format.hpp"

namespace plumkeel::trace {

struct RecorderRules {
    std::string folder;  // empty: nothing is recorded
    std::size_t memory_bytes = 64 * 1024 * 1024;
    std::size_t block_bytes = 256 * 1024;
    std::size_t file_bytes = 256 * 1024 * 1024;  // then a new file is begun
    std::size_t keep_files = 16;                 // the oldest beyond these are removed
};

// Kind of the record that tells of a gap: its body is "records bytes" in digits.
constexpr std::uint8_t gap = 3;

class Recorder {
public:
    // Files are folder/name-BEGUN-NUMBER.trace. Throws Fault where the first can't be made.
    Recorder(RecorderRules rules, std::string name, Time begun);
    ~Recorder();  // what was offered is written first
    Recorder(const Recorder&) = delete;

    void offer(const Record& record);  // from the deciding thread
    void flush();                      // hands over what has gathered; call it now and then

    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t written() const { return written_; }
    const std::string& file() const { return first_file_; }

private:
    struct Batch {
        std::vector<Record> records;
        std::size_t bytes{};
    };
    void run();
    void write(const Batch& batch);
    void begin_file();
    void close_file();

    const RecorderRules rules_;
    const std::string name_;
    const Time begun_;
    std::string first_file_;

    Batch gathering_;  // the deciding thread's own
    std::uint64_t gap_records_{}, gap_bytes_{};

    std::mutex lock_;
    std::condition_variable wake_;
    std::deque<Batch> waiting_;
    std::size_t waiting_bytes_{};
    bool ending_{};

    struct File;
    std::unique_ptr<File> at_work_;  // the writing thread's own
    std::uint64_t lost_records_{}, lost_bytes_{};  // not taken by the disk and not told yet
    std::size_t number_{};
    std::deque<std::string> files_;
    std::atomic<std::uint64_t> dropped_{}, written_{};
    std::thread thread_;
};

}  // namespace plumkeel::trace
