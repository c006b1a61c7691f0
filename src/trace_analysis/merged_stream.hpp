// Traces as streams of records: the files of one controller in their order, without what two of them tell twice;
// and several controllers' as one.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "trace/format.hpp"
#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

class RecordStream {
public:
    virtual ~RecordStream() = default;
    virtual std::optional<Record> next() = 0;
    virtual Time begun() const = 0;        // of its records' times, since the Unix epoch
    virtual double part_read() const = 0;  // from 0 to 1
};

// Opens a source by name; in service trace::FileSource.
using OpenSource = std::function<std::unique_ptr<trace::Source>(const std::string& name)>;

// One controller's trace. Where records are damaged or missing between files it tells a gap.
class ControllerTrace : public RecordStream {
public:
    struct File {
        std::string name;
        std::unique_ptr<trace::Source> source;
        std::unique_ptr<trace::Reader> reader;
        trace::Resumed resumed;  // as it begins; of a first file nothing
    };

    std::optional<Record> next() override;
    Time begun() const override { return files_.front().reader->begun(); }
    double part_read() const override;
    // Back to the start; with `from`, to the block that holds that moment, and all names are told first.
    void rewind(std::optional<Time> from = {});

    const trace::Start& start() const { return start_; }
    std::string controller() const { return start_.name; }
    const std::vector<File>& files() const { return files_; }
    // Records that are in none of the files, as far as those read so far show.
    std::uint64_t missing() const { return missing_; }

private:
    friend std::vector<std::unique_ptr<ControllerTrace>> open_all(const std::vector<std::string>&, const OpenSource&);

    std::vector<File> files_;
    trace::Start start_;
    std::size_t file_{}, place_{}, at_{};
    std::vector<Record> block_;
    std::uint64_t read_{};   // records of the trace, counted over its files
    std::uint64_t skip_{};   // of the present file, told by an earlier one already
    std::uint64_t again_{};  // names told again, still to come
    std::uint64_t missing_{};
    bool in_file_{};
    std::size_t damage_told_{};  // of the present file
    std::deque<Record> prelude_;

    void enter_file(std::optional<Record>& first);
    bool next_block(std::optional<Record>& first);
};

// The files by controller, in the order of their start. Throws Fault that names the file.
std::vector<std::unique_ptr<ControllerTrace>> open_all(const std::vector<std::string>& files, const OpenSource& open);
OpenSource files_on_disk();

// Several controllers' records in the order of their time, corrected by `offsets` (added to each one's clock);
// like moments in the order of the controllers. Their numbers of jobs, functions, invokers and so on are made
// one; what serves only deciding again is left out.
std::unique_ptr<RecordStream> merge_traces(std::vector<ControllerTrace*> parts, const std::vector<Time>& offsets,
                                           std::optional<Time> from = {});

struct ClockOffset {
    Time offset{};       // to add to this controller's clock to have the first one's
    std::size_t from{};  // how many happenings that both saw tell it; 0: none, and the offset is 0
    Time spread{};       // half of those differ by no more than this from it
};

// From what several controllers saw: hops cut off by the same death of an invoker, and changes of the list.
std::vector<ClockOffset> estimate_offsets(const std::vector<ControllerTrace*>& parts);

}  // namespace plumkeel::trace_analysis
