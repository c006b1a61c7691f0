#include "trace/recorder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <utility>

#include "trace/file.hpp"

namespace plumkeel::trace {

constexpr std::size_t batch_bytes = 64 * 1024;

struct Recorder::File {
    File(const std::string& name, Time begun, std::size_t block) : sink(name), writer(sink, begun, block) {}
    FileSink sink;
    Writer writer;
};

Recorder::Recorder(RecorderRules rules, std::string name, Time begun)
    : rules_(std::move(rules)), name_(std::move(name)), begun_(begun) {
    std::error_code ignored;
    std::filesystem::create_directories(rules_.folder, ignored);
    // Files of earlier runs count as well: else each restart would leave its own behind for ever.
    for (const auto& entry : std::filesystem::directory_iterator(rules_.folder, ignored))
        if (entry.path().extension() == ".trace" && entry.path().filename().string().starts_with(name_ + "-"))
            files_.push_back(entry.path());
    std::sort(files_.begin(), files_.end());
    begin_file();
    first_file_ = files_.back();
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
    close_file();
}

void Recorder::offer(const Record& record) {
    gathering_.records.push_back(record);
    gathering_.bytes += record.body.size() + sizeof(Record);
    if (gathering_.bytes >= batch_bytes) flush();
}

void Recorder::flush() {
    if (gathering_.records.empty()) return;
    Batch batch = std::exchange(gathering_, {});
    const std::lock_guard held(lock_);
    if (waiting_bytes_ + batch.bytes > rules_.memory_bytes) {
        gap_records_ += batch.records.size();
        gap_bytes_ += batch.bytes;
        dropped_ += batch.records.size();
        return;
    }
    if (gap_records_ > 0) {
        const Record told{batch.records.front().at, gap, 0, fmt::format("{} {}", gap_records_, gap_bytes_)};
        batch.records.insert(batch.records.begin(), told);
        gap_records_ = gap_bytes_ = 0;
    }
    waiting_bytes_ += batch.bytes;
    waiting_.push_back(std::move(batch));
    wake_.notify_one();
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
        waiting_bytes_ -= batch.bytes;  // only now: what is being written still takes its memory
    }
}

// A disk that is full or broken costs this batch; the next one tries a file of its own.
void Recorder::write(const Batch& batch) {
    try {
        if (!at_work_) begin_file();
        if (lost_records_ > 0) {  // deciding again must not run on over what the disk did not take
            at_work_->writer.add({batch.records.front().at, gap, 0, fmt::format("{} {}", lost_records_, lost_bytes_)});
        }
        for (const Record& record : batch.records) at_work_->writer.add(record);
        at_work_->writer.flush();
        lost_records_ = lost_bytes_ = 0;
        written_ += batch.records.size();
        if (at_work_->writer.offset() >= rules_.file_bytes) close_file();
    } catch (const Fault&) {
        at_work_.reset();
        dropped_ += batch.records.size();
        lost_records_ += batch.records.size();
        lost_bytes_ += batch.bytes;
    }
}

void Recorder::begin_file() {
    const std::string file = fmt::format("{}/{}-{}-{:04}.trace", rules_.folder, name_, begun_.count() / 1000, number_++);
    at_work_ = std::make_unique<File>(file, begun_, rules_.block_bytes);
    files_.push_back(file);
    while (files_.size() > rules_.keep_files) {
        std::error_code ignored;
        std::filesystem::remove(files_.front(), ignored);
        files_.pop_front();
    }
}

void Recorder::close_file() {
    if (!at_work_) return;
    try {
        at_work_->writer.finish();
    } catch (const Fault&) {
        // It is read up to the damage.
    }
    at_work_.reset();
}

}  // namespace plumkeel::trace
