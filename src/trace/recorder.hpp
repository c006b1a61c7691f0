// Writes what a Watched controller tells to trace files, on a thread of its own. The deciding thread never waits
// for the disk: past a bound of memory whole batches are dropped, and the trace says how much.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "trace/file.hpp"
#include "trace/sampler.hpp"

namespace plumkeel::trace {

struct RecorderConfig {
    std::string folder;  // empty: nothing is recorded
    std::size_t max_memory_bytes = 64 * 1024 * 1024;
    std::size_t block_bytes = 256 * 1024;
    std::size_t max_file_bytes = 256 * 1024 * 1024;  // then a new file is begun,
    Time max_file_age{};                             // and after so long; 0: by its size only
    std::size_t max_files = 16;                      // the oldest beyond these are removed,
    Time max_age{};                                  // and what ended so long ago; 0: never for its age
    double sample_ratio = 1;                         // the part of the jobs that is kept, beside all that ended badly
    bool record_candidates = false;                  // with the invokers weighed for each job
};

class Recorder {
public:
    // Files are folder/name-BEGUN-NUMBER.trace. Throws Fault where the first can't be made.
    Recorder(RecorderConfig rules, std::string name, Time begun, MakeSink make_sink = {});
    ~Recorder();  // what was offered is written first
    Recorder(const Recorder&) = delete;

    void offer(const Record& record);  // from the deciding thread
    void flush();                      // hands over what has gathered; call it now and then

    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t written() const { return written_; }
    const std::string& file() const { return first_file_; }

private:
    // Records in one piece of memory: the deciding thread allocates once a batch.
    struct Batch {
        struct Entry {
            Time at{};
            std::uint64_t request{};
            std::uint32_t length{};
            std::uint8_t kind{};
        };
        std::vector<Entry> entries;
        std::string bodies;

        void add(const Record& record);
        std::size_t bytes() const { return bodies.size() + entries.size() * sizeof(Entry); }
        void walk(const std::function<void(const Record&)>& each) const;
    };
    struct Written {
        std::string name;
        Time last{};  // since the Unix epoch
    };
    void run();
    void write(const Batch& batch);
    void put(const Record& record);
    void carry(const Record& record);
    void keep_names(const Batch& dropped);
    void hand_over(Batch batch);
    void begin_file(Time at);
    void close_file();
    void remove_old(Time at);

    const RecorderConfig rules_;
    const std::string name_;
    const Time begun_;
    const MakeSink make_sink_;
    std::string first_file_;

    // The deciding thread's own.
    Batch gathering_, names_;  // names_: of batches that were dropped, for the next one
    Gap dropped_here_;

    std::mutex lock_;
    std::condition_variable wake_;
    std::deque<Batch> waiting_;
    std::size_t waiting_bytes_{};
    bool ending_{};

    // The writing thread's own.
    struct File;
    std::unique_ptr<File> at_work_;
    Gap lost_;  // not taken by the disk and not told yet
    std::uint64_t told_{};
    std::size_t number_{};
    std::deque<Written> files_;
    std::optional<Record> settings_;
    std::map<std::uint64_t, Record> functions_, invokers_;  // known now: each file begins with them
    std::optional<Sampler> sampler_;

    std::atomic<std::uint64_t> dropped_{}, written_{};
    std::thread thread_;
};

}  // namespace plumkeel::trace
