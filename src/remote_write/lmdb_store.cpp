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
constexpr unsigned table_count = 2;

void check(int status, const char* operation) {
    if (status != MDB_SUCCESS) throw QueueError(std::string(operation) + ": " + mdb_strerror(status));
}

[[noreturn]] void throw_errno(const std::filesystem::path& path) {
    throw QueueError(path.string() + ": " + std::strerror(errno));
}

MDB_val to_value(std::string_view bytes) {
    return {bytes.size(), const_cast<char*>(bytes.data())};  // LMDB does not write to its inputs
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
    check(mdb_txn_begin(store.environment_.get(), nullptr, access == LmdbAccess::read_only ? MDB_RDONLY : 0,
                        &transaction),
          "queue transaction");
    transaction_.reset(transaction);
}

void LmdbTransaction::open_tables(bool create) {
    const unsigned flags = create ? MDB_CREATE : 0;
    check(mdb_dbi_open(transaction_.get(), queue_format::table_name::entries, flags, &store_.entries_),
          "queue entries");
    check(mdb_dbi_open(transaction_.get(), queue_format::table_name::positions, flags, &store_.positions_),
          "queue positions");
}

void LmdbTransaction::put(LmdbTable table, std::string_view key, std::string_view value) {
    MDB_val lmdb_key = to_value(key), lmdb_value = to_value(value);
    check(mdb_put(transaction_.get(), store_.handle(table), &lmdb_key, &lmdb_value, 0), "queue write failed");
}

void LmdbTransaction::erase(LmdbTable table, std::string_view key) {
    MDB_val lmdb_key = to_value(key);
    mdb_del(transaction_.get(), store_.handle(table), &lmdb_key, nullptr);
}

std::optional<std::string_view> LmdbTransaction::get(LmdbTable table, std::string_view key) {
    MDB_val lmdb_key = to_value(key), value;
    const int status = mdb_get(transaction_.get(), store_.handle(table), &lmdb_key, &value);
    if (status == MDB_NOTFOUND) return {};
    check(status, "queue read failed");
    return std::string_view(static_cast<const char*>(value.mv_data), value.mv_size);
}

LmdbTransaction::Cursor LmdbTransaction::open_cursor(LmdbTable table) {
    MDB_cursor* cursor = nullptr;
    check(mdb_cursor_open(transaction_.get(), store_.handle(table), &cursor),
          table == LmdbTable::entries ? "queue entries" : "queue positions");
    return Cursor(cursor);
}

void LmdbTransaction::commit() {
    check(mdb_txn_commit(transaction_.release()), "queue write failed");
}

// ---------------------------------------------------------------- the environment

LmdbStore::LmdbStore(std::string folder, std::size_t max_bytes) : folder_(std::move(folder)), max_bytes_(max_bytes) {
    std::error_code error;
    std::filesystem::create_directories(folder_, error);  // if it fails, so does open()
    open();
}

void LmdbStore::open() {
    MDB_env* environment = nullptr;
    check(mdb_env_create(&environment), "queue environment");
    std::unique_ptr<MDB_env, CloseEnvironment> opened(environment);
    mdb_env_set_maxdbs(environment, table_count);
    // Twice the queue's limit, since a write keeps the old pages until it is done.
    const std::size_t map_bytes = std::max<std::size_t>(max_bytes_ * 2, min_map_bytes) / page_bytes * page_bytes;
    check(mdb_env_set_mapsize(environment, map_bytes), "queue map size");
    // A commit does not sync: a position that is lost with the machine means that samples are sent again. The queue
    // syncs appended samples itself.
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
    check(mdb_env_sync(environment_.get(), 1), "queue sync failed");
}

void LmdbStore::sync_before_close() {
    if (environment_) mdb_env_sync(environment_.get(), 1);
}

void LmdbStore::reopen() {
    environment_.reset();
    open();
    // In a transaction of its own: an aborted one closes the tables that it opened.
    LmdbTransaction transaction(*this, LmdbAccess::read_only);
    transaction.open_tables(false);
    transaction.commit();
}

void LmdbStore::rewrite() {
    const std::filesystem::path current = std::filesystem::path(folder_) / "data.mdb";
    const std::filesystem::path replacement = current.string() + ".new";
    const FileDescriptor file(::open(replacement.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, file_mode));
    if (file.number() < 0) throw_errno(replacement);
    check(mdb_env_copyfd2(environment_.get(), file.number(), MDB_CP_COMPACT), "queue rewrite failed");
    sync_to_disk(file, replacement);
    environment_.reset();
    std::error_code error;
    std::filesystem::rename(replacement, current, error);
    if (error) throw QueueError(current.string() + ": " + error.message());
    sync_to_disk(FileDescriptor(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)), folder_);
}

}  // namespace plumkeel::remote_write
