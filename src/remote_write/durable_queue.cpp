#include "remote_write/durable_queue.hpp"

#include <algorithm>
#include <optional>

#include "remote_write/lmdb_store.hpp"
#include "remote_write/queue_format.hpp"

namespace plumkeel::remote_write {
namespace {

namespace metadata_key = queue_format::metadata_key;

void put_number(LmdbTransaction& transaction, std::string_view key, std::uint64_t number) {
    transaction.put(LmdbTable::positions, key, queue_format::encode_number(number));
}

void put_position(LmdbTransaction& transaction, const std::string& receiver, std::size_t shard,
                  std::uint64_t position) {
    put_number(transaction, queue_format::encode_position_key(receiver, shard), position);
}

}  // namespace

// ---------------------------------------------------------------- opening and loading

DurableQueue::DurableQueue(QueueConfig config, const std::vector<std::string>& receivers)
    : config_(std::move(config)), store_(std::make_unique<LmdbStore>(config_.folder, config_.max_bytes)) {
    LmdbTransaction transaction(*store_, LmdbAccess::read_write);
    transaction.open_tables(true);
    load_entries(transaction);
    load_positions(transaction, receivers);
    transaction.commit();
}

void DurableQueue::load_entries(LmdbTransaction& transaction) {
    transaction.for_each(LmdbTable::entries, [&](std::string_view key_bytes, std::string_view value) {
        const auto key = queue_format::decode_entry_key(key_bytes);
        const auto header = queue_format::decode_entry_header(value);
        if (!key || !header) return;
        Entry& entry = entries_[key->sequence];
        entry.timestamp_ms = header->timestamp_ms;
        entry.samples.resize(std::max(key->shard + 1, static_cast<std::size_t>(config_.shards)));
        entry.samples[key->shard] = header->samples;
        entry.bytes += value.size();
        bytes_ += value.size();
        next_sequence_ = std::max(next_sequence_, key->sequence + 1);
    });
}

void DurableQueue::load_positions(LmdbTransaction& transaction, const std::vector<std::string>& receivers) {
    for (const std::string& name : receivers) positions_[name].assign(static_cast<std::size_t>(config_.shards), 0);
    std::vector<std::string> unknown_keys;
    std::uint64_t stored_shards = 0;
    transaction.for_each(LmdbTable::positions, [&](std::string_view key, std::string_view value) {
        const auto number = queue_format::decode_number(value);
        if (!number) return;
        const auto position_key = queue_format::decode_position_key(key);
        if (!position_key) return load_metadata(key, *number, stored_shards);
        const auto it = positions_.find(position_key->receiver);
        if (it == positions_.end() || position_key->shard >= it->second.size())
            unknown_keys.emplace_back(key);
        else
            it->second[position_key->shard] = *number;
    });
    const auto shards = static_cast<std::uint64_t>(config_.shards);
    if (stored_shards != 0 && stored_shards != shards && !entries_.empty())
        throw QueueError(config_.folder + ": holds samples in " + std::to_string(stored_shards) +
                         " shards: start with that number of shards until they are sent, or set another folder");
    put_number(transaction, metadata_key::shards, shards);
    for (const std::string& key : unknown_keys) transaction.erase(LmdbTable::positions, key);
}

void DurableQueue::load_metadata(std::string_view key, std::uint64_t value, std::uint64_t& stored_shards) {
    if (key == metadata_key::next_sequence) next_sequence_ = std::max(next_sequence_, value);
    if (key == metadata_key::dropped_samples) dropped_samples_ = value;
    if (key == metadata_key::newest_timestamp_ms) newest_timestamp_ms_ = static_cast<std::int64_t>(value);
    if (key == metadata_key::shards) stored_shards = value;
}

DurableQueue::~DurableQueue() {
    try {
        if (damaged_) repair();
    } catch (const QueueError&) {  // NOLINT(bugprone-empty-catch): a destructor must not throw
        // The disk still fails: the next run may find a scrape although its append() failed.
    }
    store_->sync_before_close();
}

// ---------------------------------------------------------------- failed writes

template <class Operation>
void DurableQueue::write(Operation operation) {
    if (damaged_) repair();
    try {
        operation();
    } catch (const QueueError&) {
        damaged_ = true;
        throw;
    }
}

// Rebuilds the queue's file after a failed write or sync. After a failed sync the kernel may treat pages as clean that
// never reached the disk, and after a failed write of its meta page LMDB refuses all operations. So the environment is
// reopened, corrected to match the state in memory, and copied into a new file.
void DurableQueue::repair() {
    store_->reopen();
    {
        LmdbTransaction transaction(*store_, LmdbAccess::read_write);
        restore_known_state(transaction);
        transaction.commit();
    }
    store_->rewrite();
    store_->reopen();
    damaged_ = false;
}

void DurableQueue::restore_known_state(LmdbTransaction& transaction) {
    std::vector<std::string> unknown_keys;  // keys of scrapes that were released or whose append() failed
    transaction.for_each(LmdbTable::entries, [&](std::string_view key_bytes, std::string_view) {
        const auto key = queue_format::decode_entry_key(key_bytes);
        if (!key || !entries_.contains(key->sequence)) unknown_keys.emplace_back(key_bytes);
    });
    for (const std::string& key : unknown_keys) transaction.erase(LmdbTable::entries, key);
    put_number(transaction, metadata_key::next_sequence, next_sequence_);
    put_number(transaction, metadata_key::newest_timestamp_ms, static_cast<std::uint64_t>(newest_timestamp_ms_));
    put_number(transaction, metadata_key::dropped_samples, dropped_samples_);
    for (const auto& [receiver, positions] : positions_)
        for (std::size_t shard = 0; shard < positions.size(); ++shard)
            put_position(transaction, receiver, shard, positions[shard]);
}

// ---------------------------------------------------------------- appending

void DurableQueue::append(std::int64_t timestamp_ms, const std::vector<Shard>& shards) {
    std::vector<EncodedShard> encoded;
    Entry entry = make_entry(timestamp_ms, shards, encoded);
    const std::uint64_t keep_from = first_sequence_to_keep(entry);
    write([&] {
        release_below(keep_from, ReleaseReason::limit_exceeded);
        write_entry(timestamp_ms, encoded);
    });
    bytes_ += entry.bytes;
    newest_timestamp_ms_ = timestamp_ms;
    entries_.emplace(next_sequence_++, std::move(entry));
}

DurableQueue::Entry DurableQueue::make_entry(std::int64_t timestamp_ms, const std::vector<Shard>& shards,
                                             std::vector<EncodedShard>& encoded) const {
    Entry entry{timestamp_ms, 0, std::vector<std::uint32_t>(static_cast<std::size_t>(config_.shards))};
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        if (shards[shard].samples == 0) continue;
        std::string value = queue_format::encode_entry(timestamp_ms, shards[shard]);
        entry.samples[shard] = shards[shard].samples;
        entry.bytes += value.size();
        encoded.push_back({queue_format::encode_entry_key({next_sequence_, shard}), std::move(value)});
    }
    return entry;
}

// Returns the sequence number of the oldest entry that may stay when `new_entry` is appended, by the limits of size and
// age.
std::uint64_t DurableQueue::first_sequence_to_keep(const Entry& new_entry) const {
    std::size_t total = bytes_ + new_entry.bytes;
    for (const auto& [sequence, entry] : entries_) {
        if (total <= config_.max_bytes && entry.timestamp_ms + config_.max_age.count() >= new_entry.timestamp_ms)
            return sequence;
        total -= entry.bytes;
    }
    return next_sequence_;
}

void DurableQueue::write_entry(std::int64_t timestamp_ms, const std::vector<EncodedShard>& encoded) {
    LmdbTransaction transaction(*store_, LmdbAccess::read_write);
    for (const EncodedShard& shard : encoded) transaction.put(LmdbTable::entries, shard.key, shard.value);
    put_number(transaction, metadata_key::next_sequence, next_sequence_ + 1);
    put_number(transaction, metadata_key::newest_timestamp_ms, static_cast<std::uint64_t>(timestamp_ms));
    transaction.commit();
    store_->sync();
}

// ---------------------------------------------------------------- reading and acknowledging

DurableQueue::Batch DurableQueue::read(const std::string& receiver, int shard, std::size_t max_samples) {
    const auto shard_index = static_cast<std::size_t>(shard);
    Batch batch;
    batch.next = positions_.at(receiver)[shard_index];
    // A file whose last write failed can still be read, so sending goes on while the disk refuses writes.
    if (damaged_ && !store_->can_read()) repair();
    LmdbTransaction transaction(*store_, LmdbAccess::read_only);
    for (auto it = entries_.lower_bound(batch.next); it != entries_.end(); ++it) {
        const auto& [sequence, entry] = *it;
        const std::uint32_t samples = entry.samples[shard_index];
        if (batch.samples > 0 && batch.samples + samples > max_samples) break;
        batch.next = sequence + 1;
        if (samples == 0) continue;
        const auto value = transaction.get(LmdbTable::entries, queue_format::encode_entry_key({sequence, shard_index}));
        const std::optional<std::string> bytes = value ? queue_format::decompress_entry(*value) : std::nullopt;
        if (!bytes) {
            dropped_samples_ += samples;
            continue;
        }
        if (batch.samples == 0) batch.oldest_ms = entry.timestamp_ms;
        batch.bytes += *bytes;
        batch.samples += samples;
    }
    return batch;
}

void DurableQueue::advance(const std::string& receiver, int shard, std::uint64_t next_position) {
    const auto shard_index = static_cast<std::size_t>(shard);
    std::uint64_t& position = positions_.at(receiver)[shard_index];
    if (next_position <= position) return;
    position = next_position;
    write([&] {
        LmdbTransaction transaction(*store_, LmdbAccess::read_write);
        put_position(transaction, receiver, shard_index, position);
        transaction.commit();
    });
    std::uint64_t acknowledged_by_all = next_sequence_;
    for (const auto& [name, positions] : positions_)
        for (const std::uint64_t shard_position : positions)
            acknowledged_by_all = std::min(acknowledged_by_all, shard_position);
    write([&] { release_below(acknowledged_by_all, ReleaseReason::acknowledged); });
}

void DurableQueue::release_below(std::uint64_t sequence, ReleaseReason reason) {
    if (entries_.empty() || entries_.begin()->first >= sequence) return;
    LmdbTransaction transaction(*store_, LmdbAccess::read_write);
    while (!entries_.empty() && entries_.begin()->first < sequence) {
        const auto& [oldest_sequence, entry] = *entries_.begin();
        for (std::size_t shard = 0; shard < entry.samples.size(); ++shard) {
            if (entry.samples[shard] == 0) continue;
            transaction.erase(LmdbTable::entries, queue_format::encode_entry_key({oldest_sequence, shard}));
            if (reason == ReleaseReason::limit_exceeded) count_dropped(oldest_sequence, shard, entry.samples[shard]);
        }
        bytes_ -= entry.bytes;
        entries_.erase(entries_.begin());
    }
    if (reason == ReleaseReason::limit_exceeded)
        put_number(transaction, metadata_key::dropped_samples, dropped_samples_);
    transaction.commit();
}

// Adds `samples` to the dropped samples once for each receiver that has not acknowledged them.
void DurableQueue::count_dropped(std::uint64_t sequence, std::size_t shard, std::uint32_t samples) {
    for (const auto& [receiver, positions] : positions_)
        if (positions[shard] <= sequence) dropped_samples_ += samples;
}

std::uint64_t DurableQueue::pending_samples(const std::string& receiver) const {
    const std::vector<std::uint64_t>& positions = positions_.at(receiver);
    std::uint64_t total = 0;
    for (const auto& [sequence, entry] : entries_)
        for (std::size_t shard = 0; shard < positions.size(); ++shard)
            if (positions[shard] <= sequence) total += entry.samples[shard];
    return total;
}

}  // namespace plumkeel::remote_write
