// Feeds hostile bytes to all that reads traces, under sanitizers: whole files with damage, and records whose
// bodies are not as they should be inside files whose sums are good. The entry is libFuzzer's; main() runs a fixed
// number of inputs made from seeds, so that its verdict is the same every time.
#include <cstdio>
#include <cstdlib>

#include "tests/memory_file.hpp"
#include "tale/anonymous.hpp"
#include "tale/stream.hpp"
#include "tale/summary.hpp"
#include "tale/telling.hpp"
#include "tests/toy_trace.hpp"

namespace {

using namespace plumkeel;

template <class What>
void try_to(What what) {
    try {
        what();
    } catch (const trace::Fault&) {
    }
}

void read_all(const std::string& bytes) {
    MemoryFile file;
    file.bytes = bytes;
    const auto open = [&](const std::string&) { return std::make_unique<MemoryFile>(file); };
    try_to([&] {
        auto parts = tale::open_all({"x", "y"}, open);
        std::vector<tale::Chapters*> all;
        for (const auto& each : parts) all.push_back(each.get());
        std::vector<trace::Record> records;
        while (const auto record = all.front()->next()) records.push_back(*record);
        tale::Names names(true);
        tale::Summary summary(50, 100);
        tale::Tales tales(
            [&](const tale::Tale& one) {
                summary.add(one);
                tale::story_of(one, names);
                tale::json_of(one, names);
                tale::chrome_events(one, names);
            },
            false, 40);
        tale::Anonymous anonymous("sixteen bytes or more");
        for (const trace::Record& record : records) {
            try_to([&] { names.feed(record); });
            try_to([&] { tales.feed(record); });
            try_to([&] { summary.note(record, names); });
            try_to([&] { anonymous.veiled(record); });
        }
        tales.finish();
        summary.finish();
        summary.worst();
        try_to([&] {
            const auto braid = tale::merged(all, std::vector<trace::Time>(all.size()), trace::Time(300'000));
            while (braid->next()) {
            }
        });
        try_to([&] { tale::estimate_offsets(all); });
        try_to([&] {
            trace::Again again;
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
    const std::size_t at = toy_dice(dice) % bytes.size(), n = std::min<std::size_t>(1 + toy_dice(dice) % 20, bytes.size() - at);
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
    play.jobs = 40;
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
                    one.kind = static_cast<std::uint8_t>(toy_dice(dice) % 35);
                    break;
                case 1:
                    one.job = toy_dice(dice) % 50;
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
