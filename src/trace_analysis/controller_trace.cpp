#include "trace_analysis/controller_trace.hpp"

#include <algorithm>
#include <map>

#include "trace/file.hpp"

namespace plumkeel::trace_analysis {
namespace {

using trace::TraceError;

/// Reads how the file continues others and, if it holds them, its settings.
std::optional<trace::SchedulerSettings> read_first_records(ControllerTrace::File& file) {
    std::optional<trace::SchedulerSettings> start;
    bool is_first = true;
    file.reader->for_each_name([&](const Record& record) {
        if (record.type == trace::resumed && is_first) file.resumed = trace::unpack<trace::Resumed>(record.body);
        if (record.type == trace::settings) start = trace::unpack<trace::SchedulerSettings>(record.body);
        is_first = false;
        return !start;
    });
    return start;
}

std::optional<trace::SchedulerSettings> open(ControllerTrace::File& file, const OpenSource& open_source) {
    try {
        file.source = open_source(file.name);
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

OpenSource open_file_source() {
    return [](const std::string& name) { return std::make_unique<trace::FileSource>(name); };
}

std::vector<std::unique_ptr<ControllerTrace>> open_traces(const std::vector<std::string>& names,
                                                          const OpenSource& open_source) {
    struct Group {
        trace::SchedulerSettings start;
        std::vector<ControllerTrace::File> files;
    };
    std::map<std::pair<Time, std::string>, Group> groups;  // by start time and controller
    for (const std::string& name : names) {
        ControllerTrace::File file{name, nullptr, nullptr, {}};
        const std::optional<trace::SchedulerSettings> start = open(file, open_source);
        // A file without settings is on its own: its start time alone does not identify the controller.
        Group& group = groups[{file.reader->start_time(), start ? start->name : name}];
        if (start) group.start = *start;
        if (group.start.name.empty()) group.start.name = name;
        group.files.push_back(std::move(file));
    }
    std::vector<std::unique_ptr<ControllerTrace>> traces;
    std::map<std::string, int> runs;  // by controller
    for (auto& [key, group] : groups) {
        std::stable_sort(group.files.begin(), group.files.end(), [](const auto& a, const auto& b) {
            return a.resumed.earlier_records < b.resumed.earlier_records;
        });
        // After a restart the controller numbers its requests and names anew.
        if (const int run = ++runs[group.start.name]; run > 1) group.start.name += "#" + std::to_string(run);
        traces.push_back(std::make_unique<ControllerTrace>(std::move(group.files), std::move(group.start)));
    }
    return traces;
}

ControllerTrace::ControllerTrace(std::vector<File> files, trace::SchedulerSettings start)
    : files_(std::move(files)), start_(std::move(start)) {}

void ControllerTrace::rewind(std::optional<Time> from) {
    file_index_ = block_index_ = record_index_ = 0;
    block_.clear();
    names_first_.clear();
    position_ = overlap_ = repeated_names_ = missing_ = reported_damage_ = 0;
    in_file_ = false;
    if (from) skip_to(*from);
}

void ControllerTrace::skip_to(Time from) {
    for (const File& file : files_)
        file.reader->for_each_name([&](const Record& record) {
            if (record.type != trace::gap && record.type != trace::function_released)
                names_first_.push_back({from, record.type, 0, record.body});
            return true;
        });
    for (; file_index_ < files_.size(); ++file_index_) {
        const auto& blocks = files_[file_index_].reader->blocks();
        const auto block = std::partition_point(blocks.begin(), blocks.end(),
                                                [&](const trace::BlockLocation& each) { return each.last < from; });
        block_index_ = static_cast<std::size_t>(block - blocks.begin());
        if (block_index_ < blocks.size()) break;
    }
    if (file_index_ == files_.size()) return;
    enter_file();
    missing_ = 0;  // what precedes `from` was not asked for
    const auto& blocks = files_[file_index_].reader->blocks();
    for (std::size_t i = 0; i < block_index_; ++i) position_ += blocks[i].records;
    overlap_ = repeated_names_ = 0;
}

double ControllerTrace::progress() const {
    double all = 0, done = 0;
    for (std::size_t i = 0; i < files_.size(); ++i) {
        const auto blocks = static_cast<double>(files_[i].reader->blocks().size());
        all += blocks;
        if (i < file_index_) done += blocks;
        if (i == file_index_) done += static_cast<double>(block_index_);
    }
    return all > 0 ? done / all : 1;
}

/// Finds the place of the file's records among those of the whole trace. Returns a gap if some before it are missing.
std::optional<Record> ControllerTrace::enter_file() {
    const File& file = files_[file_index_];
    const std::uint64_t file_position = file.resumed.earlier_records;
    in_file_ = true;
    reported_damage_ = 0;
    repeated_names_ = 0;
    overlap_ = position_ > file_position ? position_ - file_position : 0;
    if (file_position <= position_) return {};
    const std::uint64_t lost = file_position - position_;
    position_ = file_position;
    if (file_index_ == 0) return {};  // the first record of the file says that the trace starts within a run
    missing_ += lost;
    const auto& blocks = file.reader->blocks();
    return gap_record(blocks.empty() ? Time{} : blocks.front().first, lost, 0);
}

void ControllerTrace::leave_file() {
    ++file_index_;
    block_index_ = record_index_ = 0;
    block_.clear();
    in_file_ = false;
}

/// Loads the next intact block; false at the end of the file. `gap` is set if damage precedes the block.
bool ControllerTrace::next_block(std::optional<Record>& gap) {
    trace::Reader& reader = *files_[file_index_].reader;
    record_index_ = 0;
    block_ = reader.next_block(block_index_);
    if (block_.empty()) return false;
    std::uint64_t bytes = 0;
    for (; reported_damage_ < reader.damage().size(); ++reported_damage_) {
        const trace::Damage& damage = reader.damage()[reported_damage_];
        // A damaged end shows in the position of the next file.
        if (!damage.before || *damage.before > block_.front().at) break;
        bytes += damage.bytes;
    }
    if (bytes > 0) gap = gap_record(block_.front().at, 0, bytes);
    return true;
}

/// Whether an earlier file held the record. Counts it.
bool ControllerTrace::is_repeated(const Record& record) {
    const bool names_are_known = file_index_ > 0 && missing_ == 0;
    if (record.type == trace::resumed) {
        repeated_names_ = trace::unpack<trace::Resumed>(record.body).repeated_names;
        return names_are_known;
    }
    if (repeated_names_ > 0) {
        --repeated_names_;
        return names_are_known;
    }
    if (overlap_ > 0) {
        --overlap_;
        return true;
    }
    ++position_;
    return false;
}

std::optional<Record> ControllerTrace::next() {
    if (!names_first_.empty()) {
        Record record = std::move(names_first_.front());
        names_first_.pop_front();
        return record;
    }
    for (; file_index_ < files_.size(); leave_file()) {
        if (!in_file_)
            if (auto gap = enter_file()) return gap;
        for (;;) {
            if (record_index_ == block_.size()) {
                std::optional<Record> gap;
                if (!next_block(gap)) break;
                if (gap) return gap;
            }
            Record& record = block_[record_index_++];
            if (!is_repeated(record)) return std::move(record);
        }
    }
    return {};
}

}  // namespace plumkeel::trace_analysis
