/// \file
/// Feeds hostile bytes to all code that reads traces, under sanitizers: files with damage, and records with malformed
/// bodies inside files whose checksums are good. The entry point is libFuzzer's; main() runs a fixed number of inputs
/// generated from seeds, so that its verdict is the same every time.
#include <cstdio>
#include <cstdlib>

#include "tests/memory_file.hpp"
#include "tests/simulated_trace.hpp"
#include "trace/replayer.hpp"
#include "trace/writer.hpp"
#include "trace_analysis/clock_offset.hpp"
#include "trace_analysis/history_builder.hpp"
#include "trace_analysis/history_export.hpp"
#include "trace_analysis/history_format.hpp"
#include "trace_analysis/merged_stream.hpp"
#include "trace_analysis/pseudonymizer.hpp"
#include "trace_analysis/summary.hpp"

namespace {

using namespace plumkeel;

/// TraceError is the only exception that a reader may throw.
template <class Function>
void allow_trace_error(Function function) {
    try {
        function();
    } catch (const trace::TraceError&) {
    }
}

std::vector<trace::Record> read_records(trace_analysis::RecordStream& stream) {
    std::vector<trace::Record> records;
    while (const auto record = stream.next()) records.push_back(*record);
    return records;
}

void analyze(const std::vector<trace::Record>& records) {
    trace_analysis::NameTable names(true);
    trace_analysis::Summary summary(50, 100);
    trace_analysis::HistoryBuilder builder(
        [&](const trace_analysis::RequestHistory& history) {
            summary.add(history);
            trace_analysis::format_history(history, names);
            trace_analysis::to_json(history, names);
            trace_analysis::to_chrome_events(history, names);
        },
        false, 40);
    const trace_analysis::Pseudonymizer pseudonymizer("sixteen bytes or more");
    for (const trace::Record& record : records) {
        allow_trace_error([&] { names.feed(record); });
        allow_trace_error([&] { builder.feed(record); });
        allow_trace_error([&] { summary.add_annotations(record, names); });
        allow_trace_error([&] { pseudonymizer.pseudonymize(record); });
    }
    builder.finish();
    summary.finish();
    summary.worst_period();
}

void replay(const std::vector<trace::Record>& records) {
    trace::Replayer replayer;
    for (const trace::Record& record : records) replayer.feed(record);
    replayer.compare();
}

void use_as_trace(const std::string& bytes) {
    const MemoryFile file(bytes);
    const auto open = [&](const std::string&) { return std::make_unique<MemoryFile>(file); };
    allow_trace_error([&] {
        const auto traces = trace_analysis::open_traces({"x", "y"}, open);
        std::vector<trace_analysis::ControllerTrace*> all;
        for (const auto& each : traces) all.push_back(each.get());
        const std::vector<trace::Record> records = read_records(*all.front());
        analyze(records);
        allow_trace_error([&] {
            trace_analysis::MergedStream merged(all, std::vector<trace::Time>(all.size()), trace::Time(300'000));
            while (merged.next()) {
            }
        });
        allow_trace_error([&] { trace_analysis::estimate_offsets(all); });
        allow_trace_error([&] { replay(records); });
    });
    allow_trace_error([&] {
        trace::Reader reader(file);
        reader.for_each_of_request(7, [](const trace::Record&) { return true; });
    });
}

std::string to_file(const std::vector<trace::Record>& records) {
    MemoryFile file;
    trace::Writer writer(file, trace::Time(5), 700);
    for (const trace::Record& each : records) writer.add(each);
    writer.finish();
    return std::move(file.bytes);
}

void damage(std::string& bytes, std::uint64_t& random) {
    if (bytes.empty()) return;
    const std::size_t at = next_random(random) % bytes.size(),
                      n = std::min<std::size_t>(1 + next_random(random) % 20, bytes.size() - at);
    switch (next_random(random) % 5) {
        case 0:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << (next_random(random) % 8)));
            break;
        case 1:
            bytes[at] = static_cast<char>(next_random(random) % 2 ? 0xff : 0x7f);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, n));
            break;
        case 3:
            bytes.erase(at, n);
            break;
        default:
            bytes.resize(at);
    }
}

/// Alters a few records, which are then written with good checksums.
std::vector<trace::Record> with_hostile_records(std::vector<trace::Record> records, std::uint64_t& random) {
    for (auto n = 1 + next_random(random) % 4; n > 0; --n) {
        trace::Record& record = records[next_random(random) % records.size()];
        switch (next_random(random) % 4) {
            case 0:
                record.type = static_cast<std::uint8_t>(next_random(random) % 35);
                break;
            case 1:
                record.request = next_random(random) % 50;
                break;
            default:
                damage(record.body, random);
        }
    }
    return records;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    use_as_trace(std::string(reinterpret_cast<const char*>(data), size));
    return 0;
}

#ifndef PLUMKEEL_LIBFUZZER
int main(int argc, char** argv) {
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 600;
    SimulatedTraceOptions options;
    options.requests = 40;
    options.candidates = true;
    const auto records = simulated_trace(options);
    const std::string whole = to_file(records);
    std::uint64_t random = 2026;
    for (int round = 0; round < rounds; ++round) {
        std::string bytes = whole;
        for (auto n = 1 + next_random(random) % 3; n > 0; --n) damage(bytes, random);
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
        use_as_trace(to_file(with_hostile_records(records, random)));
    }
    std::printf("%d inputs of each sort: no crash\n", rounds);
    return 0;
}
#endif
