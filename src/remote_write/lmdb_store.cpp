#include "remote_write/lmdb_store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "remote_write/queue_format.hpp"

namespace plumkeel::remote_write {
namespace {

constexpr std::size_t min_map_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t page_bytes = 4096;
constexpr mdb_mode_t file_mode = 0640;
constexpr unsigned max_tables = 2;

void throw_on_error(int status, const char* operation) {
    if (status != MDB_SUCCESS) throw QueueError(std::string(operation) + ": " + mdb_strerror(status));
}

[[noreturn]] void throw_errno(const std::filesystem::path& path) {
    throw QueueError(path.string() + ": " + std::strerror(errno));
}

MDB_val to_lmdb_value(std::string_view bytes) {
    return {bytes.size(), const_cast<char*>(bytes.data())};  // LMDB does not modify keys and values passed to it
}

class FileDescriptor {
public:
    explicit FileDescriptor(int number) : number_(number) {}
    ~FileDescriptor() {
        if (number_ >= 0) ::close(number_);
    }
    FileDescriptor(const FileDescriptor&) = delete;
    int number() const { return number_; }

private:
    const int number_;
};

void sync_to_disk(const FileDescriptor& file, const std::filesystem::path& path) {
    if (file.number() < 0 || ::fsync(file.number()) != 0) throw_errno(path);
}

}  // namespace

// ---------------------------------------------------------------- transactions

LmdbTransaction::LmdbTransaction(LmdbStore& store, LmdbAccess access) : store_(store) {
    MDB_txn* transaction = nullptr;
    throw_on_error(mdb_txn_begin(store.environment_.get(), nullptr, access == LmdbAccess::read_only ? MDB_RDONLY : 0,
                                 &transaction),
                   "cannot begin a queue transaction");
    transaction_.reset(transaction);
}

void LmdbTransaction::open_tables(bool create) {
    const unsigned flags = create ? MDB_CREATE : 0;
    throw_on_error(mdb_dbi_open(transaction_.get(), queue_format::table_name::entries, flags, &store_.entries_),
                   "cannot open the queue table 'entries'");
    throw_on_error(mdb_dbi_open(transaction_.get(), queue_format::table_name::positions, flags, &store_.positions_),
                   "cannot open the queue table 'places'");
}

void LmdbTransaction::put(LmdbTable table, std::string_view key, std::string_view value) {
    MDB_val lmdb_key = to_lmdb_value(key), lmdb_value = to_lmdb_value(value);
    throw_on_error(mdb_put(transaction_.get(), store_.table_handle(table), &lmdb_key, &lmdb_value, 0),
                   "cannot write to the queue");
}

void LmdbTransaction::erase(LmdbTable table, std::string_view key) {
    MDB_val lmdb_key = to_lmdb_value(key);
    mdb_del(transaction_.get(), store_.table_handle(table), &lmdb_key, nullptr);
}

std::optional<std::string_view> LmdbTransaction::get(LmdbTable table, std::string_view key) {
    MDB_val lmdb_key = to_lmdb_value(key), value;
    const int status = mdb_get(transaction_.get(), store_.table_handle(table), &lmdb_key, &value);
    if (status == MDB_NOTFOUND) return {};
    throw_on_error(status, "cannot read from the queue");
    return std::string_view(static_cast<const char*>(value.mv_data), value.mv_size);
}

LmdbTransaction::Cursor LmdbTransaction::open_cursor(LmdbTable table) {
    MDB_cursor* cursor = nullptr;
    throw_on_error(
        mdb_cursor_open(transaction_.get(), store_.table_handle(table), &cursor),
        table == LmdbTable::entries ? "cannot read the queue table 'entries'" : "cannot read the queue table 'places'");
    return Cursor(cursor);
}

void LmdbTransaction::commit() {
    throw_on_error(mdb_txn_commit(transaction_.release()), "cannot commit a queue transaction");
}

// ---------------------------------------------------------------- environment

LmdbStore::LmdbStore(std::string folder, std::size_t max_bytes) : folder_(std::move(folder)), max_bytes_(max_bytes) {
    std::error_code error;
    std::filesystem::create_directories(folder_, error);  // open() reports the error if this fails
    open();
}

void LmdbStore::open() {
    MDB_env* environment = nullptr;
    throw_on_error(mdb_env_create(&environment), "cannot create the queue's LMDB environment");
    std::unique_ptr<MDB_env, CloseEnvironment> opened(environment);
    mdb_env_set_maxdbs(environment, max_tables);
    // Twice the queue's limit, since LMDB keeps the old pages until a write is committed.
    const std::size_t map_bytes = std::max<std::size_t>(max_bytes_ * 2, min_map_bytes) / page_bytes * page_bytes;
    throw_on_error(mdb_env_set_mapsize(environment, map_bytes), "cannot set the size of the queue's memory map");
    // MDB_NOSYNC: a commit does not sync. DurableQueue syncs after appending samples. Positions need no sync: if the
    // machine loses power, samples after an older position are sent again.
    if (const int status = mdb_env_open(environment, folder_.c_str(), MDB_NOSYNC, file_mode))
        throw QueueError(folder_ + ": " + mdb_strerror(status));
    environment_ = std::move(opened);
}

bool LmdbStore::can_read() const {
    MDB_txn* transaction = nullptr;
    if (!environment_ || mdb_txn_begin(environment_.get(), nullptr, MDB_RDONLY, &transaction) != MDB_SUCCESS)
        return false;
    mdb_txn_abort(transaction);
    return true;
}

void LmdbStore::sync() {
    throw_on_error(mdb_env_sync(environment_.get(), 1), "cannot sync the queue to disk");
}

void LmdbStore::sync_before_close() {
    if (environment_) mdb_env_sync(environment_.get(), 1);
}

void LmdbStore::reopen() {
    environment_.reset();
    open();
    // A separate transaction, since aborting a transaction would close the tables that it opened.
    LmdbTransaction transaction(*this, LmdbAccess::read_only);
    transaction.open_tables(false);
    transaction.commit();
}

void LmdbStore::rewrite() {
    const std::filesystem::path current = std::filesystem::path(folder_) / "data.mdb";
    const std::filesystem::path replacement = current.string() + ".new";
    const FileDescriptor file(::open(replacement.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, file_mode));
    if (file.number() < 0) throw_errno(replacement);
    throw_on_error(mdb_env_copyfd2(environment_.get(), file.number(), MDB_CP_COMPACT),
                   "cannot copy the queue to a new file");
    sync_to_disk(file, replacement);
    environment_.reset();
    std::error_code error;
    std::filesystem::rename(replacement, current, error);
    if (error) throw QueueError(current.string() + ": " + error.message());
    sync_to_disk(FileDescriptor(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)), folder_);
}

}  // namespace plumkeel::remote_write
