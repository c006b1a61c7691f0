#include "trace/recorder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <utility>

namespace plumkeel::trace {
namespace {

constexpr std::size_t batch_bytes = 64 * 1024;
constexpr std::size_t kept_names_bytes = 1024 * 1024;  // of dropped batches; past it their names are lost as well

bool is_name(const Record& record) {
    return record.type > 0 && record.type <= last_name_type && record.type != RecordType::gap;
}

// When a file of an earlier run was written last, since the Unix epoch.
Time last_of(const std::filesystem::path& file) {
    std::error_code ignored;
    const auto time = std::filesystem::last_write_time(file, ignored);
    return std::chrono::duration_cast<Time>(std::chrono::file_clock::to_sys(time).time_since_epoch());
}

}  // namespace

struct Recorder::File {
    File(std::unique_ptr<Sink> where, Time begun, std::size_t block, Time at)
        : sink(std::move(where)), writer(*sink, begun, block), first(at) {}
    std::unique_ptr<Sink> sink;
    Writer writer;
    Time first;
};

Recorder::Recorder(RecorderConfig rules, std::string name, Time begun, MakeSink make_sink)
    : rules_(std::move(rules)),
      name_(std::move(name)),
      begun_(begun),
      make_sink_(make_sink ? std::move(make_sink)
                           : [](const std::string& file) { return std::make_unique<FileSink>(file); }) {
    std::error_code ignored;
    std::filesystem::create_directories(rules_.folder, ignored);
    // Files of earlier runs count as well: else each restart would leave its own behind for ever.
    for (const auto& entry : std::filesystem::directory_iterator(rules_.folder, ignored))
        if (entry.path().extension() == ".trace" && entry.path().filename().string().starts_with(name_ + "-"))
            files_.push_back({entry.path(), last_of(entry.path())});
    std::sort(files_.begin(), files_.end(), [](const Written& a, const Written& b) { return a.name < b.name; });
    if (rules_.sample_ratio < 1) sampler_.emplace(rules_.sample_ratio, rules_.max_memory_bytes / 4);
    begin_file(Time{});
    first_file_ = files_.back().name;
    thread_ = std::thread([this] { run(); });
}

Recorder::~Recorder() {
    flush();
    {
        const std::lock_guard held(lock_);
        ending_ = true;
    }
    wake_.notify_one();
    thread_.join();
    try {
        if (sampler_ && at_work_) sampler_->finish([&](const Record& record) { put(record); });
    } catch (const TraceError&) {
        // The disk does not take them: the jobs still open are missing.
    }
    close_file();
}

void Recorder::Batch::add(const Record& record) {
    entries.push_back({record.at, record.request, static_cast<std::uint32_t>(record.body.size()), record.type});
    bodies += record.body;
}

void Recorder::Batch::walk(const std::function<void(const Record&)>& each) const {
    Record record;
    std::size_t from = 0;
    for (const Entry& entry : entries) {
        record.at = entry.at;
        record.type = entry.kind;
        record.request = entry.request;
        record.body.assign(bodies, from, entry.length);
        from += entry.length;
        each(record);
    }
}

void Recorder::offer(const Record& record) {
    if (gathering_.entries.capacity() == 0) {
        gathering_.entries.reserve(batch_bytes / 32);
        gathering_.bodies.reserve(batch_bytes);
    }
    gathering_.add(record);
    if (gathering_.bytes() >= batch_bytes) flush();
}

void Recorder::flush() {
    if (gathering_.entries.empty()) return;
    Batch batch = std::exchange(gathering_, {});
    const std::lock_guard held(lock_);
    if (waiting_bytes_ + batch.bytes() > rules_.max_memory_bytes) {
        dropped_here_.records += batch.entries.size();
        dropped_here_.bytes += batch.bytes();
        dropped_ += batch.entries.size();
        return keep_names(batch);
    }
    if (dropped_here_.records > 0) {
        const Time at = batch.entries.front().at;
        Batch first;
        first.add({at, RecordType::gap, 0, pack(std::exchange(dropped_here_, {}))});
        std::exchange(names_, {}).walk([&](const Record& record) {
            first.add({at, record.type, record.request, record.body});
        });
        hand_over(std::move(first));
    }
    hand_over(std::move(batch));
    wake_.notify_one();
}

void Recorder::hand_over(Batch batch) {
    waiting_bytes_ += batch.bytes();
    waiting_.push_back(std::move(batch));
}

// Without its names, what comes after a gap would be told in numbers only.
void Recorder::keep_names(const Batch& dropped) {
    dropped.walk([this](const Record& record) {
        if (is_name(record) && names_.bytes() < kept_names_bytes) names_.add(record);
    });
}

void Recorder::run() {
    for (;;) {
        Batch batch;
        {
            std::unique_lock held(lock_);
            wake_.wait(held, [this] { return ending_ || !waiting_.empty(); });
            if (waiting_.empty()) return;
            batch = std::move(waiting_.front());
            waiting_.pop_front();
        }
        write(batch);
        const std::lock_guard held(lock_);
        waiting_bytes_ -= batch.bytes();  // only now: what is being written still takes its memory
    }
}

// A disk that is full or broken costs this batch; the next one tries a file of its own.
void Recorder::write(const Batch& batch) {
    const Time at = batch.entries.front().at;
    try {
        if (!at_work_) begin_file(at);
        if (lost_.records > 0)  // deciding again must not run on over what the disk did not take
            put({at, RecordType::gap, 0, pack(lost_)});
        batch.walk([this](const Record& record) {
            if (sampler_)
                sampler_->feed(record, [this](const Record& kept) { put(kept); });
            else
                put(record);
        });
        at_work_->writer.flush();
        lost_ = {};
        written_ += batch.entries.size();
        const Time last = batch.entries.back().at;
        files_.back().last = begun_ + last;
        const bool old = rules_.max_file_age > Time{} && last - at_work_->first >= rules_.max_file_age;
        if (at_work_->writer.offset() >= rules_.max_file_bytes || old) close_file();
    } catch (const TraceError&) {
        at_work_.reset();
        batch.walk([this](const Record& record) { carry(record); });
        dropped_ += batch.entries.size();
        lost_.records += batch.entries.size();
        lost_.bytes += batch.bytes();
    }
}

void Recorder::put(const Record& record) {
    carry(record);
    at_work_->writer.add(record);
    ++told_;
}

// What each further file has to begin with.
void Recorder::carry(const Record& record) {
    if (!is_name(record)) return;
    if (record.type == RecordType::settings) settings_ = record;
    if (record.type == RecordType::function_known) functions_[unpack<NameRecord>(record.body).number] = record;
    if (record.type == RecordType::function_released) functions_.erase(unpack<FunctionReleased>(record.body).number);
    if (record.type == RecordType::invoker_known) invokers_[unpack<NameRecord>(record.body).number] = record;
}

void Recorder::begin_file(Time at) {
    const std::string file = fmt::format("{}/{}-{}-{:04}.trace", rules_.folder, name_, begun_.count() / 1000, number_);
    at_work_ = std::make_unique<File>(make_sink_(file), begun_, rules_.block_bytes, at);
    files_.push_back({file, begun_ + at});
    remove_old(begun_ + at);
    if (number_++ == 0) return;
    const std::uint64_t again = functions_.size() + invokers_.size() + (settings_ ? 1 : 0);
    at_work_->writer.add({at, RecordType::resumed, 0, pack(Resumed{told_, again, ""})});
    if (settings_) at_work_->writer.add({at, settings_->type, 0, settings_->body});
    for (const auto* known : {&functions_, &invokers_})
        for (const auto& [number, record] : *known) at_work_->writer.add({at, record.type, 0, record.body});
}

void Recorder::remove_old(Time now) {
    while (files_.size() > 1 && (files_.size() > rules_.max_files ||
                                 (rules_.max_age > Time{} && files_.front().last + rules_.max_age < now))) {
        std::error_code ignored;
        std::filesystem::remove(files_.front().name, ignored);
        files_.pop_front();
    }
}

void Recorder::close_file() {
    if (!at_work_) return;
    try {
        at_work_->writer.finish();
    } catch (const TraceError&) {
        // It is read up to the damage.
    }
    at_work_.reset();
}

}  // namespace plumkeel::trace
