/// \file
/// The trace of one controller over all its files.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "trace/reader.hpp"
#include "trace/records.hpp"
#include "trace_analysis/name_table.hpp"
#include "trace_analysis/record_stream.hpp"

namespace plumkeel::trace_analysis {

/// Opens a source by name. Throws TraceError.
using OpenSource = std::function<std::unique_ptr<trace::Source>(const std::string& name)>;
OpenSource open_file_source();  ///< Opens files on disk.

/// The files of one controller in their order. Records that several files hold are passed on once; where records are
/// damaged or missing there is a record of type gap.
class ControllerTrace : public RecordStream {
public:
    struct File {
        std::string name;
        std::unique_ptr<trace::Source> source;
        std::unique_ptr<trace::Reader> reader;
        trace::Resumed resumed;  ///< Its first record, if the file continues others.
    };

    /// `files` is not empty and in order; `start` holds what is known of the controller, at least a name.
    ControllerTrace(std::vector<File> files, trace::SchedulerSettings start);

    std::optional<Record> next() override;
    Time start_time() const override { return files_.front().reader->start_time(); }
    double progress() const override;
    /// Back to the start; or, with `from`, to the block that holds that time, after all names.
    void rewind(std::optional<Time> from = {});

    const trace::SchedulerSettings& start() const { return start_; }
    const std::string& controller() const { return start_.name; }
    const std::vector<File>& files() const { return files_; }
    /// Records that no file holds, as far as the files read so far show.
    std::uint64_t missing() const { return missing_; }

private:
    void skip_to(Time from);
    std::optional<Record> enter_file();
    void leave_file();
    bool next_block(std::optional<Record>& gap);
    bool is_repeated(const Record& record);

    std::vector<File> files_;
    trace::SchedulerSettings start_;
    std::size_t file_index_{}, block_index_{}, record_index_{};
    std::vector<Record> block_;
    std::uint64_t position_{};        // in the whole trace: records passed on or known to be missing
    std::uint64_t overlap_{};         // records of the current file that an earlier one held, still to come
    std::uint64_t repeated_names_{};  // still to come
    std::uint64_t missing_{};
    bool in_file_{};
    std::size_t reported_damage_{};  // of the current file
    std::deque<Record> names_first_;
};

/// Groups files, in any order, by controller; the traces are in the order of their start. A controller that was
/// restarted counts as another one, named "NAME#2". Throws TraceError that names the file.
std::vector<std::unique_ptr<ControllerTrace>> open_traces(const std::vector<std::string>& files,
                                                          const OpenSource& open);

}  // namespace plumkeel::trace_analysis
