// Bytes on the wire and on disk, against files written by the program of commit 55cb4ef: what clients, invokers,
// discovery and receivers of remote write get to see, and stored traces and spools that later versions must open.
//
// A file that is missing is a failure. PLUMKEEL_WRITE_GOLDEN=1 writes the files anew: only for a change of the protocol
// or of a stored format, with its reason in the commit.
#include <cstdlib>
#include <filesystem>
#include <iterator>

#include "discovery/frame_decoder.hpp"
#include "fastcgi/records.hpp"
#include "invoker_protocol/codec.hpp"
#include "net/simulated_event_loop.hpp"
#include "remote_write/sender.hpp"
#include "tests/platform_fixture.hpp"
#include "tests/simulated_trace.hpp"
#include "trace/file.hpp"
#include "trace/reader.hpp"
#include "trace/replayer.hpp"
#include "trace/writer.hpp"

namespace plumkeel::platform {
namespace {

bool writes_golden() {
    return std::getenv("PLUMKEEL_WRITE_GOLDEN") != nullptr;
}

std::string golden_path(const std::string& name) {
    return std::string(PLUMKEEL_GOLDEN) + "/" + name;
}

// Printable, a line a line end, so that a difference can be read.
std::string escaped(std::string_view bytes) {
    std::string out;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '\\')
            out += "\\\\";
        else if (c == '\n')
            out += "\\n\n";
        else if (byte < 0x20 || byte >= 0x7f)
            out += fmt::format("\\x{:02x}", byte);
        else
            out += c;
    }
    return out + "\n";
}

void expect_golden(const std::string& name, std::string_view bytes) {
    const std::string text = escaped(bytes);
    if (writes_golden()) {
        std::ofstream(golden_path(name), std::ios::binary) << text;
        return;
    }
    std::ifstream file(golden_path(name), std::ios::binary);
    ASSERT_TRUE(file) << name << " is missing";
    const std::string expected{std::istreambuf_iterator<char>(file), {}};
    EXPECT_EQ(text, expected) << name;
}

TEST(GoldenCodec, FastCgiRecords) {
    std::string all;
    all += fastcgi::encode_stdout(7, "Status: 200\r\n\r\nbody");
    all += fastcgi::encode_stdout(1, "");
    all += fastcgi::encode_end_request(7, 0, fastcgi::ProtocolStatus::request_complete, true);
    all += fastcgi::encode_end_request(513, 9, fastcgi::ProtocolStatus::overloaded, false);
    all += fastcgi::encode_end_request(2, 0, fastcgi::ProtocolStatus::unknown_role, true);
    const std::string asked = bytes::pair("FCGI_MAX_CONNS", "") + bytes::pair("FCGI_MPXS_CONNS", "") +
                              bytes::pair("FCGI_MAX_REQS", "") + bytes::pair("FCGI_OTHER", "");
    all += fastcgi::encode_values(asked, 64, 512);
    all += fastcgi::encode_unknown_type(77);
    expect_golden("fastcgi_records.txt", all);
    // A body longer than a record takes several.
    expect_golden("fastcgi_long_body.txt", fastcgi::encode_stdout(3, std::string(150'000, 'x')));
}

TEST(GoldenCodec, InvokerLines) {
    std::string all;
    all += invoker_protocol::encode_run("00000000000000a1", "preview", "fn-7", "", 1500, 4);
    all += invoker_protocol::encode_run("00000000000000a2", "charge", "fn-8", "key-1", 0, 0);
    all += invoker_protocol::encode_stop("00000000000000a1");
    all += invoker_protocol::encode_probe("t17", true);
    all += invoker_protocol::encode_probe("t18", false);
    all += invoker_protocol::body_end;
    expect_golden("invoker_lines.txt", all);
}

TEST(GoldenCodec, DiscoveryAsks) {
    expect_golden("discovery_asks.txt", discovery::encode_subscription(0) + discovery::encode_subscription(1) +
                                            discovery::encode_subscription(0x0123456789abcdef));
}

TEST(GoldenCodec, RemoteWriteParts) {
    remote_write::SeriesEncoder scraper(3);
    std::vector<remote_write::Sample> samples;
    for (int i = 0; i < 12; ++i) {
        const std::string number = std::to_string(i);
        samples.push_back({{{"__name__", "plumkeel_metric"}, {"controller", "n1"}, {"series", number}}, 0.5 * i});
    }
    std::string all;
    for (const remote_write::Shard& part : scraper.encode(samples, 1'700'000'000'000)) all += part.bytes + "|";
    samples.resize(5);
    for (const remote_write::Shard& part : scraper.encode(samples, 1'700'000'005'000))
        all += part.bytes + "|";  // seven have ended
    for (const remote_write::Shard& part : scraper.encode_end(1'700'000'010'000)) all += part.bytes + "|";
    expect_golden("remote_write_parts.txt", all);
}

// What a receiver reads, head and packed body.
TEST(GoldenCodec, RemoteWriteRequest) {
    net::SimulatedEventLoop loop;
    remote_write::QueueConfig rules;
    rules.folder = testing::TempDir() + "/golden_request." + std::to_string(::getpid());
    rules.shards = 1;
    std::filesystem::remove_all(rules.folder);
    remote_write::DurableQueue spool(rules, {"store"});
    remote_write::SeriesEncoder scraper(1);
    spool.append(1'700'000'000'000,
                 scraper.encode({{{{"__name__", "up"}, {"controller", "n1"}}, 1}}, 1'700'000'000'000));
    const net::Address address{"10.0.0.9", 9090};
    const std::shared_ptr<net::Listener> listener = loop.listen(address).listener;
    std::string got;
    std::shared_ptr<net::Stream> stream;
    loop.spawn([](std::shared_ptr<net::Listener> from, std::string& to, std::shared_ptr<net::Stream>& keep) -> Task<> {
        keep = (co_await from->accept()).stream;
        std::vector<char> room(4096);
        for (;;) {
            const auto moved = co_await keep->read(net::asio::buffer(room));
            if (moved.error) co_return;
            to.append(room.data(), moved.bytes);
        }
    }(listener, got, stream));
    remote_write::ReceiverConfig receiver;
    receiver.name = "store";
    receiver.address = address.to_string();
    receiver.bearer = "token-1";
    remote_write::Sender sender(loop, receiver, spool, 1, 1, [](remote_write::ExportEvent, const std::string&) {});
    sender.start();
    sender.notify(100);
    loop.run(2s);
    std::filesystem::remove_all(rules.folder);
    expect_golden("remote_write_request.txt", got);
}

// Whole answers as web servers read them, and all that the invoker and discovery read meanwhile.
class GoldenPlatform : public PlatformTest {};

TEST_F(GoldenPlatform, AnswersAndRuns) {
    open();
    ScriptedDiscovery board(loop, "10.9.0.1");
    add_invoker(
        {InvokerBehaviour::respond, InvokerBehaviour::fail, InvokerBehaviour::reject, InvokerBehaviour::respond});
    add_invoker({InvokerBehaviour::reject, InvokerBehaviour::respond});
    ScriptedClient& well_served =
        add_client(20ms, {{0ms, message(1, request_fields(hex16(0xa1), hex16(0xf)), "work")},
                          {300ms, message(2, request_fields(hex16(0xa2), hex16(0xe)), "more work")},
                          {600ms, message(3, request_fields(hex16(0xa3), hex16(0xd), 400), "hasty work")}});
    Fields unknown_class = request_fields(hex16(0xb1), hex16(0xf));
    unknown_class[0].second = "/invoke/nothing";
    Fields no_time = request_fields(hex16(0xb2), hex16(0xf), 0);
    Fields absurd_time = request_fields(hex16(0xb3), hex16(0xf));
    absurd_time[2].second = "soon";
    Fields health = request_fields(hex16(0xb4), hex16(0xf));
    health[0].second = "/_health";
    Fields elsewhere = request_fields(hex16(0xb5), hex16(0xf));
    elsewhere[0].second = "/other";
    ScriptedClient& turned_down =
        add_client(40ms, {{0ms, message(1, unknown_class, "x")},
                          {100ms, message(2, no_time, "x")},
                          {200ms, message(3, absurd_time, "x")},
                          {300ms, message(4, health)},
                          {400ms, message(5, elsewhere, "x")},
                          {500ms, message(6, request_fields(hex16(0xb6), hex16(0xf)), std::string(200'000, 'b'))},
                          {700ms, record(9, 0, pair("FCGI_MAX_CONNS", "") + pair("FCGI_MPXS_CONNS", ""))},
                          {800ms, record(33, 0, "")}});
    loop.run(4s);
    expect_golden("answers_served.txt", well_served.received);
    expect_golden("answers_refused.txt", turned_down.received);
    std::string lines;
    for (const auto& each : invokers)
        for (const std::string& line : each->run_lines) lines += line + "\r\n";
    expect_golden("runs_at_invokers.txt", lines);
    std::string asked;
    for (const auto& [at, number] : board.subscriptions) asked += fmt::format("{} {}\n", at.count(), number);
    expect_golden("discovery_asked.txt", asked);
}

// The status that operators and tools read.
TEST_F(GoldenPlatform, RefusedForWantOfInvokers) {
    open();
    ScriptedDiscovery board(loop, "10.9.0.1");
    ScriptedClient& it = add_client(20ms, {{0ms, message(1, request_fields(hex16(0xc1), hex16(0xf), 700), "work")}});
    loop.run(3s);
    expect_golden("answers_without_invokers.txt", it.received);
}

// A trace written then is read, told and decided again without a difference.
TEST(GoldenFiles, ATraceOfAnEarlierVersionIsDecidedAgain) {
    const std::string path = golden_path("decisions.trace");
    const std::vector<trace::Record> today = simulated_trace({"toy", 3, 240, {}, true});
    if (writes_golden()) {
        std::filesystem::remove(path);
        trace::FileSink sink(path);
        trace::Writer writer(sink, Time(1'700'000'000'000'000));
        for (const trace::Record& record : today) writer.add(record);
        writer.finish();
    }
    const trace::FileSource source(path);
    trace::Reader reader(source);
    EXPECT_TRUE(reader.finished());
    EXPECT_EQ(reader.start_time(), Time(1'700'000'000'000'000));
    std::vector<trace::Record> then;
    trace::Replayer again;
    reader.for_each({}, [&](const trace::Record& record) {
        then.push_back(record);
        again.feed(record);
        return true;
    });
    EXPECT_TRUE(reader.damage().empty());
    const trace::Comparison comparison = again.compare();
    EXPECT_GT(comparison.calls, 400u);
    EXPECT_EQ(comparison.different_calls, 0u);
    EXPECT_FALSE(comparison.first);
    // The same calls are recorded byte for byte as they were then, with all reasons and candidates.
    ASSERT_EQ(then.size(), today.size());
    for (std::size_t i = 0; i < then.size(); ++i) ASSERT_EQ(then[i], today[i]) << i;
}

// A spool written then is opened: what waits, each receiver's place and the count of what was dropped.
TEST(GoldenFiles, ASpoolOfAnEarlierVersionIsOpened) {
    remote_write::QueueConfig rules;
    rules.folder = golden_path("spool");
    rules.shards = 2;
    rules.max_age = std::chrono::hours(24 * 365 * 100);
    remote_write::SeriesEncoder scraper(2);
    std::vector<remote_write::Sample> samples;
    for (int i = 0; i < 6; ++i) samples.push_back({{{"__name__", "m"}, {"series", std::to_string(i)}}, 1.0 * i});
    if (writes_golden()) {
        std::filesystem::remove_all(rules.folder);
        remote_write::DurableQueue spool(rules, {"store", "other"});
        for (int i = 0; i < 4; ++i)
            spool.append(1'700'000'000'000 + 5000 * i, scraper.encode(samples, 1'700'000'000'000 + 5000 * i));
        spool.advance("store", 0, spool.read("store", 0, 1).next);
    }
    const std::string copy = testing::TempDir() + "/golden_spool." + std::to_string(::getpid());
    std::filesystem::remove_all(copy);
    std::filesystem::copy(rules.folder, copy, std::filesystem::copy_options::recursive);
    rules.folder = copy;
    {
        remote_write::DurableQueue spool(rules, {"store", "other"});
        EXPECT_EQ(spool.next_sequence(), 4u);
        EXPECT_EQ(spool.newest_timestamp_ms(), 1'700'000'015'000);
        EXPECT_EQ(spool.dropped_samples(), 0u);
        EXPECT_EQ(spool.pending_samples("other"), 24u);
        EXPECT_LT(spool.pending_samples("store"), 24u);
        std::string all;
        for (int part = 0; part < 2; ++part)
            for (const char* receiver : {"store", "other"}) {
                const remote_write::DurableQueue::Batch batch = spool.read(receiver, part, 1000);
                all += fmt::format("{} {} samples {} next {} oldest {}: ", receiver, part, batch.samples, batch.next,
                                   batch.oldest_ms) +
                       batch.bytes + "\n";
            }
        expect_golden("spool_batches.txt", all);
    }
    std::filesystem::remove_all(copy);
}

}  // namespace
}  // namespace plumkeel::platform
