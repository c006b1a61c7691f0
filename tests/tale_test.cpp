// Tales and what is made of traces: stories, streams over several files and controllers, cuts, names veiled,
// summaries.
#include <gtest/gtest.h>

#include "tests/memory_file.hpp"
#include "tests/toy_trace.hpp"
#include "trace/names.hpp"
#include "trace/recording_scheduler.hpp"
#include "trace_analysis/history_format.hpp"
#include "trace_analysis/merged_stream.hpp"
#include "trace_analysis/pseudonymizer.hpp"
#include "trace_analysis/summary.hpp"

namespace plumkeel::trace_analysis {
namespace {

using namespace std::chrono_literals;

// Files by name, as a disk would hold them.
struct Shelf {
    std::map<std::string, MemoryFile> files;

    void put(const std::string& name, const std::vector<Record>& records, Time begun = Time(1'000'000),
             std::size_t block = 1500) {
        trace::Writer writer(files[name], begun, block);
        for (const Record& each : records) writer.add(each);
        writer.finish();
    }
    OpenSource open() {
        return [this](const std::string& name) { return std::make_unique<MemoryFile>(files.at(name)); };
    }
    std::vector<std::string> names() const {
        std::vector<std::string> out;
        for (const auto& [name, file] : files) out.push_back(name);
        return out;
    }
};

std::vector<Record> all_of(RecordStream& stream) {
    std::vector<Record> out;
    while (const auto record = stream.next()) out.push_back(*record);
    return out;
}

std::vector<RequestHistory> tales_of(const std::vector<Record>& records) {
    std::vector<RequestHistory> out;
    HistoryBuilder histories([&](const RequestHistory& history) { out.push_back(history); });
    for (const Record& each : records) histories.feed(each);
    histories.finish();
    return out;
}

std::string told_of(const std::vector<Record>& records, std::uint64_t request) {
    std::string out;
    NameTable names(true);
    for (const Record& each : records) names.feed(each);
    for (const RequestHistory& history : tales_of(records))
        if (history.request == request) out = format_history(history, names);
    return out;
}

Record taken(Time at, std::uint64_t request, std::uint64_t request_class = 0) {
    return {at, trace::submit, request, trace::pack(trace::RequestSubmitted{request_class, 1, 0, 1, {}, 4s, false})};
}
Record turned(Time at, std::uint64_t request, RequestState to, DecisionReason why,
              std::optional<std::uint64_t> attempt = {}, std::uint64_t invoker = 0) {
    trace::TransitionRecord told{to, why, {}, {}, {}};
    if (attempt) told.sent = trace::TransitionRecord::Sent{*attempt, invoker, true, false};
    return {at, trace::transition, request, trace::pack(told)};
}
Record ended(Time at, std::uint64_t request, std::uint64_t attempt, AttemptOutcome ending) {
    return {at, trace::attempt_ended, request,
            trace::pack(trace::AttemptEnded{attempt, ending, LoadEvent::none, 0, {}})};
}
std::vector<Record> names_first() {
    trace::Start start;
    start.name = "one";
    start.request_classes = {{"u", {1s, Idempotency::at_most_once, DeduplicationScope::global, 0s}}};
    start.tenants = {{"t", 0.0}};
    return {{Time{}, trace::settings, 0, trace::pack(start)},
            {Time{}, trace::function_known, 0, trace::pack(trace::NameRecord{0, "f"})},
            {Time{}, trace::invoker_known, 0, trace::pack(trace::NameRecord{0, "left"})},
            {Time{}, trace::invoker_known, 0, trace::pack(trace::NameRecord{1, "right"})}};
}

ToyPlay with_reasons() {
    ToyPlay play;
    play.reasons = true;
    return play;
}

ToyPlay called(const char* name, std::uint64_t seed, Time behind = {}) {
    ToyPlay play;
    play.name = name;
    play.seed = seed;
    play.clock = behind;
    return play;
}

HistoryFilter filter(void (*set)(HistoryFilter&)) {
    HistoryFilter out;
    set(out);
    return out;
}

TEST(Told, EveryBodyCutShortOrLongerIsAFaultAndNothingElse) {
    for (const Record& record : toy_trace(with_reasons())) {
        if (record.type != trace::transition && record.type != trace::actions &&
            record.type != trace::endpoints_changed)
            continue;
        for (std::size_t n = 0; n < record.body.size(); ++n) {
            const std::string part = record.body.substr(0, n);
            if (record.type == trace::transition) {
                EXPECT_THROW(trace::unpack<trace::TransitionRecord>(part), trace::TraceError);
            }
            if (record.type == trace::actions) {
                EXPECT_THROW(trace::unpack<trace::ActionsRecord>(part), trace::TraceError);
            }
            if (record.type == trace::endpoints_changed) {
                EXPECT_THROW(trace::unpack<trace::EndpointsChanged>(part), trace::TraceError);
            }
        }
    }
    EXPECT_THROW(trace::unpack<trace::NameRecord>(trace::pack(trace::NameRecord{1, "a"}) + "x"), trace::TraceError);
    // A count that claims far more than the body holds.
    EXPECT_THROW(trace::unpack<trace::ActionsRecord>("\xff\xff\xff\xff\xff\xff\xff\xff\x7f"), trace::TraceError);
}

TEST(Tales, AWrittenOffJobIsToldWithItsReasons) {
    auto records = names_first();
    trace::TransitionRecord first{RequestState::in_flight, DecisionReason::best_invoker, {}, {}, {}};
    first.sent = trace::TransitionRecord::Sent{0, 1, false, true};
    first.candidates = {{1, 120ms, 20ms, true, ExclusionReason::none},
                        {0, {}, {}, false, ExclusionReason::slow_start_budget}};
    records.push_back(taken(1s, 7));
    records.push_back(turned(1s, 7, RequestState::parked, DecisionReason::no_eligible_invoker));
    records.push_back({1200ms, trace::transition, 7, trace::pack(first)});
    records.push_back(ended(1500ms, 7, 0, AttemptOutcome::connection_lost));
    records.push_back(turned(1500ms, 7, RequestState::failed, DecisionReason::may_have_run));
    const std::string story = told_of(records, 7);
    for (const char* part :
         {"job 7 at one: function f, use case u, tenant t", "taken at 1.000000 s", "promised within 1.00 s",
          "parked: no invoker may be sent it now", "hop 0 goes to right: of those weighed it would answer first",
          "right would answer in 120.0 ms, 20.0 ms of it behind others, a copy is thought to stand there",
          "left passed over: cold: its budget of jobs is used up", "hop 0 at right ends after 300.0 ms: cut off",
          "written off: it may have run, and may not run again anywhere",
          "so: written off after 500.0 ms, 1 hop, parked for 200.0 ms"})
        EXPECT_NE(story.find(part), std::string::npos) << part << "\nin:\n" << story;
    EXPECT_LT(story.find("ends after"), story.find("written off: it may"));
}

TEST(Tales, ATraceBegunInMidFlightIsToldAsSuch) {
    auto records = names_first();
    records.push_back(ended(1500ms, 7, 0, AttemptOutcome::succeeded));
    records.push_back(turned(1500ms, 7, RequestState::succeeded, DecisionReason::response_received));
    records.push_back(taken(2s, 8));
    const auto histories = tales_of(records);
    ASSERT_EQ(histories.size(), 2u);
    EXPECT_FALSE(histories[0].begun);
    EXPECT_EQ(histories[0].outcome_name(), "honoured");
    EXPECT_EQ(histories[1].outcome_name(), "unfinished");
    EXPECT_NE(told_of(records, 7).find("taken before this trace"), std::string::npos);
    EXPECT_FALSE(filter([](HistoryFilter& f) { f.from = 1s; }).matches(histories[0]));
    EXPECT_TRUE(filter([](HistoryFilter& f) { f.from = 1s; }).matches(histories[1]));
}

TEST(Tales, PastTheBoundOfOpenJobsTheOldestIsToldAsItIs) {
    std::vector<std::uint64_t> told;
    HistoryBuilder histories([&](const RequestHistory& history) { told.push_back(history.request); }, false, 3);
    for (const Record& each : names_first()) histories.feed(each);
    for (std::uint64_t request = 1; request <= 5; ++request) histories.feed(taken(Time(request), request));
    EXPECT_EQ(told, (std::vector<std::uint64_t>{1, 2}));
}

TEST(Tales, AFilterTakesTheOutcomesByTheirWords) {
    auto records = names_first();
    auto request = [&](std::uint64_t id, RequestState to, Time took) {
        records.push_back(taken(1s, id));
        records.push_back(turned(1s, id, RequestState::in_flight, DecisionReason::best_invoker, 0, id % 2));
        records.push_back(ended(1s + took, id, 0,
                                to == RequestState::succeeded ? AttemptOutcome::succeeded : AttemptOutcome::timed_out));
        records.push_back(turned(1s + took, id, to, DecisionReason::response_received));
    };
    request(1, RequestState::succeeded, 200ms);
    request(2, RequestState::succeeded, 1500ms);  // promised within 1 s
    request(3, RequestState::failed, 100ms);
    request(4, RequestState::rejected, 100ms);
    const auto histories = tales_of(records);
    auto count = [&](const HistoryFilter& wanted) {
        return std::count_if(histories.begin(), histories.end(),
                             [&](const RequestHistory& t) { return wanted.matches(t); });
    };
    EXPECT_EQ(count(filter([](HistoryFilter& f) { f.outcome = "honoured"; })), 1);
    EXPECT_EQ(count(filter([](HistoryFilter& f) { f.outcome = "late"; })), 1);
    EXPECT_EQ(count(filter([](HistoryFilter& f) { f.outcome = "written-off"; })), 1);
    EXPECT_EQ(count(filter([](HistoryFilter& f) { f.outcome = "badly"; })), 3);
    EXPECT_EQ(count(filter([](HistoryFilter& f) { f.invoker = "right"; })), 2);
    EXPECT_EQ(count(filter([](HistoryFilter& f) { f.tenant = "nobody"; })), 0);
    EXPECT_THROW(filter([](HistoryFilter& f) { f.outcome = "lost"; }).check(), trace::TraceError);
}

// ---------------------------------------------------------------- several files

// A controller's trace in three files, as the recorder rotates them.
Shelf three_files(const std::vector<Record>& records) {
    Shelf shelf;
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
        shelf.put("part" + std::to_string(i), part);
    }
    return shelf;
}

TEST(Chapters, FilesInAnyOrderAreOneTraceAndWhatIsThereTwiceIsToldOnce) {
    const auto records = toy_trace({});
    Shelf shelf = three_files(records);
    shelf.files["copy of part1"] = shelf.files["part1"];
    auto parts = open_all({"part2", "copy of part1", "part0", "part1"}, shelf.open());
    ASSERT_EQ(parts.size(), 1u);
    EXPECT_EQ(all_of(*parts[0]), records);
    EXPECT_EQ(parts[0]->missing(), 0u);
    // And decided again over all of them.
    trace::Replayer again;
    parts[0]->rewind();
    while (const auto record = parts[0]->next()) again.feed(*record);
    EXPECT_FALSE(again.compare().first);
    EXPECT_EQ(again.compare().requests, 400u);
}

TEST(Chapters, AMissingFileIsAGapAndItsNamesAreKnownAllTheSame) {
    const auto records = toy_trace({});
    Shelf shelf = three_files(records);
    auto parts = open_all({"part0", "part2"}, shelf.open());
    const auto got = all_of(*parts[0]);
    EXPECT_EQ(parts[0]->missing(), records.size() / 3);
    const auto gap = std::find_if(got.begin(), got.end(), [](const Record& r) { return r.type == trace::gap; });
    ASSERT_NE(gap, got.end());
    EXPECT_EQ(trace::unpack<trace::Gap>(gap->body).records, records.size() / 3);
    trace::Replayer again;
    EXPECT_THROW(
        {
            for (const Record& each : got) again.feed(each);
        },
        trace::TraceError);
    for (const RequestHistory& history : tales_of(got))
        if (history.begun) {
            EXPECT_EQ(history.function.find('#'), std::string::npos) << history.function;
        }
}

TEST(Chapters, ATraceWithoutItsFirstFileBeginsInMidFlight) {
    Shelf shelf = three_files(toy_trace({}));
    auto parts = open_all({"part1", "part2"}, shelf.open());
    const auto got = all_of(*parts[0]);
    EXPECT_EQ(got.front().type, trace::resumed);
    EXPECT_EQ(parts[0]->controller(), "toy");
    trace::Replayer again;
    EXPECT_THROW(again.feed(got.front()), trace::TraceError);
    for (const RequestHistory& history : tales_of(got))
        if (history.begun) {
            EXPECT_EQ(history.request_class.substr(0, 7), "secret-");
        }
}

TEST(Chapters, ADamagedBlockIsAGap) {
    const auto records = toy_trace({});
    Shelf shelf;
    shelf.put("one", records);
    auto& bytes = shelf.files["one"].bytes;
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    auto parts = open_all({"one"}, shelf.open());
    const auto got = all_of(*parts[0]);
    EXPECT_EQ(std::count_if(got.begin(), got.end(), [](const Record& r) { return r.type == trace::gap; }), 1);
    EXPECT_LT(got.size(), records.size());
    EXPECT_GT(got.size(), records.size() * 3 / 4);
}

TEST(Chapters, ATornEndIsNoGapBeforeWhatWasRead) {
    const auto records = toy_trace({});
    Shelf shelf;
    shelf.put("one", records);
    shelf.files["one"].bytes.resize(shelf.files["one"].bytes.size() * 2 / 3);
    auto parts = open_all({"one"}, shelf.open());
    trace::Replayer again;
    std::uint64_t n = 0;
    while (const auto record = parts[0]->next()) again.feed(*record), ++n;
    EXPECT_GT(n, records.size() / 2);
    EXPECT_FALSE(again.compare().first);
    EXPECT_GT(again.compare().requests, 200u);
}

TEST(Chapters, FromAMomentOnAllNamesAreKnown) {
    const auto records = toy_trace({});
    Shelf shelf = three_files(records);
    auto parts = open_all(shelf.names(), shelf.open());
    const Time from = records[records.size() * 2 / 3 + 50].at;
    parts[0]->rewind(from);
    std::vector<Record> got = all_of(*parts[0]);
    std::vector<Record> wanted, later;
    for (const Record& each : records)
        if (each.at >= from && each.type > trace::last_name_type) wanted.push_back(each);
    for (const Record& each : got)
        if (each.at >= from && each.type > trace::last_name_type) later.push_back(each);
    EXPECT_EQ(later, wanted);
    for (const RequestHistory& history : tales_of(got))
        if (history.begun) {
            EXPECT_EQ(history.function.find('#'), std::string::npos) << history.function;
        }
}

TEST(Chapters, WhatIsNoTraceIsNamed) {
    Shelf shelf;
    shelf.files["empty"];
    try {
        open_all({"empty"}, shelf.open());
        FAIL();
    } catch (const trace::TraceError& fault) {
        EXPECT_STREQ(fault.what(), "empty: this is no trace file");
    }
}

// ---------------------------------------------------------------- several controllers

struct Two {
    Shelf shelf;
    std::vector<std::unique_ptr<ControllerTrace>> parts;
    explicit Two(Time behind) {
        shelf.put("a", toy_trace(called("a", 3)));
        shelf.put("b", toy_trace(called("b", 4, behind)));
        parts = open_all(shelf.names(), shelf.open());
    }
    std::vector<ControllerTrace*> both() { return {parts[0].get(), parts[1].get()}; }
};

TEST(Merge, ClocksAreEstimatedFromWhatBothSaw) {
    for (const Time behind : {Time(0), Time(70ms), Time(350ms)}) {
        Two two(behind);
        const auto found = estimate_offsets(two.both());
        EXPECT_EQ(found[0].offset, Time{});
        EXPECT_GE(found[1].from, 3u);
        EXPECT_LE(std::chrono::abs(found[1].offset - behind), 1ms) << behind.count() << " " << found[1].offset.count();
    }
}

TEST(Merge, KeepsEachControllersOrderAndTellsJobsApart) {
    Two two(70ms);
    const auto stream = merge_traces(two.both(), {Time{}, Time(70ms)});
    const auto got = all_of(*stream);
    EXPECT_TRUE(std::is_sorted(got.begin(), got.end(), [](const Record& a, const Record& b) { return a.at < b.at; }));
    const auto again = merge_traces(two.both(), {Time{}, Time(70ms)});
    EXPECT_EQ(all_of(*again), got);
    // Every job's tale is as in its own trace, but for the shift of its clock.
    std::map<std::uint64_t, RequestHistory> histories;
    for (RequestHistory& history : tales_of(got)) histories[history.request] = std::move(history);
    for (std::uint64_t side = 0; side < 2; ++side) {
        two.parts[side]->rewind();
        for (const RequestHistory& own : tales_of(all_of(*two.parts[side]))) {
            const RequestHistory& there = histories.at(own.request * 2 + side);
            EXPECT_EQ(there.function, own.function);
            EXPECT_EQ(there.tenant, own.tenant);
            EXPECT_EQ(there.outcome, own.outcome);
            EXPECT_EQ(there.received_at - own.received_at, side ? Time(70ms) : Time{});
            ASSERT_EQ(there.attempts.size(), own.attempts.size());
            for (std::size_t i = 0; i < own.attempts.size(); ++i)
                EXPECT_EQ(there.attempts[i].invoker, own.attempts[i].invoker);
        }
    }
    EXPECT_EQ(histories.size(), 800u);
    NameTable names;
    for (const Record& each : got) names.feed(each);
    EXPECT_EQ(names.request(7), "3@b");
    trace::Replayer decided;
    EXPECT_THROW(decided.feed(got.front()), trace::TraceError);
}

TEST(Merge, OfOneMomentTheFirstControllerComesFirst) {
    Shelf shelf;
    for (const char* name : {"a", "b"}) {
        auto records = names_first();
        auto start = trace::unpack<trace::Start>(records[0].body);
        start.name = name;
        records[0].body = trace::pack(start);
        for (std::uint64_t request = 1; request <= 3; ++request) records.push_back(taken(1s, request));
        shelf.put(name, records);
    }
    auto parts = open_all({"b", "a"}, shelf.open());
    std::vector<std::uint64_t> order;
    const auto stream = merge_traces({parts[0].get(), parts[1].get()}, {Time{}, Time{}});
    while (const auto record = stream->next())
        if (record->type == trace::submit) order.push_back(record->request);
    EXPECT_EQ(order, (std::vector<std::uint64_t>{2, 4, 6, 3, 5, 7}));
}

// ---------------------------------------------------------------- names veiled

TEST(Anonymous, NoOriginalNameOrAddressIsLeftAndTheSameNameHasTheSameToken) {
    const auto records = toy_trace(with_reasons());
    Pseudonymizer one("a key of sixteen bytes or more"), same("a key of sixteen bytes or more"),
        other("another key, of as many bytes");
    std::vector<Record> veiled;
    for (const Record& each : records)
        if (auto out = one.pseudonymize(each)) veiled.push_back(std::move(*out));
    ASSERT_GT(veiled.size(), records.size() / 2);
    for (const Record& each : veiled)
        for (const char* part : {"secret", "toy", "10.9.8", "acme", "umbrella", "preview", "charge"})
            EXPECT_EQ(each.body.find(part), std::string::npos) << int(each.type) << " " << part;
    EXPECT_EQ(one.token("function", "f"), same.token("function", "f"));
    EXPECT_NE(one.token("function", "f"), other.token("function", "f"));
    EXPECT_NE(one.token("function", "f").substr(9), one.token("tenant", "f").substr(7));
    EXPECT_THROW(Pseudonymizer("short"), trace::TraceError);
    // It still tells what happened.
    const auto before = tales_of(records), after = tales_of(veiled);
    ASSERT_EQ(before.size(), after.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        EXPECT_EQ(before[i].outcome, after[i].outcome);
        EXPECT_EQ(one.token("function", before[i].function), after[i].function);
    }
    // A kind that this build does not know may hold anything.
    EXPECT_FALSE(one.pseudonymize({Time{}, 200, 0, "secret"}));
}

// ---------------------------------------------------------------- figures

TEST(Summary, CountsOutcomesHopsAndWaits) {
    const auto records = toy_trace({});
    Summary summary;
    NameTable names;
    Outcomes plain;
    for (const Record& each : records) {
        names.feed(each);
        summary.note(each, names);
    }
    std::uint64_t attempts = 0;
    for (const RequestHistory& history : tales_of(records)) {
        summary.add(history);
        plain.add(history);
        attempts += history.attempts.size();
    }
    summary.finish();
    EXPECT_EQ(summary.all().outcomes.total(), 400u);
    EXPECT_GT(plain.succeeded, 200u);
    EXPECT_GT(plain.failed, 0u);
    std::uint64_t by_function = 0, by_invoker = 0, by_second = 0, taken_sum = 0;
    for (const auto& [name, requests] : summary.functions()) by_function += requests.outcomes.total();
    for (const auto& [name, row] : summary.invokers()) by_invoker += row.sent;
    for (const SecondStats& each : summary.seconds()) by_second += each.ended.total(), taken_sum += each.received;
    EXPECT_EQ(by_function, 400u);
    EXPECT_EQ(by_invoker, attempts);
    EXPECT_EQ(by_second, 400u);
    EXPECT_EQ(taken_sum, 400u);
    ASSERT_TRUE(summary.worst());
    EXPECT_LE(summary.worst()->ended.ended_badly(), plain.ended_badly());
    EXPECT_TRUE(std::any_of(summary.annotations().begin(), summary.annotations().end(),
                            [](const Annotation& m) { return m.what.find("drains") != std::string::npos; }));
}

TEST(Summary, PercentilesAreWithinTwoPercent) {
    LatencyHistogram spread;
    EXPECT_EQ(spread.quantile(0.5), Time{});
    for (int i = 1; i <= 10'000; ++i) spread.add(Time(i * 100));
    for (const double part : {0.01, 0.5, 0.9, 0.99, 0.999})
        EXPECT_NEAR(static_cast<double>(spread.quantile(part).count()), part * 1e6, part * 1e6 * 0.021) << part;
    EXPECT_EQ(spread.quantile(1), Time(1'000'000));
    LatencyHistogram wide;
    wide.add(Time(1));
    wide.add(std::chrono::hours(1));
    EXPECT_EQ(wide.quantile(0.1), Time(1));
    EXPECT_EQ(wide.quantile(1), std::chrono::hours(1));
}

TEST(Summary, ItsTablesAreBounded) {
    Summary summary(3, 10);
    for (int i = 0; i < 20; ++i) {
        RequestHistory history;
        history.begun = true;
        history.function = "f" + std::to_string(i);
        history.received_at = history.ended_at = std::chrono::seconds(i);
        summary.add(history);
    }
    summary.finish();
    EXPECT_EQ(summary.functions().size(), 4u);
    EXPECT_EQ(summary.functions().at("(others)").outcomes.total(), 17u);
    EXPECT_EQ(summary.seconds().size(), 10u);
    EXPECT_EQ(summary.all().outcomes.total(), 20u);
}

TEST(Summary, TheWorstTenSecondsAreThoseWithTheMostBadEnds) {
    Summary summary;
    auto end = [&](int second, RequestState how) {
        RequestHistory history;
        history.begun = true;
        history.received_at = history.ended_at = std::chrono::seconds(second);
        history.outcome = how;
        summary.add(history);
    };
    for (int s = 0; s < 60; ++s) end(s, RequestState::succeeded);
    for (int s = 30; s < 38; ++s) end(s, RequestState::rejected);
    end(5, RequestState::failed);
    summary.finish();
    ASSERT_TRUE(summary.worst());
    EXPECT_EQ(summary.worst()->ended.rejected, 8u);
    EXPECT_LE(summary.worst()->from, 30s);
    EXPECT_GE(summary.worst()->from, 28s);
}

TEST(Telling, JsonAndTraceEventsNameEachHop) {
    const auto records = toy_trace({});
    NameTable names(true);
    for (const Record& each : records) names.feed(each);
    for (const RequestHistory& history : tales_of(records)) {
        const std::string json = format_json(history, names);
        EXPECT_NE(json.find("\"outcome\":\"" + history.outcome_name() + "\""), std::string::npos);
        const std::string events = chrome_events(history, names);
        std::size_t bars = 0;
        for (std::size_t at = 0; (at = events.find("\"ph\":\"X\"", at)) != std::string::npos; ++at) ++bars;
        EXPECT_GE(bars, history.attempts.size());
    }
}

}  // namespace
}  // namespace plumkeel::trace_analysis
