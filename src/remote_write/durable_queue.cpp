#include "remote_write/durable_queue.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <unistd.h>
#include <zstd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

namespace plumkeel::remote_write {
namespace {

void check(int rc, const char* what) {
    if (rc != MDB_SUCCESS) throw QueueError(std::string(what) + ": " + mdb_strerror(rc));
}

void put_number(std::string& out, std::uint64_t value) {
    for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
}

std::uint64_t get_number(std::string_view in, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i) value = value << 8 | static_cast<unsigned char>(in[at + i]);
    return value;
}

std::string key_of(std::uint64_t sequence, int part) {
    std::string key;
    put_number(key, sequence);
    key.push_back(static_cast<char>(part));
    return key;
}

MDB_val value_of(std::string_view text) {
    return {text.size(), const_cast<char*>(text.data())};
}

std::string_view text_of(const MDB_val& value) {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

// An entry: moment, number of samples, size when unpacked, then a zstd frame.
constexpr std::size_t entry_head = 24;
constexpr std::size_t largest_entry = 256 * 1024 * 1024;  // a head that claims more is damage

bool unpack(std::string_view entry, std::string& raw) {
    if (entry.size() < entry_head || get_number(entry, 16) > largest_entry) return false;
    raw.resize(get_number(entry, 16));
    return ZSTD_decompress(raw.data(), raw.size(), entry.data() + entry_head, entry.size() - entry_head) == raw.size();
}

}  // namespace

struct DurableQueue::Store {
    const std::string folder;
    const std::size_t most_bytes;
    MDB_env* env{};
    MDB_dbi entries{}, places{};

    explicit Store(const QueueConfig& rules) : folder(rules.folder), most_bytes(rules.max_bytes) {
        std::error_code error;
        std::filesystem::create_directories(folder, error);
        open();
    }
    void open() {
        check(mdb_env_create(&env), "the spool");
        mdb_env_set_maxdbs(env, 2);
        // Twice what may wait, and room for pages that a write keeps until it is done.
        check(mdb_env_set_mapsize(env, std::max<std::size_t>(most_bytes * 2, 8 * 1024 * 1024) / 4096 * 4096),
              "the spool's size");
        // Places need no sync of their own: one that is lost with the machine means samples sent again. What append()
        // takes is synced there.
        if (const int rc = mdb_env_open(env, folder.c_str(), MDB_NOSYNC, 0640)) {
            close();
            throw QueueError(folder + ": " + mdb_strerror(rc));
        }
    }
    void close() {
        if (env) mdb_env_close(std::exchange(env, nullptr));
    }
    ~Store() { close(); }

    struct Txn {
        MDB_txn* txn{};
        Txn(MDB_env* env, unsigned flags) { check(mdb_txn_begin(env, nullptr, flags, &txn), "the spool"); }
        ~Txn() {
            if (txn) mdb_txn_abort(txn);
        }
        Txn(const Txn&) = delete;
        void commit() { check(mdb_txn_commit(std::exchange(txn, nullptr)), "the spool does not take it"); }
    };

    void put(Txn& txn, MDB_dbi where, std::string_view key, std::string_view value) {
        MDB_val k = value_of(key), v = value_of(value);
        check(mdb_put(txn.txn, where, &k, &v, 0), "the spool does not take it");
    }
    void put_figure(Txn& txn, std::string_view key, std::uint64_t figure) {
        std::string value;
        put_number(value, figure);
        put(txn, places, key, value);
    }
    void put_place(Txn& txn, const std::string& receiver, int part, std::uint64_t place) {
        put_figure(txn, receiver + '\0' + std::to_string(part), place);
    }

    bool can_read() const {
        MDB_txn* txn = nullptr;
        if (!env || mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn) != MDB_SUCCESS) return false;
        mdb_txn_abort(txn);
        return true;
    }

    // Opens the databases in a transaction, which makes them if it may and they are not there yet.
    void open_tables(Txn& txn, unsigned flags) {
        check(mdb_dbi_open(txn.txn, "entries", flags, &entries), "the spool's entries");
        check(mdb_dbi_open(txn.txn, "places", flags, &places), "the spool's places");
    }

    // In a transaction of their own: one that is aborted takes the handles opened in it along.
    void open_again() {
        close();
        open();
        Txn txn(env, MDB_RDONLY);
        open_tables(txn, 0);
        txn.commit();
    }

    // Writes the whole database into a new file, which is on disk when it takes the old one's place.
    void write_anew() {
        const std::filesystem::path now = std::filesystem::path(folder) / "data.mdb", fresh = now.string() + ".new";
        const Descriptor file(::open(fresh.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0640));
        if (file.number < 0) throw QueueError(fresh.string() + ": " + std::strerror(errno));
        check(mdb_env_copyfd2(env, file.number, MDB_CP_COMPACT), "the spool can't be written anew");
        sync(file, fresh);
        close();
        std::error_code error;
        std::filesystem::rename(fresh, now, error);
        if (error) throw QueueError(now.string() + ": " + error.message());
        sync(Descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)), folder);
    }

    struct Descriptor {
        explicit Descriptor(int it) : number(it) {}
        ~Descriptor() {
            if (number >= 0) ::close(number);
        }
        Descriptor(const Descriptor&) = delete;
        const int number;
    };
    static void sync(const Descriptor& file, const std::filesystem::path& path) {
        if (file.number < 0 || ::fsync(file.number) != 0) throw QueueError(path.string() + ": " + std::strerror(errno));
    }
};

DurableQueue::DurableQueue(QueueConfig rules, const std::vector<std::string>& receivers)
    : config_(std::move(rules)), store_(std::make_unique<Store>(config_)) {
    Store::Txn txn(store_->env, 0);
    store_->open_tables(txn, MDB_CREATE);
    MDB_cursor* cursor{};
    MDB_val key, value;
    check(mdb_cursor_open(txn.txn, store_->entries, &cursor), "the spool's entries");
    while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == MDB_SUCCESS) {
        const std::string_view k = text_of(key), v = text_of(value);
        if (k.size() != 9 || v.size() < entry_head) continue;
        const auto sequence = get_number(k, 0);
        const auto part = static_cast<std::size_t>(static_cast<unsigned char>(k[8]));
        Entry& scrape = entries_[sequence];
        scrape.at_ms = static_cast<std::int64_t>(get_number(v, 0));
        scrape.samples.resize(std::max<std::size_t>(part + 1, static_cast<std::size_t>(config_.shards)));
        scrape.samples[part] = static_cast<std::uint32_t>(get_number(v, 8));
        scrape.bytes += v.size();
        bytes_ += v.size();
        end_ = std::max(end_, sequence + 1);
    }
    mdb_cursor_close(cursor);
    for (const std::string& name : receivers) positions_[name].assign(static_cast<std::size_t>(config_.shards), 0);
    std::vector<std::string> strangers;
    std::uint64_t wrong_parts = 0;
    check(mdb_cursor_open(txn.txn, store_->places, &cursor), "the spool's places");
    while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == MDB_SUCCESS) {
        const std::string_view k = text_of(key);
        const auto split = k.find('\0');
        if (value.mv_size != 8) continue;
        const std::uint64_t number = get_number(text_of(value), 0);
        if (split == std::string_view::npos) {
            if (k == "end") end_ = std::max(end_, number);
            if (k == "dropped") dropped_ = number;
            if (k == "newest") newest_ms_ = static_cast<std::int64_t>(number);
            if (k == "parts" && number != static_cast<std::uint64_t>(config_.shards) && !entries_.empty())
                wrong_parts = number;
            continue;
        }
        const auto it = positions_.find(std::string(k.substr(0, split)));
        const auto part = static_cast<std::size_t>(std::atoi(std::string(k.substr(split + 1)).c_str()));
        if (it == positions_.end() || part >= it->second.size())
            strangers.emplace_back(k);
        else
            it->second[part] = number;
    }
    mdb_cursor_close(cursor);
    if (wrong_parts)
        throw QueueError(config_.folder + ": holds samples in " + std::to_string(wrong_parts) +
                         " parts: send them with that number, or take another folder");
    store_->put_figure(txn, "parts", static_cast<std::uint64_t>(config_.shards));
    for (const std::string& each : strangers) {
        MDB_val k = value_of(each);
        mdb_del(txn.txn, store_->places, &k, nullptr);
    }
    txn.commit();
}

DurableQueue::~DurableQueue() {
    try {
        if (damaged_) repair();
    } catch (const QueueError&) {
        // The disk still fails: the next run may find a scrape that was not taken.
    }
    if (store_->env) mdb_env_sync(store_->env, 1);
}

template <class Work>
void DurableQueue::guarded(Work work) {
    if (damaged_) repair();
    try {
        work();
    } catch (const QueueError&) {
        damaged_ = true;
        throw;
    }
}

// After a sync that failed the kernel may count pages as clean that never reached the disk, and LMDB itself refuses all
// work after a failed write of its meta page. So it is opened anew, brought in line with what is known here, and
// written whole into a new file.
void DurableQueue::repair() {
    store_->open_again();
    {
        Store::Txn txn(store_->env, 0);
        MDB_cursor* cursor{};
        MDB_val key, value;
        std::vector<std::string> strangers;  // of a scrape that was not taken, or was let go of
        check(mdb_cursor_open(txn.txn, store_->entries, &cursor), "the spool's entries");
        while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == MDB_SUCCESS) {
            const std::string_view k = text_of(key);
            if (k.size() != 9 || !entries_.count(get_number(k, 0))) strangers.emplace_back(k);
        }
        mdb_cursor_close(cursor);
        for (const std::string& each : strangers) {
            MDB_val k = value_of(each);
            mdb_del(txn.txn, store_->entries, &k, nullptr);
        }
        store_->put_figure(txn, "end", end_);
        store_->put_figure(txn, "newest", static_cast<std::uint64_t>(newest_ms_));
        store_->put_figure(txn, "dropped", dropped_);
        for (const auto& [name, all] : positions_)
            for (std::size_t part = 0; part < all.size(); ++part)
                store_->put_place(txn, name, static_cast<int>(part), all[part]);
        txn.commit();
    }
    store_->write_anew();
    store_->open_again();
    damaged_ = false;
}

void DurableQueue::append(std::int64_t at_ms, const std::vector<Shard>& parts) {
    Entry scrape{at_ms, 0, std::vector<std::uint32_t>(static_cast<std::size_t>(config_.shards))};
    std::vector<std::pair<std::string, std::string>> entries;
    for (std::size_t part = 0; part < parts.size(); ++part) {
        if (parts[part].samples == 0) continue;
        std::string packed(ZSTD_compressBound(parts[part].bytes.size()), '\0');
        packed.resize(
            ZSTD_compress(packed.data(), packed.size(), parts[part].bytes.data(), parts[part].bytes.size(), 1));
        std::string value;
        put_number(value, static_cast<std::uint64_t>(at_ms));
        put_number(value, parts[part].samples);
        put_number(value, parts[part].bytes.size());
        value += packed;
        scrape.samples[part] = parts[part].samples;
        scrape.bytes += value.size();
        entries.emplace_back(key_of(end_, static_cast<int>(part)), std::move(value));
    }
    // Room first: the oldest go, whoever still wanted them.
    std::uint64_t keep_from = end_;
    std::size_t total = bytes_ + scrape.bytes;
    for (const auto& [sequence, each] : entries_) {
        if (total <= config_.max_bytes && each.at_ms + config_.max_age.count() >= at_ms) {
            keep_from = sequence;
            break;
        }
        total -= each.bytes;
    }
    guarded([&] {
        release_below(keep_from, true);
        write_entry(at_ms, entries);
    });
    bytes_ += scrape.bytes;
    newest_ms_ = at_ms;
    entries_.emplace(end_++, std::move(scrape));
}

void DurableQueue::write_entry(std::int64_t at_ms, const std::vector<std::pair<std::string, std::string>>& entries) {
    Store::Txn txn(store_->env, 0);
    for (const auto& [key, value] : entries) store_->put(txn, store_->entries, key, value);
    store_->put_figure(txn, "end", end_ + 1);
    store_->put_figure(txn, "newest", static_cast<std::uint64_t>(at_ms));
    txn.commit();
    check(mdb_env_sync(store_->env, 1), "the spool is not on disk");
}

DurableQueue::Batch DurableQueue::read(const std::string& receiver, int part, std::size_t most) {
    Batch batch;
    const auto index = static_cast<std::size_t>(part);
    batch.next = positions_.at(receiver)[index];
    // What is known here to be kept can be read from a damaged file too: a disk that takes nothing stops no sending.
    if (damaged_ && !store_->can_read()) repair();
    Store::Txn txn(store_->env, MDB_RDONLY);
    for (auto it = entries_.lower_bound(batch.next); it != entries_.end(); ++it) {
        const std::uint32_t samples = it->second.samples[index];
        if (batch.samples > 0 && batch.samples + samples > most) break;
        batch.next = it->first + 1;
        if (samples == 0) continue;
        const std::string key = key_of(it->first, part);
        MDB_val k = value_of(key), v;
        std::string raw;
        const int rc = mdb_get(txn.txn, store_->entries, &k, &v);
        if (rc != MDB_NOTFOUND) check(rc, "the spool can't be read");
        if (rc == MDB_NOTFOUND || !unpack(text_of(v), raw)) {
            dropped_ += samples;
            continue;
        }
        if (batch.samples == 0) batch.oldest_ms = it->second.at_ms;
        batch.bytes += raw;
        batch.samples += samples;
    }
    return batch;
}

void DurableQueue::advance(const std::string& receiver, int part, std::uint64_t next) {
    std::uint64_t& place = positions_.at(receiver)[static_cast<std::size_t>(part)];
    if (next <= place) return;
    place = next;
    guarded([&] {
        Store::Txn txn(store_->env, 0);
        store_->put_place(txn, receiver, part, place);
        txn.commit();
    });
    std::uint64_t least = end_;
    for (const auto& [name, all] : positions_)
        for (const std::uint64_t each : all) least = std::min(least, each);
    guarded([&] { release_below(least, false); });
}

void DurableQueue::release_below(std::uint64_t sequence, bool dropping) {
    if (entries_.empty() || entries_.begin()->first >= sequence) return;
    Store::Txn txn(store_->env, 0);
    while (!entries_.empty() && entries_.begin()->first < sequence) {
        const auto& [number, scrape] = *entries_.begin();
        for (std::size_t part = 0; part < scrape.samples.size(); ++part) {
            if (scrape.samples[part] == 0) continue;
            const std::string key = key_of(number, static_cast<int>(part));
            MDB_val k = value_of(key);
            mdb_del(txn.txn, store_->entries, &k, nullptr);
            if (!dropping) continue;
            for (const auto& [name, all] : positions_)  // once for each receiver that had not taken it
                if (all[part] <= number) dropped_ += scrape.samples[part];
        }
        bytes_ -= scrape.bytes;
        entries_.erase(entries_.begin());
    }
    if (dropping) store_->put_figure(txn, "dropped", dropped_);
    txn.commit();
}

std::uint64_t DurableQueue::waiting(const std::string& receiver) const {
    std::uint64_t sum = 0;
    const auto& all = positions_.at(receiver);
    for (const auto& [number, scrape] : entries_)
        for (std::size_t part = 0; part < all.size(); ++part)
            if (all[part] <= number) sum += scrape.samples[part];
    return sum;
}

}  // namespace plumkeel::remote_write
