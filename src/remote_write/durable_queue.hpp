/// A bounded queue of samples on disk, on their way to remote write receivers.
///
/// The queue outlives the process: what append() has accepted is there after SIGKILL. Each receiver has a position for
/// each shard, and an entry is released once all receivers have acknowledged it. One thread only.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "remote_write/queue_error.hpp"
#include "remote_write/series_encoder.hpp"

namespace plumkeel::remote_write {

class LmdbStore;
class LmdbTransaction;

struct QueueConfig {
    std::string folder;
    std::size_t max_bytes =
        std::size_t{256} * 1024 * 1024;  ///< of pending samples, compressed; beyond, the oldest are dropped
    std::chrono::milliseconds max_age = std::chrono::hours(6);  ///< samples older than this are dropped
    int shards = 4;
};

class DurableQueue {
public:
    /// Throws QueueError where the folder can't be used, or holds samples in another number of shards: a series would
    /// change its shard, and newer samples overtake older ones. Forgets the positions of receivers not named here.
    DurableQueue(QueueConfig config, const std::vector<std::string>& receivers);
    ~DurableQueue();
    DurableQueue(const DurableQueue&) = delete;

    /// Stores one scrape; it is on disk when this returns. Where the disk fails, throws QueueError and keeps nothing of
    /// the scrape. The next call that writes, or the destructor, then rewrites the queue into a new file; only if the
    /// process is killed before that may the next run find the failed scrape all the same.
    void append(std::int64_t timestamp_ms, const std::vector<Shard>& shards);

    struct Batch {
        std::string bytes;  ///< a serialized WriteRequest
        std::uint32_t samples{};
        std::uint64_t next{};  ///< the receiver's position once it has acknowledged the batch
        std::int64_t oldest_ms{};
    };
    /// The next whole scrapes for the receiver, as many as fit into `max_samples` but at least one. A batch without
    /// samples: nothing is pending. An entry that can't be read counts as dropped.
    Batch read(const std::string& receiver, int shard, std::size_t max_samples);
    /// Acknowledges what is before `next`. Throws QueueError where the disk does not store the position; this process
    /// goes by the new position all the same.
    void advance(const std::string& receiver, int shard, std::uint64_t next);

    /// Samples that the receiver has not acknowledged.
    std::uint64_t pending_samples(const std::string& receiver) const;
    std::size_t bytes() const { return bytes_; }
    /// Samples dropped before a receiver had acknowledged them, over all runs.
    std::uint64_t dropped_samples() const { return dropped_samples_; }
    /// The sequence number of the next scrape.
    std::uint64_t next_sequence() const { return next_sequence_; }
    /// The newest timestamp that was ever appended.
    std::int64_t newest_timestamp_ms() const { return newest_timestamp_ms_; }

private:
    struct Entry {
        std::int64_t timestamp_ms{};
        std::size_t bytes{};
        std::vector<std::uint32_t> samples;  // by shard
    };
    struct EncodedShard {
        std::string key, value;
    };
    enum class ReleaseReason { acknowledged, limit_exceeded };

    void load_entries(LmdbTransaction& transaction);
    void load_positions(LmdbTransaction& transaction, const std::vector<std::string>& receivers);
    void load_metadata(std::string_view key, std::uint64_t value, std::uint64_t& stored_shards);
    Entry make_entry(std::int64_t timestamp_ms, const std::vector<Shard>& shards,
                     std::vector<EncodedShard>& encoded) const;
    std::uint64_t first_to_keep(const Entry& added) const;
    void write_entry(std::int64_t timestamp_ms, const std::vector<EncodedShard>& encoded);
    void release_below(std::uint64_t sequence, ReleaseReason reason);
    void count_dropped(std::uint64_t sequence, std::size_t shard, std::uint32_t samples);
    // Runs `work`; where it throws QueueError, the queue is damaged from then on.
    template <class Work>
    void write(Work work);
    void repair();
    void restore_known_state(LmdbTransaction& transaction);

    const QueueConfig config_;
    std::unique_ptr<LmdbStore> store_;
    std::map<std::uint64_t, Entry> entries_;                       // by sequence number
    std::map<std::string, std::vector<std::uint64_t>> positions_;  // by receiver and shard
    std::uint64_t next_sequence_{};
    bool damaged_{};  // a write or a sync has failed, so that the contents of the file are not known
    std::size_t bytes_{};
    std::uint64_t dropped_samples_{};
    std::int64_t newest_timestamp_ms_{};
};

}  // namespace plumkeel::remote_write
