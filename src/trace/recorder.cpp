#include "trace/recorder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <utility>

#include "trace/writer.hpp"

namespace plumkeel::trace {
namespace {

constexpr std::size_t batch_bytes = 64 * 1024;
/// Memory bound for names that are kept from dropped batches; further names are lost.
constexpr std::size_t max_kept_names_bytes = 1024 * 1024;
/// The sampler gets max_memory_bytes divided by this number, for the records of open requests.
constexpr std::size_t sampler_memory_divisor = 4;

/// Whether the record defines settings or a name, which every later file repeats.
bool is_repeated_in_each_file(const Record& record) {
    return is_name_type(record.type) && record.type != RecordType::gap;
}

/// Time of the last modification, since the Unix epoch.
Time modified_at(const std::filesystem::path& file) {
    std::error_code ignored;
    const auto time = std::filesystem::last_write_time(file, ignored);
    return std::chrono::duration_cast<Time>(std::chrono::file_clock::to_sys(time).time_since_epoch());
}

}  // namespace

struct Recorder::OpenFile {
    OpenFile(std::unique_ptr<Sink> destination, Time start_time, std::size_t block_bytes, Time at)
        : sink(std::move(destination)), writer(*sink, start_time, block_bytes), opened_at(at) {}
    std::unique_ptr<Sink> sink;
    Writer writer;
    Time opened_at;
};

Recorder::Recorder(RecorderConfig config, std::string name, Time start_time, SinkFactory make_sink)
    : config_(std::move(config)),
      name_(std::move(name)),
      start_time_(start_time),
      make_sink_(make_sink ? std::move(make_sink)
                           : [](const std::string& file) { return std::make_unique<FileSink>(file); }) {
    find_earlier_files();
    if (config_.sample_ratio < 1)
        sampler_.emplace(config_.sample_ratio, config_.max_memory_bytes / sampler_memory_divisor);
    open_file(Time{});
    first_file_ = files_.back().name;
    thread_ = std::thread([this] { run(); });
}

/// Files of earlier runs count towards the limits of RecorderConfig, so that they are removed in time as well.
void Recorder::find_earlier_files() {
    std::error_code ignored;
    std::filesystem::create_directories(config_.folder, ignored);
    for (const auto& entry : std::filesystem::directory_iterator(config_.folder, ignored))
        if (entry.path().extension() == ".trace" && entry.path().filename().string().starts_with(name_ + "-"))
            files_.push_back({entry.path(), modified_at(entry.path())});
    std::sort(files_.begin(), files_.end(), [](const StoredFile& a, const StoredFile& b) { return a.name < b.name; });
}

Recorder::~Recorder() {
    flush();
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    queue_changed_.notify_one();
    thread_.join();
    try {
        if (sampler_ && open_file_) sampler_->finish([&](const Record& record) { write_record(record); });
    } catch (const TraceError&) {
        // Writing failed: the trace lacks the requests that are still open.
    }
    close_file();
}

void Recorder::offer(const Record& record) {
    if (!batch_.has_memory()) batch_.reserve(batch_bytes);
    batch_.add(record);
    if (batch_.bytes() >= batch_bytes) flush();
}

void Recorder::flush() {
    if (batch_.empty()) return;
    RecordBatch batch = std::exchange(batch_, {});
    const std::lock_guard lock(mutex_);
    if (queued_bytes_ + batch.bytes() > config_.max_memory_bytes) {
        dropped_since_last_gap_.records += batch.size();
        dropped_since_last_gap_.bytes += batch.bytes();
        dropped_ += batch.size();
        return keep_names_in(batch);
    }
    if (dropped_since_last_gap_.records > 0) {
        const Time at = batch.first_time();
        RecordBatch gap_and_names;
        gap_and_names.add({at, RecordType::gap, 0, pack(std::exchange(dropped_since_last_gap_, {}))});
        std::exchange(names_in_dropped_batches_, {}).for_each([&](const Record& record) {
            gap_and_names.add({at, record.type, record.request, record.body});
        });
        enqueue(std::move(gap_and_names));
    }
    enqueue(std::move(batch));
    queue_changed_.notify_one();
}

/// Adds a batch to the write queue. The caller must hold `mutex_`.
void Recorder::enqueue(RecordBatch batch) {
    queued_bytes_ += batch.bytes();
    write_queue_.push_back(std::move(batch));
}

/// Keeps the names defined in a dropped batch: records after the gap refer to them by number.
void Recorder::keep_names_in(const RecordBatch& dropped) {
    dropped.for_each([this](const Record& record) {
        if (is_repeated_in_each_file(record) && names_in_dropped_batches_.bytes() < max_kept_names_bytes)
            names_in_dropped_batches_.add(record);
    });
}

void Recorder::run() {
    for (;;) {
        RecordBatch batch;
        {
            std::unique_lock lock(mutex_);
            queue_changed_.wait(lock, [this] { return stopping_ || !write_queue_.empty(); });
            if (write_queue_.empty()) return;
            batch = std::move(write_queue_.front());
            write_queue_.pop_front();
        }
        write(batch);
        const std::lock_guard lock(mutex_);
        queued_bytes_ -= batch.bytes();  // the batch counts as queued until it is written
    }
}

/// If writing fails, for example because the disk is full, the batch is lost and the next batch starts a new file.
void Recorder::write(const RecordBatch& batch) {
    const Time at = batch.first_time();
    try {
        if (!open_file_) open_file(at);
        // The gap record stops a replay where records are missing.
        if (unstored_since_last_gap_.records > 0)
            write_record({at, RecordType::gap, 0, pack(unstored_since_last_gap_)});
        batch.for_each([this](const Record& record) {
            if (sampler_)
                sampler_->feed(record, [this](const Record& kept) { write_record(kept); });
            else
                write_record(record);
        });
        open_file_->writer.flush();
        unstored_since_last_gap_ = {};
        written_ += batch.size();
        const Time last = batch.last_time();
        files_.back().last_written = start_time_ + last;
        const bool file_is_too_old =
            config_.max_file_age > Time{} && last - open_file_->opened_at >= config_.max_file_age;
        if (open_file_->writer.offset() >= config_.max_file_bytes || file_is_too_old) close_file();
    } catch (const TraceError&) {
        open_file_.reset();
        batch.for_each([this](const Record& record) { update_repeated_names(record); });
        dropped_ += batch.size();
        unstored_since_last_gap_.records += batch.size();
        unstored_since_last_gap_.bytes += batch.bytes();
    }
}

void Recorder::write_record(const Record& record) {
    update_repeated_names(record);
    open_file_->writer.add(record);
    ++records_written_;
}

/// Updates the settings and names that are repeated at the start of each later file.
void Recorder::update_repeated_names(const Record& record) {
    if (!is_repeated_in_each_file(record)) return;
    if (record.type == RecordType::settings) settings_ = record;
    if (record.type == RecordType::function_defined) function_names_[unpack<NameRecord>(record.body).number] = record;
    if (record.type == RecordType::function_released)
        function_names_.erase(unpack<FunctionReleased>(record.body).number);
    if (record.type == RecordType::invoker_defined) invoker_names_[unpack<NameRecord>(record.body).number] = record;
}

void Recorder::open_file(Time at) {
    const std::string file =
        fmt::format("{}/{}-{}-{:04}.trace", config_.folder, name_, start_time_.count() / 1000, next_file_number_);
    open_file_ = std::make_unique<OpenFile>(make_sink_(file), start_time_, config_.block_bytes, at);
    files_.push_back({file, start_time_ + at});
    remove_old_files(start_time_ + at);
    if (next_file_number_++ == 0) return;
    Writer& writer = open_file_->writer;
    const std::uint64_t repeated_names = function_names_.size() + invoker_names_.size() + (settings_ ? 1 : 0);
    writer.add({at, RecordType::resumed, 0, pack(Resumed{records_written_, repeated_names, ""})});
    if (settings_) writer.add({at, settings_->type, 0, settings_->body});
    for (const auto* names : {&function_names_, &invoker_names_})
        for (const auto& [number, record] : *names) writer.add({at, record.type, 0, record.body});
}

void Recorder::remove_old_files(Time now) {
    const auto is_expired = [&](const StoredFile& file) {
        return config_.max_age > Time{} && file.last_written + config_.max_age < now;
    };
    while (files_.size() > 1 && (files_.size() > config_.max_files || is_expired(files_.front()))) {
        std::error_code ignored;
        std::filesystem::remove(files_.front().name, ignored);
        files_.pop_front();
    }
}

void Recorder::close_file() {
    if (!open_file_) return;
    try {
        open_file_->writer.finish();
    } catch (const TraceError&) {
        // Writing failed. The file has no index, but its complete blocks are readable.
    }
    open_file_.reset();
}

}  // namespace plumkeel::trace
