#include "trace_analysis/controller_trace.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"
#include "trace/replayer.hpp"

namespace plumkeel::trace_analysis {
namespace {

/// Splits a trace into three files. The second and third start by repeating names, as in files written by Recorder.
FileSet split_into_three_files(const std::vector<Record>& records) {
    FileSet file_set;
    std::vector<Record> name_records;
    const std::size_t records_per_file = records.size() / 3;
    for (std::size_t file_index = 0; file_index < 3; ++file_index) {
        std::vector<Record> file_records;
        if (file_index > 0) {
            file_records.push_back(
                {records[file_index * records_per_file].at, trace::resumed, 0,
                 trace::pack(trace::Resumed{file_index * records_per_file, name_records.size(), ""})});
            for (const Record& each : name_records)
                file_records.push_back({records[file_index * records_per_file].at, each.type, 0, each.body});
        }
        for (std::size_t index = file_index * records_per_file;
             index < (file_index == 2 ? records.size() : (file_index + 1) * records_per_file); ++index) {
            file_records.push_back(records[index]);
            if (records[index].type == trace::settings || records[index].type == trace::function_defined ||
                records[index].type == trace::invoker_defined)
                name_records.push_back(records[index]);
        }
        file_set.write("part" + std::to_string(file_index), file_records);
    }
    return file_set;
}

TEST(ControllerTrace, FilesInAnyOrderGiveEachRecordOnce) {
    const auto records = simulated_trace({});
    FileSet file_set = split_into_three_files(records);
    file_set.files["copy of part1"] = file_set.files["part1"];
    auto traces = open_traces({"part2", "copy of part1", "part0", "part1"}, file_set.source_opener());
    ASSERT_EQ(traces.size(), 1u);
    EXPECT_EQ(read_all(*traces[0]), records);
    EXPECT_EQ(traces[0]->missing_records(), 0u);
    // The trace read from several files must be complete, so that it can be replayed.
    trace::Replayer replayer;
    traces[0]->rewind();
    while (const auto record = traces[0]->next()) replayer.feed(*record);
    EXPECT_FALSE(replayer.compare().first);
    EXPECT_EQ(replayer.compare().requests, 400u);
}

TEST(ControllerTrace, MissingFileGivesGapAndItsNamesAreKnown) {
    const auto records = simulated_trace({});
    FileSet file_set = split_into_three_files(records);
    auto traces = open_traces({"part0", "part2"}, file_set.source_opener());
    const auto read_records = read_all(*traces[0]);
    EXPECT_EQ(traces[0]->missing_records(), records.size() / 3);
    const auto gap = std::find_if(read_records.begin(), read_records.end(),
                                  [](const Record& record) { return record.type == trace::gap; });
    ASSERT_NE(gap, read_records.end());
    EXPECT_EQ(trace::unpack<trace::Gap>(gap->body).records, records.size() / 3);
    trace::Replayer replayer;
    EXPECT_THROW(
        {
            for (const Record& each : read_records) replayer.feed(each);
        },
        trace::TraceError);
    for (const RequestHistory& history : histories_of(read_records))
        if (history.submission_recorded) {
            EXPECT_EQ(history.function.find('#'), std::string::npos) << history.function;
        }
}

TEST(ControllerTrace, TraceWithoutFirstFileCannotBeReplayedButHasNames) {
    FileSet file_set = split_into_three_files(simulated_trace({}));
    auto traces = open_traces({"part1", "part2"}, file_set.source_opener());
    const auto read_records = read_all(*traces[0]);
    EXPECT_EQ(read_records.front().type, trace::resumed);
    EXPECT_EQ(traces[0]->controller(), "toy");
    trace::Replayer replayer;
    EXPECT_THROW(replayer.feed(read_records.front()), trace::TraceError);
    for (const RequestHistory& history : histories_of(read_records))
        if (history.submission_recorded) {
            EXPECT_EQ(history.request_class.substr(0, 7), "secret-");
        }
}

TEST(ControllerTrace, DamagedBlockGivesGapRecord) {
    const auto records = simulated_trace({});
    FileSet file_set;
    file_set.write("one", records);
    auto& bytes = file_set.files["one"].bytes;
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    auto traces = open_traces({"one"}, file_set.source_opener());
    const auto read_records = read_all(*traces[0]);
    EXPECT_EQ(std::count_if(read_records.begin(), read_records.end(),
                            [](const Record& record) { return record.type == trace::gap; }),
              1);
    EXPECT_LT(read_records.size(), records.size());
    EXPECT_GT(read_records.size(), records.size() * 3 / 4);
}

TEST(ControllerTrace, TruncatedFileIsReplayedUpToItsEnd) {
    const auto records = simulated_trace({});
    FileSet file_set;
    file_set.write("one", records);
    file_set.files["one"].bytes.resize(file_set.files["one"].bytes.size() * 2 / 3);
    auto traces = open_traces({"one"}, file_set.source_opener());
    trace::Replayer replayer;
    std::uint64_t record_count = 0;
    while (const auto record = traces[0]->next()) replayer.feed(*record), ++record_count;
    EXPECT_GT(record_count, records.size() / 2);
    EXPECT_FALSE(replayer.compare().first);
    EXPECT_GT(replayer.compare().requests, 200u);
}

TEST(ControllerTrace, AllNamesAreKnownAfterRewindToATime) {
    const auto records = simulated_trace({});
    FileSet file_set = split_into_three_files(records);
    auto traces = open_traces(file_set.names(), file_set.source_opener());
    const Time from = records[records.size() * 2 / 3 + 50].at;
    traces[0]->rewind(from);
    std::vector<Record> read_records = read_all(*traces[0]);
    std::vector<Record> expected, actual;
    for (const Record& each : records)
        if (each.at >= from && each.type > trace::last_name_type) expected.push_back(each);
    for (const Record& each : read_records)
        if (each.at >= from && each.type > trace::last_name_type) actual.push_back(each);
    EXPECT_EQ(actual, expected);
    for (const RequestHistory& history : histories_of(read_records))
        if (history.submission_recorded) {
            EXPECT_EQ(history.function.find('#'), std::string::npos) << history.function;
        }
}

TEST(ControllerTrace, ErrorForInvalidFileContainsItsName) {
    FileSet file_set;
    file_set.files["empty"];
    try {
        open_traces({"empty"}, file_set.source_opener());
        FAIL();
    } catch (const trace::TraceError& error) {
        EXPECT_STREQ(error.what(), "empty: not a trace file");
    }
}

}  // namespace
}  // namespace plumkeel::trace_analysis
