/// \file
/// Fuzz test of all code that reads traces, with damaged files and with malformed records in files with correct
/// checksums. It has libFuzzer's entry point; without libFuzzer, main() runs reproducible pseudo-random inputs.
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

/// Calls the function and ignores a TraceError, the only exception that reading a trace may throw.
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

void read_as_trace(const std::string& bytes) {
    const MemoryFile file(bytes);
    const auto open = [&](const std::string&) { return std::make_unique<MemoryFile>(file); };
    allow_trace_error([&] {
        const auto traces = trace_analysis::open_traces({"x", "y"}, open);
        std::vector<trace_analysis::ControllerTrace*> trace_pointers;
        for (const auto& each : traces) trace_pointers.push_back(each.get());
        const std::vector<trace::Record> records = read_records(*trace_pointers.front());
        analyze(records);
        allow_trace_error([&] {
            trace_analysis::MergedStream merged(trace_pointers, std::vector<trace::Time>(trace_pointers.size()),
                                                trace::Time(300'000));
            while (merged.next()) {
            }
        });
        allow_trace_error([&] { trace_analysis::estimate_offsets(trace_pointers); });
        allow_trace_error([&] { replay(records); });
    });
    allow_trace_error([&] {
        trace::Reader reader(file);
        reader.for_each_of_request(7, [](const trace::Record&) { return true; });
    });
}

std::string encode_trace_file(const std::vector<trace::Record>& records) {
    MemoryFile file;
    trace::Writer writer(file, trace::Time(5), 700);
    for (const trace::Record& record : records) writer.add(record);
    writer.finish();
    return std::move(file.bytes);
}

void damage_bytes(std::string& bytes, std::uint64_t& random_state) {
    if (bytes.empty()) return;
    const std::size_t offset = next_random(random_state) % bytes.size(),
                      length = std::min<std::size_t>(1 + next_random(random_state) % 20, bytes.size() - offset);
    switch (next_random(random_state) % 5) {
        case 0:
            bytes[offset] = static_cast<char>(bytes[offset] ^ (1 << (next_random(random_state) % 8)));
            break;
        case 1:
            bytes[offset] = static_cast<char>(next_random(random_state) % 2 ? 0xff : 0x7f);
            break;
        case 2:
            bytes.insert(offset, bytes.substr(offset, length));
            break;
        case 3:
            bytes.erase(offset, length);
            break;
        default:
            bytes.resize(offset);
    }
}

/// Makes a few records malformed. The caller writes them to a file with correct checksums.
std::vector<trace::Record> with_malformed_records(std::vector<trace::Record> records, std::uint64_t& random_state) {
    for (auto changes = 1 + next_random(random_state) % 4; changes > 0; --changes) {
        trace::Record& record = records[next_random(random_state) % records.size()];
        switch (next_random(random_state) % 4) {
            case 0:
                record.type = static_cast<std::uint8_t>(next_random(random_state) % 35);
                break;
            case 1:
                record.request = next_random(random_state) % 50;
                break;
            default:
                damage_bytes(record.body, random_state);
        }
    }
    return records;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    read_as_trace(std::string(reinterpret_cast<const char*>(data), size));
    return 0;
}

#ifndef PLUMKEEL_LIBFUZZER
int main(int argc, char** argv) {
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 600;
    SimulatedTraceOptions options;
    options.requests = 40;
    options.candidates = true;
    const auto records = simulated_trace(options);
    const std::string intact_bytes = encode_trace_file(records);
    std::uint64_t random_state = 2026;
    for (int round = 0; round < rounds; ++round) {
        std::string bytes = intact_bytes;
        for (auto changes = 1 + next_random(random_state) % 3; changes > 0; --changes)
            damage_bytes(bytes, random_state);
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
        read_as_trace(encode_trace_file(with_malformed_records(records, random_state)));
    }
    std::printf("%d damaged files, and as many with malformed records, were read without a crash\n", rounds);
    return 0;
}
#endif
