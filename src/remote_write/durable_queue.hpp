/// A bounded queue on disk for samples that remote write receivers have not acknowledged yet.
///
/// Samples that append() has accepted survive SIGKILL of the process. Each receiver has a position for each shard, and
/// an entry is released once all receivers have acknowledged it. Not thread-safe.
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
        std::size_t{256} * 1024 * 1024;  ///< limit of the compressed pending samples; beyond it the oldest are dropped
    std::chrono::milliseconds max_age = std::chrono::hours(6);  ///< samples older than this are dropped
    int shards = 4;
};

class DurableQueue {
public:
    /// Throws QueueError if the folder can't be used or holds samples in another number of shards: a series would move
    /// to another shard, where newer samples could be sent before older ones. Deletes the positions of receivers that
    /// are not in `receivers`.
    DurableQueue(QueueConfig config, const std::vector<std::string>& receivers);
    ~DurableQueue();
    DurableQueue(const DurableQueue&) = delete;

    /// Stores one scrape, which is on disk when this returns. Throws QueueError if the disk fails, and then keeps no
    /// sample of the scrape. The next call that writes, or the destructor, then rewrites the queue into a new file. If
    /// the process is killed before that, the next run may still find the failed scrape.
    void append(std::int64_t timestamp_ms, const std::vector<Shard>& shards);

    struct Batch {
        std::string bytes;         ///< a serialized WriteRequest message
        std::uint32_t samples{};   ///< number of samples in `bytes`
        std::uint64_t next{};      ///< the receiver's position once it has acknowledged the batch
        std::int64_t oldest_ms{};  ///< timestamp of the first scrape
    };
    /// Reads the scrapes at the receiver's position: as many complete ones as fit into `max_samples`, but at least one.
    /// A batch without samples means that none are pending. The samples of an unreadable entry count as dropped.
    Batch read(const std::string& receiver, int shard, std::size_t max_samples);
    /// Acknowledges all entries before `next_position`. Throws QueueError if the position can't be stored on disk; it
    /// is then still in effect until the process ends.
    void advance(const std::string& receiver, int shard, std::uint64_t next_position);

    /// Number of samples that the receiver has not acknowledged.
    std::uint64_t pending_samples(const std::string& receiver) const;
    std::size_t bytes() const { return bytes_; }
    /// Number of samples dropped before a receiver had acknowledged them, including those of earlier runs.
    std::uint64_t dropped_samples() const { return dropped_samples_; }
    /// The sequence number of the next scrape.
    std::uint64_t next_sequence() const { return next_sequence_; }
    /// The newest timestamp appended so far, in this run or an earlier one.
    std::int64_t newest_timestamp_ms() const { return newest_timestamp_ms_; }

private:
    struct Entry {
        std::int64_t timestamp_ms{};
        std::size_t bytes{};
        std::vector<std::uint32_t> samples;  // number of samples, by shard
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
    std::uint64_t first_sequence_to_keep(const Entry& new_entry) const;
    void write_entry(std::int64_t timestamp_ms, const std::vector<EncodedShard>& encoded);
    void release_below(std::uint64_t sequence, ReleaseReason reason);
    void count_dropped(std::uint64_t sequence, std::size_t shard, std::uint32_t samples);
    // Repairs a damaged queue, then runs `operation`; if that throws QueueError, marks the queue as damaged.
    template <class Operation>
    void write(Operation operation);
    void repair();
    void restore_known_state(LmdbTransaction& transaction);

    const QueueConfig config_;
    std::unique_ptr<LmdbStore> store_;
    std::map<std::uint64_t, Entry> entries_;                       // by sequence number
    std::map<std::string, std::vector<std::uint64_t>> positions_;  // by receiver and shard
    std::uint64_t next_sequence_{};
    bool damaged_{};  // a write or a sync failed, so that the contents of the file are unknown
    std::size_t bytes_{};
    std::uint64_t dropped_samples_{};
    std::int64_t newest_timestamp_ms_{};
};

}  // namespace plumkeel::remote_write
