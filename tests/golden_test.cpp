// Compares bytes on the wire and on disk with golden files, which an earlier version of the program wrote: messages to
// clients, invokers, discovery servers and remote write receivers, stored traces, and stored remote write queues.
//
// A missing golden file fails the test. PLUMKEEL_WRITE_GOLDEN=1 rewrites the golden files. Rewrite them only for an
// intended change of a protocol or of a stored format, and give the reason in the commit.
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

bool rewrites_golden_files() {
    return std::getenv("PLUMKEEL_WRITE_GOLDEN") != nullptr;
}

std::string golden_path(const std::string& name) {
    return std::string(PLUMKEEL_GOLDEN) + "/" + name;
}

// Escapes unprintable bytes and starts a new line after each line feed, so that a difference is readable.
std::string escape(std::string_view bytes) {
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
    const std::string text = escape(bytes);
    if (rewrites_golden_files()) {
        std::ofstream(golden_path(name), std::ios::binary) << text;
        return;
    }
    std::ifstream file(golden_path(name), std::ios::binary);
    ASSERT_TRUE(file) << name << " is missing";
    const std::string expected{std::istreambuf_iterator<char>(file), {}};
    EXPECT_EQ(text, expected) << name;
}

TEST(GoldenCodec, FastCgiRecords) {
    std::string encoded;
    encoded += fastcgi::encode_stdout(7, "Status: 200\r\n\r\nbody");
    encoded += fastcgi::encode_stdout(1, "");
    encoded += fastcgi::encode_end_request(7, 0, fastcgi::ProtocolStatus::request_complete, true);
    encoded += fastcgi::encode_end_request(513, 9, fastcgi::ProtocolStatus::overloaded, false);
    encoded += fastcgi::encode_end_request(2, 0, fastcgi::ProtocolStatus::unknown_role, true);
    const std::string requested_values = bytes::pair("FCGI_MAX_CONNS", "") + bytes::pair("FCGI_MPXS_CONNS", "") +
                                         bytes::pair("FCGI_MAX_REQS", "") + bytes::pair("FCGI_OTHER", "");
    encoded += fastcgi::encode_values(requested_values, 64, 512);
    encoded += fastcgi::encode_unknown_type(77);
    expect_golden("fastcgi_records.txt", encoded);
    // A body that is too long for one FastCGI record is split into several.
    expect_golden("fastcgi_long_body.txt", fastcgi::encode_stdout(3, std::string(150'000, 'x')));
}

TEST(GoldenCodec, InvokerLines) {
    std::string encoded;
    encoded += invoker_protocol::encode_run("00000000000000a1", "preview", "fn-7", "", 1500, 4);
    encoded += invoker_protocol::encode_run("00000000000000a2", "charge", "fn-8", "key-1", 0, 0);
    encoded += invoker_protocol::encode_stop("00000000000000a1");
    encoded += invoker_protocol::encode_probe("t17", true);
    encoded += invoker_protocol::encode_probe("t18", false);
    encoded += invoker_protocol::body_end;
    expect_golden("invoker_lines.txt", encoded);
}

TEST(GoldenCodec, DiscoverySubscriptions) {
    expect_golden("discovery_asks.txt", discovery::encode_subscription(0) + discovery::encode_subscription(1) +
                                            discovery::encode_subscription(0x0123456789abcdef));
}

TEST(GoldenCodec, RemoteWriteShards) {
    remote_write::SeriesEncoder encoder(3);
    std::vector<remote_write::Sample> samples;
    for (int i = 0; i < 12; ++i) {
        const std::string number = std::to_string(i);
        samples.push_back({{{"__name__", "plumkeel_metric"}, {"controller", "n1"}, {"series", number}}, 0.5 * i});
    }
    std::string encoded;
    for (const remote_write::Shard& shard : encoder.encode(samples, 1'700'000'000'000)) encoded += shard.bytes + "|";
    samples.resize(5);
    for (const remote_write::Shard& shard : encoder.encode(samples, 1'700'000'005'000))
        encoded += shard.bytes + "|";  // seven of the twelve series have ended
    for (const remote_write::Shard& shard : encoder.encode_end(1'700'000'010'000)) encoded += shard.bytes + "|";
    expect_golden("remote_write_parts.txt", encoded);
}

// The HTTP request that a remote write receiver reads: head and compressed body.
TEST(GoldenCodec, RemoteWriteRequest) {
    net::SimulatedEventLoop loop;
    remote_write::QueueConfig queue_config;
    queue_config.folder = testing::TempDir() + "/golden_request." + std::to_string(::getpid());
    queue_config.shards = 1;
    std::filesystem::remove_all(queue_config.folder);
    remote_write::DurableQueue queue(queue_config, {"store"});
    remote_write::SeriesEncoder encoder(1);
    queue.append(1'700'000'000'000,
                 encoder.encode({{{{"__name__", "up"}, {"controller", "n1"}}, 1}}, 1'700'000'000'000));
    const net::Address address{"10.0.0.9", 9090};
    const std::shared_ptr<net::Listener> listener = loop.listen(address).listener;
    std::string received_bytes;
    std::shared_ptr<net::Stream> stream;
    loop.spawn([](std::shared_ptr<net::Listener> source, std::string& output,
                  std::shared_ptr<net::Stream>& accepted) -> Task<> {
        accepted = (co_await source->accept()).stream;
        std::vector<char> buffer(4096);
        for (;;) {
            const auto transfer = co_await accepted->read(net::asio::buffer(buffer));
            if (transfer.error) co_return;
            output.append(buffer.data(), transfer.bytes);
        }
    }(listener, received_bytes, stream));
    remote_write::ReceiverConfig receiver;
    receiver.name = "store";
    receiver.address = address.to_string();
    receiver.bearer = "token-1";
    remote_write::Sender sender(loop, receiver, queue, 1, 1, [](remote_write::ExportEvent, const std::string&) {});
    sender.start();
    sender.notify(100);
    loop.run(2s);
    std::filesystem::remove_all(queue_config.folder);
    expect_golden("remote_write_request.txt", received_bytes);
}

// Runs the gateway with scripted clients, invokers and a discovery server, and compares the bytes that each receives
// with golden files.
class GoldenPlatform : public PlatformTest {};

TEST_F(GoldenPlatform, ResponsesAndRunLines) {
    open();
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    add_invoker(
        {InvokerBehaviour::respond, InvokerBehaviour::fail, InvokerBehaviour::reject, InvokerBehaviour::respond});
    add_invoker({InvokerBehaviour::reject, InvokerBehaviour::respond});
    ScriptedClient& accepted_client =
        add_client(20ms, {{0ms, message(1, request_fields(hex16(0xa1), hex16(0xf)), "work")},
                          {300ms, message(2, request_fields(hex16(0xa2), hex16(0xe)), "more work")},
                          {600ms, message(3, request_fields(hex16(0xa3), hex16(0xd), 400), "hasty work")}});
    Fields unknown_class = request_fields(hex16(0xb1), hex16(0xf));
    unknown_class[0].second = "/invoke/nothing";
    Fields no_remaining_time = request_fields(hex16(0xb2), hex16(0xf), 0);
    Fields malformed_time = request_fields(hex16(0xb3), hex16(0xf));
    malformed_time[2].second = "soon";
    Fields health_check = request_fields(hex16(0xb4), hex16(0xf));
    health_check[0].second = "/_health";
    Fields unknown_path = request_fields(hex16(0xb5), hex16(0xf));
    unknown_path[0].second = "/other";
    ScriptedClient& rejected_client =
        add_client(40ms, {{0ms, message(1, unknown_class, "x")},
                          {100ms, message(2, no_remaining_time, "x")},
                          {200ms, message(3, malformed_time, "x")},
                          {300ms, message(4, health_check)},
                          {400ms, message(5, unknown_path, "x")},
                          {500ms, message(6, request_fields(hex16(0xb6), hex16(0xf)), std::string(200'000, 'b'))},
                          {700ms, record(9, 0, pair("FCGI_MAX_CONNS", "") + pair("FCGI_MPXS_CONNS", ""))},
                          {800ms, record(33, 0, "")}});
    loop.run(4s);
    expect_golden("answers_served.txt", accepted_client.received);
    expect_golden("answers_refused.txt", rejected_client.received);
    std::string run_line_text;
    for (const auto& invoker : invokers)
        for (const std::string& line : invoker->run_lines) run_line_text += line + "\r\n";
    expect_golden("runs_at_invokers.txt", run_line_text);
    std::string subscription_text;
    for (const auto& [at, number] : discovery_server.subscriptions)
        subscription_text += fmt::format("{} {}\n", at.count(), number);
    expect_golden("discovery_asked.txt", subscription_text);
}

// Checks the response to a request while no invoker can be reached.
TEST_F(GoldenPlatform, ResponseWithoutInvokers) {
    open();
    ScriptedDiscovery discovery_server(loop, "10.9.0.1");
    ScriptedClient& client =
        add_client(20ms, {{0ms, message(1, request_fields(hex16(0xc1), hex16(0xf), 700), "work")}});
    loop.run(3s);
    expect_golden("answers_without_invokers.txt", client.received);
}

// A stored trace of an earlier version can be read, and replaying it gives the recorded decisions.
TEST(GoldenFiles, StoredTraceReplaysWithoutDifference) {
    const std::string path = golden_path("decisions.trace");
    const std::vector<trace::Record> current_records = simulated_trace({"toy", 3, 240, {}, true});
    if (rewrites_golden_files()) {
        std::filesystem::remove(path);
        trace::FileSink sink(path);
        trace::Writer writer(sink, Time(1'700'000'000'000'000));
        for (const trace::Record& record : current_records) writer.add(record);
        writer.finish();
    }
    const trace::FileSource source(path);
    trace::Reader reader(source);
    EXPECT_TRUE(reader.finished());
    EXPECT_EQ(reader.start_time(), Time(1'700'000'000'000'000));
    std::vector<trace::Record> stored_records;
    trace::Replayer replayer;
    reader.for_each({}, [&](const trace::Record& record) {
        stored_records.push_back(record);
        replayer.feed(record);
        return true;
    });
    EXPECT_TRUE(reader.damage().empty());
    const trace::Comparison comparison = replayer.compare();
    EXPECT_GT(comparison.calls, 400u);
    EXPECT_EQ(comparison.different_calls, 0u);
    EXPECT_FALSE(comparison.first);
    // The simulation that wrote the stored trace must record equal records today, with all reasons and candidate
    // invokers.
    ASSERT_EQ(stored_records.size(), current_records.size());
    for (std::size_t i = 0; i < stored_records.size(); ++i) ASSERT_EQ(stored_records[i], current_records[i]) << i;
}

// A stored queue of an earlier version can be opened, with its pending samples, the position of each receiver and the
// number of dropped samples.
TEST(GoldenFiles, StoredQueueIsOpened) {
    remote_write::QueueConfig queue_config;
    queue_config.folder = golden_path("spool");
    queue_config.shards = 2;
    queue_config.max_age = std::chrono::hours(24 * 365 * 100);
    remote_write::SeriesEncoder encoder(2);
    std::vector<remote_write::Sample> samples;
    for (int i = 0; i < 6; ++i) samples.push_back({{{"__name__", "m"}, {"series", std::to_string(i)}}, 1.0 * i});
    if (rewrites_golden_files()) {
        std::filesystem::remove_all(queue_config.folder);
        remote_write::DurableQueue queue(queue_config, {"store", "other"});
        for (int i = 0; i < 4; ++i)
            queue.append(1'700'000'000'000 + 5000 * i, encoder.encode(samples, 1'700'000'000'000 + 5000 * i));
        queue.advance("store", 0, queue.read("store", 0, 1).next);
    }
    const std::string queue_copy = testing::TempDir() + "/golden_spool." + std::to_string(::getpid());
    std::filesystem::remove_all(queue_copy);
    std::filesystem::copy(queue_config.folder, queue_copy, std::filesystem::copy_options::recursive);
    queue_config.folder = queue_copy;
    {
        remote_write::DurableQueue queue(queue_config, {"store", "other"});
        EXPECT_EQ(queue.next_sequence(), 4u);
        EXPECT_EQ(queue.newest_timestamp_ms(), 1'700'000'015'000);
        EXPECT_EQ(queue.dropped_samples(), 0u);
        EXPECT_EQ(queue.pending_samples("other"), 24u);
        EXPECT_LT(queue.pending_samples("store"), 24u);
        std::string batch_text;
        for (int shard = 0; shard < 2; ++shard)
            for (const char* receiver : {"store", "other"}) {
                const remote_write::DurableQueue::Batch batch = queue.read(receiver, shard, 1000);
                batch_text += fmt::format("{} {} samples {} next {} oldest {}: ", receiver, shard, batch.samples,
                                          batch.next, batch.oldest_ms) +
                              batch.bytes + "\n";
            }
        expect_golden("spool_batches.txt", batch_text);
    }
    std::filesystem::remove_all(queue_copy);
}

}  // namespace
}  // namespace plumkeel::platform
