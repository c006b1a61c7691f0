// Feeds hostile bytes to all that reads traces, under sanitizers: whole files with damage, and records whose
// bodies are not as they should be inside files whose sums are good. The entry is libFuzzer's; main() runs a fixed
// number of inputs made from seeds, so that its verdict is the same every time.
#include <cstdio>
#include <cstdlib>

#include "tests/memory_file.hpp"
#include "tests/toy_trace.hpp"
#include "trace_analysis/history_format.hpp"
#include "trace_analysis/merged_stream.hpp"
#include "trace_analysis/pseudonymizer.hpp"
#include "trace_analysis/summary.hpp"

namespace {

using namespace plumkeel;

template <class What>
void try_to(What what) {
    try {
        what();
    } catch (const trace::TraceError&) {
    }
}

void read_all(const std::string& bytes) {
    MemoryFile file;
    file.bytes = bytes;
    const auto open = [&](const std::string&) { return std::make_unique<MemoryFile>(file); };
    try_to([&] {
        auto parts = trace_analysis::open_all({"x", "y"}, open);
        std::vector<trace_analysis::ControllerTrace*> all;
        for (const auto& each : parts) all.push_back(each.get());
        std::vector<trace::Record> records;
        while (const auto record = all.front()->next()) records.push_back(*record);
        trace_analysis::NameTable names(true);
        trace_analysis::Summary summary(50, 100);
        trace_analysis::HistoryBuilder histories(
            [&](const trace_analysis::RequestHistory& one) {
                summary.add(one);
                trace_analysis::format_history(one, names);
                trace_analysis::format_json(one, names);
                trace_analysis::chrome_events(one, names);
            },
            false, 40);
        trace_analysis::Pseudonymizer anonymous("sixteen bytes or more");
        for (const trace::Record& record : records) {
            try_to([&] { names.feed(record); });
            try_to([&] { histories.feed(record); });
            try_to([&] { summary.note(record, names); });
            try_to([&] { anonymous.pseudonymize(record); });
        }
        histories.finish();
        summary.finish();
        summary.worst();
        try_to([&] {
            const auto braid =
                trace_analysis::merge_traces(all, std::vector<trace::Time>(all.size()), trace::Time(300'000));
            while (braid->next()) {
            }
        });
        try_to([&] { trace_analysis::estimate_offsets(all); });
        try_to([&] {
            trace::Replayer again;
            for (const trace::Record& record : records) again.feed(record);
            again.compare();
        });
    });
    try_to([&] {
        trace::Reader reader(file);
        reader.of_job(7, [](const trace::Record&) { return true; });
    });
}

std::string file_of(const std::vector<trace::Record>& records) {
    MemoryFile file;
    trace::Writer writer(file, trace::Time(5), 700);
    for (const trace::Record& each : records) writer.add(each);
    writer.finish();
    return std::move(file.bytes);
}

void harm(std::string& bytes, std::uint64_t& dice) {
    if (bytes.empty()) return;
    const std::size_t at = toy_dice(dice) % bytes.size(),
                      n = std::min<std::size_t>(1 + toy_dice(dice) % 20, bytes.size() - at);
    switch (toy_dice(dice) % 5) {
        case 0:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << (toy_dice(dice) % 8)));
            break;
        case 1:
            bytes[at] = static_cast<char>(toy_dice(dice) % 2 ? 0xff : 0x7f);
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

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    read_all(std::string(reinterpret_cast<const char*>(data), size));
    return 0;
}

#ifndef PLUMKEEL_LIBFUZZER
int main(int argc, char** argv) {
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 600;
    ToyPlay play;
    play.requests = 40;
    play.reasons = true;
    const auto records = toy_trace(play);
    const std::string whole = file_of(records);
    std::uint64_t dice = 2026;
    for (int round = 0; round < rounds; ++round) {
        std::string bytes = whole;
        for (auto n = 1 + toy_dice(dice) % 3; n > 0; --n) harm(bytes, dice);
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
        // Good sums, bad contents.
        auto hostile = records;
        for (auto n = 1 + toy_dice(dice) % 4; n > 0; --n) {
            trace::Record& one = hostile[toy_dice(dice) % hostile.size()];
            switch (toy_dice(dice) % 4) {
                case 0:
                    one.type = static_cast<std::uint8_t>(toy_dice(dice) % 35);
                    break;
                case 1:
                    one.request = toy_dice(dice) % 50;
                    break;
                default:
                    harm(one.body, dice);
            }
        }
        read_all(file_of(hostile));
    }
    std::printf("%d inputs of each sort: no crash\n", rounds);
    return 0;
}
#endif
