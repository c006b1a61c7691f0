/// The durable queue's LMDB environment: opening, transactions, and rewriting it after a failed write. Private to the
/// package.
#pragma once

#include <lmdb.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "remote_write/queue_error.hpp"

namespace plumkeel::remote_write {

enum class LmdbTable { entries, positions };
enum class LmdbAccess { read_only, read_write };

/// All functions throw QueueError unless they say otherwise.
class LmdbStore {
public:
    /// Opens the environment, and creates it if it does not exist; the tables are opened by a transaction.
    LmdbStore(std::string folder, std::size_t max_bytes);
    LmdbStore(const LmdbStore&) = delete;

    /// Whether a read transaction can begin. Never throws.
    bool can_read() const;
    /// Flushes all that was committed to disk.
    void sync();
    /// Flushes what it can; never throws.
    void sync_before_close();
    /// Closes the environment and opens it again, with its tables.
    void reopen();
    /// Writes the whole environment into a new file, which is on disk when it replaces the old one, and closes it.
    void rewrite();

private:
    friend class LmdbTransaction;
    struct CloseEnvironment {
        void operator()(MDB_env* environment) const { mdb_env_close(environment); }
    };
    void open();
    MDB_dbi handle(LmdbTable table) const { return table == LmdbTable::entries ? entries_ : positions_; }

    const std::string folder_;
    const std::size_t max_bytes_;
    std::unique_ptr<MDB_env, CloseEnvironment> environment_;
    MDB_dbi entries_{}, positions_{};
};

/// Aborted on destruction unless it was committed. Functions throw QueueError unless they say otherwise.
class LmdbTransaction {
public:
    LmdbTransaction(LmdbStore& store, LmdbAccess access);

    /// Must be the first that is done in an environment just opened. The tables stay open once it is committed.
    void open_tables(bool create);
    void put(LmdbTable table, std::string_view key, std::string_view value);
    /// A missing key is not an error. Never throws.
    void erase(LmdbTable table, std::string_view key);
    /// Valid until the transaction ends; empty where the key is missing.
    std::optional<std::string_view> get(LmdbTable table, std::string_view key);
    /// Invokes `callback(key, value)` for each item by key, up to the first that can't be read.
    template <class Callback>
    void for_each(LmdbTable table, Callback callback);
    void commit();

private:
    struct Abort {
        void operator()(MDB_txn* transaction) const { mdb_txn_abort(transaction); }
    };
    struct CloseCursor {
        void operator()(MDB_cursor* cursor) const { mdb_cursor_close(cursor); }
    };
    using Cursor = std::unique_ptr<MDB_cursor, CloseCursor>;
    Cursor open_cursor(LmdbTable table);

    LmdbStore& store_;
    std::unique_ptr<MDB_txn, Abort> transaction_;
};

template <class Callback>
void LmdbTransaction::for_each(LmdbTable table, Callback callback) {
    const Cursor cursor = open_cursor(table);
    MDB_val key, value;
    while (mdb_cursor_get(cursor.get(), &key, &value, MDB_NEXT) == MDB_SUCCESS)
        callback(std::string_view(static_cast<const char*>(key.mv_data), key.mv_size),
                 std::string_view(static_cast<const char*>(value.mv_data), value.mv_size));
}

}  // namespace plumkeel::remote_write
