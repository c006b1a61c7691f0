/// \file
/// The trace of one controller, which may consist of several files.
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

/// Function that opens a trace file by name. Throws TraceError.
using SourceOpener = std::function<std::unique_ptr<trace::Source>(const std::string& name)>;
SourceOpener open_file_source();  ///< Returns a function that opens files on disk.

/// Reads the files of one controller in order. Records that are in several files are returned once. A gap record is
/// returned where records are damaged or missing.
class ControllerTrace : public RecordStream {
public:
    struct File {
        std::string name;
        std::unique_ptr<trace::Source> source;
        std::unique_ptr<trace::Reader> reader;
        trace::Resumed resumed;  ///< Contents of its first record, if the file continues an earlier file.
    };

    /// `files` must be ordered and not empty. `scheduler_settings` must have at least a name.
    ControllerTrace(std::vector<File> files, trace::SchedulerSettings scheduler_settings);

    std::optional<Record> next() override;
    Time start_time() const override { return files_.front().reader->start_time(); }
    double progress() const override;
    /// Continues reading at the start of the trace. With `from`, continues with all records that define names, and then
    /// with the block that contains the time `from`.
    void rewind(std::optional<Time> from = {});

    const trace::SchedulerSettings& scheduler_settings() const { return scheduler_settings_; }
    const std::string& controller() const { return scheduler_settings_.name; }
    const std::vector<File>& files() const { return files_; }
    /// Number of records missing from the files that were read so far.
    std::uint64_t missing_records() const { return missing_records_; }

private:
    void skip_to(Time from);
    std::optional<Record> enter_file();
    void leave_file();
    bool load_next_block(std::optional<Record>& gap);
    bool is_repeated(const Record& record);

    std::vector<File> files_;
    trace::SchedulerSettings scheduler_settings_;
    std::size_t file_index_{}, block_index_{}, record_index_{};
    std::vector<Record> block_;
    std::uint64_t trace_position_{};       // records returned or missing since the start of the trace
    std::uint64_t overlapping_records_{};  // next records to skip, already read from an earlier file
    std::uint64_t repeated_names_{};       // number of following records that repeat names
    std::uint64_t missing_records_{};
    bool file_entered_{};
    std::size_t reported_damage_count_{};  // number of the current file's damaged parts already reported
    std::deque<Record> pending_names_;
};

/// Opens trace files, in any order, and groups them by controller. Returns the traces ordered by their start time. A
/// restarted controller has a separate trace, named "NAME#2". A TraceError contains the name of the file.
std::vector<std::unique_ptr<ControllerTrace>> open_traces(const std::vector<std::string>& files,
                                                          const SourceOpener& source_opener);

}  // namespace plumkeel::trace_analysis
