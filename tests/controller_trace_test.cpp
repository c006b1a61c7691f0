#include "trace_analysis/controller_trace.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"
#include "trace/replayer.hpp"

namespace plumkeel::trace_analysis {
namespace {

/// A controller's trace in three files, as the recorder rotates them.
FileSet three_files(const std::vector<Record>& records) {
    FileSet set;
    std::vector<Record> known;
    const std::size_t third = records.size() / 3;
    for (std::size_t i = 0; i < 3; ++i) {
        std::vector<Record> part;
        if (i > 0) {
            part.push_back(
                {records[i * third].at, trace::resumed, 0, trace::pack(trace::Resumed{i * third, known.size(), ""})});
            for (const Record& each : known) part.push_back({records[i * third].at, each.type, 0, each.body});
        }
        for (std::size_t n = i * third; n < (i == 2 ? records.size() : (i + 1) * third); ++n) {
            part.push_back(records[n]);
            if (records[n].type == trace::settings || records[n].type == trace::function_known ||
                records[n].type == trace::invoker_known)
                known.push_back(records[n]);
        }
        set.write("part" + std::to_string(i), part);
    }
    return set;
}

TEST(ControllerTrace, FilesInAnyOrderGiveEachRecordOnce) {
    const auto records = simulated_trace({});
    FileSet set = three_files(records);
    set.files["copy of part1"] = set.files["part1"];
    auto traces = open_traces({"part2", "copy of part1", "part0", "part1"}, set.opener());
    ASSERT_EQ(traces.size(), 1u);
    EXPECT_EQ(read_all(*traces[0]), records);
    EXPECT_EQ(traces[0]->missing(), 0u);
    // And can be replayed as a whole.
    trace::Replayer replayer;
    traces[0]->rewind();
    while (const auto record = traces[0]->next()) replayer.feed(*record);
    EXPECT_FALSE(replayer.compare().first);
    EXPECT_EQ(replayer.compare().requests, 400u);
}

TEST(ControllerTrace, MissingFileIsAGapAndItsNamesAreKnown) {
    const auto records = simulated_trace({});
    FileSet set = three_files(records);
    auto traces = open_traces({"part0", "part2"}, set.opener());
    const auto got = read_all(*traces[0]);
    EXPECT_EQ(traces[0]->missing(), records.size() / 3);
    const auto gap = std::find_if(got.begin(), got.end(), [](const Record& r) { return r.type == trace::gap; });
    ASSERT_NE(gap, got.end());
    EXPECT_EQ(trace::unpack<trace::Gap>(gap->body).records, records.size() / 3);
    trace::Replayer replayer;
    EXPECT_THROW(
        {
            for (const Record& each : got) replayer.feed(each);
        },
        trace::TraceError);
    for (const RequestHistory& history : histories_of(got))
        if (history.submission_recorded) {
            EXPECT_EQ(history.function.find('#'), std::string::npos) << history.function;
        }
}

TEST(ControllerTrace, WithoutItsFirstFileCannotBeReplayedButHasNames) {
    FileSet set = three_files(simulated_trace({}));
    auto traces = open_traces({"part1", "part2"}, set.opener());
    const auto got = read_all(*traces[0]);
    EXPECT_EQ(got.front().type, trace::resumed);
    EXPECT_EQ(traces[0]->controller(), "toy");
    trace::Replayer replayer;
    EXPECT_THROW(replayer.feed(got.front()), trace::TraceError);
    for (const RequestHistory& history : histories_of(got))
        if (history.submission_recorded) {
            EXPECT_EQ(history.request_class.substr(0, 7), "secret-");
        }
}

TEST(ControllerTrace, DamagedBlockIsAGap) {
    const auto records = simulated_trace({});
    FileSet set;
    set.write("one", records);
    auto& bytes = set.files["one"].bytes;
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    auto traces = open_traces({"one"}, set.opener());
    const auto got = read_all(*traces[0]);
    EXPECT_EQ(std::count_if(got.begin(), got.end(), [](const Record& r) { return r.type == trace::gap; }), 1);
    EXPECT_LT(got.size(), records.size());
    EXPECT_GT(got.size(), records.size() * 3 / 4);
}

TEST(ControllerTrace, TruncatedFileIsReplayedUpToItsEnd) {
    const auto records = simulated_trace({});
    FileSet set;
    set.write("one", records);
    set.files["one"].bytes.resize(set.files["one"].bytes.size() * 2 / 3);
    auto traces = open_traces({"one"}, set.opener());
    trace::Replayer replayer;
    std::uint64_t n = 0;
    while (const auto record = traces[0]->next()) replayer.feed(*record), ++n;
    EXPECT_GT(n, records.size() / 2);
    EXPECT_FALSE(replayer.compare().first);
    EXPECT_GT(replayer.compare().requests, 200u);
}

TEST(ControllerTrace, RewoundToATimeAllNamesAreKnown) {
    const auto records = simulated_trace({});
    FileSet set = three_files(records);
    auto traces = open_traces(set.names(), set.opener());
    const Time from = records[records.size() * 2 / 3 + 50].at;
    traces[0]->rewind(from);
    std::vector<Record> got = read_all(*traces[0]);
    std::vector<Record> wanted, later;
    for (const Record& each : records)
        if (each.at >= from && each.type > trace::last_name_type) wanted.push_back(each);
    for (const Record& each : got)
        if (each.at >= from && each.type > trace::last_name_type) later.push_back(each);
    EXPECT_EQ(later, wanted);
    for (const RequestHistory& history : histories_of(got))
        if (history.submission_recorded) {
            EXPECT_EQ(history.function.find('#'), std::string::npos) << history.function;
        }
}

TEST(ControllerTrace, ErrorForAFileThatIsNoTraceNamesIt) {
    FileSet set;
    set.files["empty"];
    try {
        open_traces({"empty"}, set.opener());
        FAIL();
    } catch (const trace::TraceError& error) {
        EXPECT_STREQ(error.what(), "empty: not a trace file");
    }
}

}  // namespace
}  // namespace plumkeel::trace_analysis
