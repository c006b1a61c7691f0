#include "trace_analysis/controller_trace.hpp"

#include <algorithm>
#include <map>

#include "trace/file.hpp"

namespace plumkeel::trace_analysis {
namespace {

using trace::TraceError;

/// Reads the file's `resumed` record, and returns its settings if it contains any.
std::optional<trace::SchedulerSettings> read_first_records(ControllerTrace::File& file) {
    std::optional<trace::SchedulerSettings> scheduler_settings;
    bool is_first = true;
    file.reader->for_each_name([&](const Record& record) {
        if (record.type == trace::resumed && is_first) file.resumed = trace::unpack<trace::Resumed>(record.body);
        if (record.type == trace::settings) scheduler_settings = trace::unpack<trace::SchedulerSettings>(record.body);
        is_first = false;
        return !scheduler_settings;
    });
    return scheduler_settings;
}

std::optional<trace::SchedulerSettings> open(ControllerTrace::File& file, const SourceOpener& source_opener) {
    try {
        file.source = source_opener(file.name);
        file.reader = std::make_unique<trace::Reader>(*file.source);
        return read_first_records(file);
    } catch (const TraceError& error) {
        const std::string message = error.what();
        throw TraceError(message.find(file.name) == std::string::npos ? file.name + ": " + message : message);
    }
}

Record gap_record(Time at, std::uint64_t records, std::uint64_t bytes) {
    return {at, trace::gap, 0, trace::pack(trace::Gap{records, bytes})};
}

}  // namespace

SourceOpener open_file_source() {
    return [](const std::string& name) { return std::make_unique<trace::FileSource>(name); };
}

std::vector<std::unique_ptr<ControllerTrace>> open_traces(const std::vector<std::string>& names,
                                                          const SourceOpener& source_opener) {
    struct Group {
        trace::SchedulerSettings scheduler_settings;
        std::vector<ControllerTrace::File> files;
    };
    std::map<std::pair<Time, std::string>, Group> groups;  // by start time and controller name
    for (const std::string& name : names) {
        ControllerTrace::File file{name, nullptr, nullptr, {}};
        const std::optional<trace::SchedulerSettings> scheduler_settings = open(file, source_opener);
        // A file without settings forms its own group: its start time alone does not identify the controller.
        Group& group = groups[{file.reader->start_time(), scheduler_settings ? scheduler_settings->name : name}];
        if (scheduler_settings) group.scheduler_settings = *scheduler_settings;
        if (group.scheduler_settings.name.empty()) group.scheduler_settings.name = name;
        group.files.push_back(std::move(file));
    }
    std::vector<std::unique_ptr<ControllerTrace>> traces;
    std::map<std::string, int> run_counts;  // number of traces by controller name
    for (auto& [key, group] : groups) {
        std::stable_sort(group.files.begin(), group.files.end(), [](const auto& a, const auto& b) {
            return a.resumed.earlier_records < b.resumed.earlier_records;
        });
        // A restarted controller reuses the numbers of requests and names, so its trace is kept separate.
        if (const int run_number = ++run_counts[group.scheduler_settings.name]; run_number > 1)
            group.scheduler_settings.name += "#" + std::to_string(run_number);
        traces.push_back(
            std::make_unique<ControllerTrace>(std::move(group.files), std::move(group.scheduler_settings)));
    }
    return traces;
}

ControllerTrace::ControllerTrace(std::vector<File> files, trace::SchedulerSettings scheduler_settings)
    : files_(std::move(files)), scheduler_settings_(std::move(scheduler_settings)) {}

void ControllerTrace::rewind(std::optional<Time> from) {
    file_index_ = block_index_ = record_index_ = 0;
    block_.clear();
    pending_names_.clear();
    trace_position_ = overlapping_records_ = repeated_names_ = missing_records_ = reported_damage_count_ = 0;
    file_entered_ = false;
    if (from) skip_to(*from);
}

void ControllerTrace::skip_to(Time from) {
    for (const File& file : files_)
        file.reader->for_each_name([&](const Record& record) {
            if (record.type != trace::gap && record.type != trace::function_released)
                pending_names_.push_back({from, record.type, 0, record.body});
            return true;
        });
    for (; file_index_ < files_.size(); ++file_index_) {
        const auto& blocks = files_[file_index_].reader->blocks();
        const auto block = std::partition_point(
            blocks.begin(), blocks.end(), [&](const trace::BlockLocation& each) { return each.last_time < from; });
        block_index_ = static_cast<std::size_t>(block - blocks.begin());
        if (block_index_ < blocks.size()) break;
    }
    if (file_index_ == files_.size()) return;
    enter_file();
    missing_records_ = 0;  // records before `from` are not counted as missing
    const auto& blocks = files_[file_index_].reader->blocks();
    for (std::size_t i = 0; i < block_index_; ++i) trace_position_ += blocks[i].records;
    overlapping_records_ = repeated_names_ = 0;
}

double ControllerTrace::progress() const {
    double total_blocks = 0, read_blocks = 0;
    for (std::size_t i = 0; i < files_.size(); ++i) {
        const auto blocks = static_cast<double>(files_[i].reader->blocks().size());
        total_blocks += blocks;
        if (i < file_index_) read_blocks += blocks;
        if (i == file_index_) read_blocks += static_cast<double>(block_index_);
    }
    return total_blocks > 0 ? read_blocks / total_blocks : 1;
}

/// Starts reading the current file. Returns a gap record if records are missing between the preceding file and it.
std::optional<Record> ControllerTrace::enter_file() {
    const File& file = files_[file_index_];
    const std::uint64_t file_position = file.resumed.earlier_records;
    file_entered_ = true;
    reported_damage_count_ = 0;
    repeated_names_ = 0;
    overlapping_records_ = trace_position_ > file_position ? trace_position_ - file_position : 0;
    if (file_position <= trace_position_) return {};
    const std::uint64_t missing_before_file = file_position - trace_position_;
    trace_position_ = file_position;
    if (file_index_ == 0) return {};  // its `resumed` record already shows that earlier records are missing
    missing_records_ += missing_before_file;
    const auto& blocks = file.reader->blocks();
    return gap_record(blocks.empty() ? Time{} : blocks.front().first_time, missing_before_file, 0);
}

void ControllerTrace::leave_file() {
    ++file_index_;
    block_index_ = record_index_ = 0;
    block_.clear();
    file_entered_ = false;
}

/// Loads the next intact block. Returns false at the end of the file. Sets `gap` if the file is damaged before it.
bool ControllerTrace::load_next_block(std::optional<Record>& gap) {
    trace::Reader& reader = *files_[file_index_].reader;
    record_index_ = 0;
    block_ = reader.next_block(block_index_);
    if (block_.empty()) return false;
    std::uint64_t bytes = 0;
    for (; reported_damage_count_ < reader.damage().size(); ++reported_damage_count_) {
        const trace::Damage& damage = reader.damage()[reported_damage_count_];
        // enter_file() reports damage at the end of a file, by the position of the next file's first record.
        if (!damage.before || *damage.before > block_.front().at) break;
        bytes += damage.bytes;
    }
    if (bytes > 0) gap = gap_record(block_.front().at, 0, bytes);
    return true;
}

/// Returns whether the record was already read from an earlier file. Must be called once for each record read.
bool ControllerTrace::is_repeated(const Record& record) {
    const bool names_are_known = file_index_ > 0 && missing_records_ == 0;
    if (record.type == trace::resumed) {
        repeated_names_ = trace::unpack<trace::Resumed>(record.body).repeated_names;
        return names_are_known;
    }
    if (repeated_names_ > 0) {
        --repeated_names_;
        return names_are_known;
    }
    if (overlapping_records_ > 0) {
        --overlapping_records_;
        return true;
    }
    ++trace_position_;
    return false;
}

std::optional<Record> ControllerTrace::next() {
    if (!pending_names_.empty()) {
        Record record = std::move(pending_names_.front());
        pending_names_.pop_front();
        return record;
    }
    for (; file_index_ < files_.size(); leave_file()) {
        if (!file_entered_)
            if (auto gap = enter_file()) return gap;
        for (;;) {
            if (record_index_ == block_.size()) {
                std::optional<Record> gap;
                if (!load_next_block(gap)) break;
                if (gap) return gap;
            }
            Record& record = block_[record_index_++];
            if (!is_repeated(record)) return std::move(record);
        }
    }
    return {};
}

}  // namespace plumkeel::trace_analysis
