/// The LMDB environment that stores the durable queue, and its transactions. Private to the package.
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
    /// Opens the environment, and creates it if it does not exist. LmdbTransaction::open_tables() opens its tables.
    LmdbStore(std::string folder, std::size_t max_bytes);
    LmdbStore(const LmdbStore&) = delete;

    /// Whether a read transaction can begin. Never throws.
    bool can_read() const;
    /// Flushes all committed transactions to disk.
    void sync();
    /// Like sync(), but ignores errors. Never throws.
    void sync_before_close();
    /// Closes the environment and opens it again, with its tables.
    void reopen();
    /// Copies the environment to a new file, syncs that, replaces the old file by it and closes the environment.
    void rewrite();

private:
    friend class LmdbTransaction;
    struct CloseEnvironment {
        void operator()(MDB_env* environment) const { mdb_env_close(environment); }
    };
    void open();
    MDB_dbi table_handle(LmdbTable table) const { return table == LmdbTable::entries ? entries_ : positions_; }

    const std::string folder_;
    const std::size_t max_bytes_;
    std::unique_ptr<MDB_env, CloseEnvironment> environment_;
    MDB_dbi entries_{}, positions_{};
};

/// A transaction that is aborted on destruction unless it was committed. All functions throw QueueError unless they say
/// otherwise.
class LmdbTransaction {
public:
    LmdbTransaction(LmdbStore& store, LmdbAccess access);

    /// Must be called before any other operation on a newly opened environment. The tables stay open after commit().
    void open_tables(bool create);
    void put(LmdbTable table, std::string_view key, std::string_view value);
    /// A missing key is not an error. Never throws.
    void erase(LmdbTable table, std::string_view key);
    /// Returns the value, valid until the transaction ends; empty if the key is missing.
    std::optional<std::string_view> get(LmdbTable table, std::string_view key);
    /// Invokes `callback(key, value)` for all items in the order of keys; stops at an item that can't be read.
    template <class Callback>
    void for_each(LmdbTable table, Callback callback);
    void commit();

private:
    struct AbortTransaction {
        void operator()(MDB_txn* transaction) const { mdb_txn_abort(transaction); }
    };
    struct CloseCursor {
        void operator()(MDB_cursor* cursor) const { mdb_cursor_close(cursor); }
    };
    using Cursor = std::unique_ptr<MDB_cursor, CloseCursor>;
    Cursor open_cursor(LmdbTable table);

    LmdbStore& store_;
    std::unique_ptr<MDB_txn, AbortTransaction> transaction_;
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
