// Samples on their way to receivers, on disk: a bounded queue that outlives the process (LMDB). What append() has
// taken is there after kill -9; each receiver's place is kept for each part. One thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "remote_write/series.hpp"

namespace plumkeel::remote_write {

struct QueueConfig {
    std::string folder;
    std::size_t max_bytes = 256 * 1024 * 1024;  // of waiting samples, packed; then the oldest are dropped
    std::chrono::milliseconds max_age = std::chrono::hours(6);  // and those older than this
    int shards = 4;
};

struct QueueError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class DurableQueue {
public:
    // Throws SpoolFault where the folder can't be used, or holds samples in another number of parts: a series would
    // change its part, and newer samples overtake older ones. Places of receivers not named are let go of.
    DurableQueue(QueueConfig rules, const std::vector<std::string>& receivers);
    ~DurableQueue();
    DurableQueue(const DurableQueue&) = delete;

    // One scrape; on disk when it returns. Throws SpoolFault where the disk does not take it: nothing of it is kept.
    // After that the next call that writes, or the end, first writes all that is kept anew, into a new file; only if
    // the process is killed before may the next run find the scrape all the same.
    void append(std::int64_t at_ms, const std::vector<Shard>& parts);

    struct Batch {
        std::string bytes;
        std::uint32_t samples{};
        std::uint64_t next{};  // the receiver's place once it has taken these
        std::int64_t oldest_ms{};
    };
    // From the receiver's place on, as many whole scrapes as fit into `most`, at least one; 0 samples: nothing waits.
    // An entry that can't be read counts as dropped.
    Batch read(const std::string& receiver, int part, std::size_t most);
    // The place holds for this process even where it throws: the disk did not take it.
    void advance(const std::string& receiver, int part, std::uint64_t next);

    std::uint64_t waiting(const std::string& receiver) const;  // samples
    std::size_t bytes() const { return bytes_; }
    std::uint64_t dropped() const { return dropped_; }  // samples, over restarts
    std::uint64_t end() const { return end_; }
    std::int64_t newest_ms() const { return newest_ms_; }  // of all that was ever appended

private:
    void write_entry(std::int64_t at_ms, const std::vector<std::pair<std::string, std::string>>& entries);
    void release_below(std::uint64_t sequence, bool dropped);
    // Does the work; where the disk fails the spool is damaged from then on.
    template <class Work>
    void guarded(Work work);
    void repair();

    const QueueConfig config_;
    struct Store;
    std::unique_ptr<Store> store_;
    struct Entry {
        std::int64_t at_ms{};
        std::size_t bytes{};
        std::vector<std::uint32_t> samples;  // by part
    };
    std::map<std::uint64_t, Entry> entries_;  // what waits, by its number
    std::map<std::string, std::vector<std::uint64_t>> positions_;
    std::uint64_t end_{};
    bool damaged_{};  // a write or a sync has failed: what the file holds is not known
    std::size_t bytes_{};
    std::uint64_t dropped_{};
    std::int64_t newest_ms_{};
};

}  // namespace plumkeel::remote_write
