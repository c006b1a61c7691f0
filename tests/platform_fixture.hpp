/// Test fixture: a PlatformServer in virtual time with scripted clients, invokers and a discovery server around it.
///
/// All of them run on one SimulatedEventLoop. A test scripts their behaviour, runs the loop up to a point in time and
/// checks the bytes that were exchanged.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "emulator/protocol_bytes.hpp"
#include "net/simulated_event_loop.hpp"
#include "net/write_queue.hpp"
#include "platform/platform_server.hpp"
#include "platform_settings/fields.hpp"
#include "trace/replayer.hpp"

namespace plumkeel::platform {

using namespace std::chrono_literals;
using namespace bytes;
using net::Task;

/// A complete configuration file: two invokers, one request class, one tenant.
inline const char* const default_config =
    R"({"name":"n1","listen":"10.1.0.1:7001","seed":"8c1f30d27a5be964","board":"10.9.0.1:2379",
 "limits":{"cores":1.0,"memory_mb":48,"sockets":256},
 "known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[
  {"uid":"s-00000001","endpoint":"10.0.0.1:7001","az":"a","model":"k","pod_group":0,"state":"up","capacity_hint":5,"boot_ms":0},
  {"uid":"s-00000002","endpoint":"10.0.0.2:7001","az":"a","model":"k","pod_group":0,"state":"up","capacity_hint":5,"boot_ms":0}]}}]},
 "settings":{"areas":["a"],"kinds":["k"],"fleet_size":1,"discovery":"automatic","weight_source":"nominal","quantum":1.0,
  "classes":[{"name":"preview","aim":800.0,"deadline":3000.0,"semantics":"retryable","group":"all","repeat_window":5000.0}],
  "realms":[{"name":"acme","quota_per_s":1000.0}],"report":{"fields":["active","waiting"],"how":"pull"},
  "rules":{"cold":1000.0,"cold_share":0.5,"fall_multiple":2.0,"overload_for":2000.0,"stop_sending_within":2000.0},
  "family_info":{"if_cold":"load","linger_idle":5000.0,"may_order":false,"says_company":true,"answer_within":4000.0},
  "limits":{"may_cancel":true,"probes":true,"second_copies":true,"retry_after":true,"send_cap":5,"max_retry_after":2000.0,
   "connect_timeout":250.0,"conn_idle":30000.0,"streams_per_conn":32}}})";

/// Returns `text` with the first occurrence of `old_text` replaced; fails the test if there is none.
inline std::string replaced(std::string text, const std::string& old_text, const std::string& new_text) {
    const auto position = text.find(old_text);
    EXPECT_NE(position, std::string::npos) << old_text;
    return text.replace(position, old_text.size(), new_text);
}

/// A configuration with one invoker and deadlines long enough that no request times out.
inline std::string config_with_long_deadlines() {
    std::string text =
        replaced(default_config, R"("aim":800.0,"deadline":3000.0)", R"("aim":60000.0,"deadline":90000.0)");
    const auto second = text.find(R"(,
  {"uid":"s-00000002")");
    const auto end = text.find("]}}]}", second);
    return text.erase(second, end - second);
}

/// config_with_long_deadlines() with `count` invokers; `sockets` is the limit on descriptors.
inline std::string config_with_invokers(int count, const std::string& sockets) {
    std::string text = replaced(config_with_long_deadlines(), R"("sockets":256)", R"("sockets":)" + sockets), entries;
    for (int i = 2; i <= count; ++i)
        entries += fmt::format(
            R"(,{{"uid":"s-{:08x}","endpoint":"10.0.0.{}:7001","az":"a","model":"k","pod_group":0,"state":"up","capacity_hint":5,"boot_ms":0}})",
            i, i);
    return text.insert(text.find("]}}]}"), entries);
}

/// A complete FastCGI request with a function of its own and a remaining time of one minute. `number`: its FastCGI
/// request id on the connection.
inline std::string request_text(int number, std::uint64_t id, const std::string& body = "") {
    return message(number, request_fields(hex16(id), hex16(id), 60000), body);
}

/// Path of this process's configuration file. Contains the process id, since tests run in parallel processes.
inline std::string config_path() {
    return testing::TempDir() + "/platform_config." + std::to_string(::getpid()) + ".json";
}

/// Writes a configuration file and returns its path.
inline std::string write_config(const std::string& text) {
    const std::string path = config_path();
    std::ofstream(path) << text;
    return path;
}

/// How a ScriptedInvoker responds to an attempt.
enum class InvokerBehaviour {
    respond,
    garbage_first,      // sends a malformed line, then the response
    endless_line,       // sends a long line without a line end
    length_too_small,   // the length field is smaller than the body
    length_too_large,   // the length field is larger than the body
    length_over_limit,  // the length field is over the limit on bodies
    truncate,           // closes the connection in the middle of the response
    reset,              // resets the connection
    stall_midway,       // sends half a response, then nothing
    respond_twice,
    unsolicited_first,  // sends a response to an unknown request, then the response
    never_respond,
    reject,
    reject_twice,  // sends a second rejection 3 ms after the first
    fail
};

/// An invoker that responds to its nth attempt as the nth entry of its script says; the last entry applies to all
/// further attempts.
struct ScriptedInvoker {
    net::EventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::vector<InvokerBehaviour> script;
    Time service_time = 20ms;
    bool answers_probes = true;
    Time starts_reading_at{};                           // does not read before that time
    std::vector<std::shared_ptr<net::Stream>> streams;  // accepted connections, oldest first
    std::vector<std::pair<Time, std::string>> runs;     // arrival time and request id of each attempt
    // stops: request ids of the STOP lines received
    // unexpected_lines: lines with an unknown command, and RUN lines whose remaining time is 0 or negative
    // run_lines: the RUN lines of attempts received with their whole body
    std::vector<std::string> stops, unexpected_lines, run_lines;
    int connections{}, open_connections{};

    ScriptedInvoker(net::EventLoop& event_loop, const std::string& host, std::vector<InvokerBehaviour> behaviours)
        : loop(event_loop), listener(event_loop.listen({host, 7001}).listener), script(std::move(behaviours)) {
        loop.spawn(accept());
    }
    static std::string response_body_for(const std::string& id) { return "made for " + id; }
    std::string response_body;  // if not empty, replaces response_body_for()

    Task<> accept() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            ++connections;
            ++open_connections;
            streams.push_back(accepted.stream);
            loop.spawn(serve(accepted.stream));
        }
    }
    Task<> serve(std::shared_ptr<net::Stream> stream) {
        std::string received;
        std::vector<char> buffer(4096);
        if (starts_reading_at > loop.now()) co_await loop.sleep(starts_reading_at - loop.now());
        for (;;) {
            const auto result = co_await stream->read(net::asio::buffer(buffer));
            if (result.error) break;
            received.append(buffer.data(), result.bytes);
            for (auto end = received.find("\r\n"); end != std::string::npos; end = received.find("\r\n")) {
                const std::string line = received.substr(0, end);
                std::string body;
                if (line.starts_with("RUN ")) {
                    if (received.size() >= end + 2 + std::stoul(line.substr(line.rfind(' ') + 1)) + 2)
                        run_lines.push_back(line);
                    if (line.find("patience=0") != std::string::npos || line.find("patience=-") != std::string::npos)
                        unexpected_lines.push_back(line);
                    const std::size_t length = std::stoul(line.substr(line.rfind(' ') + 1));
                    if (received.size() < end + 2 + length + 2) break;
                    received.erase(0, end + 2 + length + 2);
                    const std::string id = line.substr(4, line.find(' ', 4) - 4);
                    const InvokerBehaviour behaviour = script[std::min(runs.size(), script.size() - 1)];
                    runs.emplace_back(loop.now(), id);
                    loop.spawn(respond(stream, id, behaviour));
                    continue;
                }
                received.erase(0, end + 2);
                const std::string id_text = line.substr(std::min(line.size(), line.find(' ') + 1));
                if (line.starts_with("STOP "))
                    stops.push_back(id_text);
                else if (line.starts_with("INFO ") || line.starts_with("NOOP "))
                    answers_probes ? write(stream, id_text + " well l=active:1;waiting:0 0\r\n\r\n") : void();
                else
                    unexpected_lines.push_back(line);
            }
        }
        --open_connections;
    }
    static void write(const std::shared_ptr<net::Stream>& stream, const std::string& text) {
        const net::asio::const_buffer whole = net::asio::buffer(text);
        stream->write_now({&whole, 1});
    }
    Task<> respond(std::shared_ptr<net::Stream> stream, std::string id, InvokerBehaviour behaviour) {
        co_await loop.sleep(service_time);
        const std::string body = response_body.empty() ? response_body_for(id) : response_body,
                          head = id + " data n=reused " + std::to_string(body.size()) + "\r\n";
        const std::string valid_response = head + body + "\r\n";
        switch (behaviour) {
            case InvokerBehaviour::respond:
                write(stream, valid_response);
                break;
            case InvokerBehaviour::garbage_first:
                write(stream, "\x01\xff\x7f zzz\r\n" + valid_response);
                break;
            case InvokerBehaviour::endless_line:
                write(stream, std::string(5000, 'e'));
                break;
            case InvokerBehaviour::length_too_small:
                write(stream, id + " data n=reused 4\r\n" + body + "\r\n");
                break;
            case InvokerBehaviour::length_too_large:
                write(stream, id + " data n=reused 90\r\n" + body + "\r\n" + valid_response);
                break;
            case InvokerBehaviour::length_over_limit:
                write(stream, id + " data n=reused 3000000000\r\n" + std::string(4000, 'h'));
                break;
            case InvokerBehaviour::truncate:
                write(stream, valid_response.substr(0, valid_response.size() - 4));
                co_await loop.sleep(1ms);
                stream->close();
                break;
            case InvokerBehaviour::reset:
                stream->reset();
                break;
            case InvokerBehaviour::stall_midway:
                write(stream, valid_response.substr(0, valid_response.size() / 2));
                break;
            case InvokerBehaviour::respond_twice:
                write(stream, valid_response + valid_response);
                break;
            case InvokerBehaviour::unsolicited_first:
                write(stream, "00000000000000ff data n=reused 3\r\nnot\r\n" + valid_response);
                break;
            case InvokerBehaviour::never_respond:
                break;
            case InvokerBehaviour::reject:
                write(stream, id + " full - 0\r\n\r\n");
                break;
            case InvokerBehaviour::reject_twice:
                write(stream, id + " full peers_in=1 0\r\n\r\n");
                co_await loop.sleep(3ms);
                write(stream, id + " full peers_in=1 0\r\n\r\n");
                break;
            case InvokerBehaviour::fail:
                write(stream, id + " failed - 0\r\n\r\n");
                break;
        }
    }
};

/// A web server's FastCGI connection: sends each text at its time and, if `reads` is set, reads all responses.
struct ScriptedClient {
    net::EventLoop& loop;
    std::string received;
    Time connected_at{}, last_read_at{}, ended_at = Time::max();
    std::shared_ptr<net::Stream> stream;

    const net::Address address;

    ScriptedClient(net::EventLoop& event_loop, Time when, std::vector<std::pair<Time, std::string>> texts,
                   bool reads = true, net::Address server_address = {"10.1.0.1", 7001})
        : loop(event_loop), address(std::move(server_address)) {
        loop.spawn(run(when, std::move(texts), reads));
    }
    Task<> run(Time when, std::vector<std::pair<Time, std::string>> texts, bool reads) {
        co_await loop.sleep(when - loop.now());
        auto result = co_await loop.connect(address, 1s);
        if (result.error) {
            ended_at = loop.now();
            co_return;
        }
        stream = result.stream;
        connected_at = loop.now();
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
        for (auto& [after, text] : texts)
            loop.call_at(connected_at + after, [write_queue, text] { write_queue->send(text); });
        if (!reads) co_return;  // the scheduled texts are still sent
        std::vector<char> buffer(4096);
        for (;;) {
            const auto transfer = co_await stream->read(net::asio::buffer(buffer));
            if (transfer.error) break;
            last_read_at = loop.now();
            received.append(buffer.data(), transfer.bytes);
        }
        ended_at = loop.now();
        write_queue->abandon();
        stream->close();
    }
    FastcgiResponse response(int number) const {
        const auto responses = parse_responses(received);
        EXPECT_TRUE(responses) << "malformed FastCGI records";
        const auto found = responses ? responses->find(number) : std::map<int, FastcgiResponse>::const_iterator{};
        return responses && found != responses->end() ? found->second : FastcgiResponse{};
    }
};

/// A discovery server: records subscriptions, and sends frames to the newest subscriber when the test calls send().
struct ScriptedDiscovery {
    net::EventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::vector<std::pair<Time, std::uint64_t>> subscriptions;
    std::shared_ptr<net::Stream> stream;
    std::vector<std::shared_ptr<net::Stream>> streams;  // connections of all subscribers
    std::uint64_t last_event = 1;
    bool sends_heartbeats = true;
    Time subscribe_delay{};      // how long nothing is sent to a new subscriber
    bool tells_at_once = false;  // whether a new subscriber gets a heartbeat right after the delay
    bool is_silent = false;      // new subscribers are accepted and never sent anything, also later
    std::vector<std::shared_ptr<net::Stream>> silent_streams;

    ScriptedDiscovery(net::EventLoop& event_loop, const std::string& host)
        : loop(event_loop), listener(event_loop.listen({host, 2379}).listener) {
        loop.spawn(accept());
        loop.spawn(send_heartbeats());
    }
    Task<> accept() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            std::string received;
            std::vector<char> buffer(64);
            while (received.size() < 8) {
                const auto result = co_await accepted.stream->read(net::asio::buffer(buffer));
                if (result.error) break;
                received.append(buffer.data(), result.bytes);
            }
            std::uint64_t number = 0;
            for (const char c : received) number = number << 8 | static_cast<unsigned char>(c);
            subscriptions.emplace_back(loop.now(), number);
            if (is_silent) {
                silent_streams.push_back(accepted.stream);
                continue;
            }
            loop.call_at(loop.now() + subscribe_delay, [this, new_stream = accepted.stream] {
                if (new_stream->peer_closed()) return;  // the subscriber has given up
                stream = new_stream;
                streams.push_back(new_stream);
                if (tells_at_once) send(frame(last_event, 0));
            });
        }
    }
    Task<> send_heartbeats() {
        for (;;) {
            co_await loop.sleep(1s);
            if (sends_heartbeats) send(frame(last_event, 0));
        }
    }
    void send(const std::string& text) {
        if (stream) ScriptedInvoker::write(stream, text);
    }
};

class PlatformTest : public testing::Test {
protected:
    explicit PlatformTest(Time latency = 100us, std::size_t buffer_bytes = 64 * 1024) : loop(latency, buffer_bytes) {}
    void open(const std::string& text = default_config) {
        config = load_platform_config(write_config(text));
        config.gateway.log.file = "/dev/null";
        config.gateway.pool.max_invokers = max_invokers;
        log = std::make_unique<Log>(loop, config.gateway.log);
        server = std::make_unique<PlatformServer>(loop, config, *log, [this](const trace::Record& trace_record) {
            trace.push_back(trace_record);
            if (on_record) on_record(trace_record);
        });
        ASSERT_FALSE(server->open());
    }
    ScriptedInvoker& add_invoker(std::vector<InvokerBehaviour> behaviours = {InvokerBehaviour::respond}) {
        const std::string host = "10.0.0." + std::to_string(invokers.size() + 1);
        return *invokers.emplace_back(std::make_unique<ScriptedInvoker>(loop, host, std::move(behaviours)));
    }
    ScriptedClient& add_client(Time when, std::vector<std::pair<Time, std::string>> texts, bool reads = true) {
        return *clients.emplace_back(std::make_unique<ScriptedClient>(loop, when, std::move(texts), reads));
    }
    // Adds a request on a connection of its own, which succeeded_requests() checks.
    void add_request(Time when, std::uint64_t id, const std::string& key = hex16(0xf)) {
        ScriptedClient& client = add_client(when, {{0ms, message(1, request_fields(hex16(id), key), "work")}});
        expected_requests.emplace_back(hex16(id), &client);
    }
    // Like add_request(), with a function of its own and a remaining time of one minute.
    void add_long_deadline_request(Time when, std::uint64_t id) {
        expected_requests.emplace_back(hex16(id), &add_client(when, {{0ms, request_text(1, id, "work")}}));
    }
    std::size_t succeeded_requests() const {
        std::size_t count = 0;
        for (const auto& [id, client] : expected_requests) {
            const FastcgiResponse response = client->response(1);
            EXPECT_EQ(response.end_records, 1)
                << id << " at " << client->ended_at.count() << " " << client->received.size();
            count += response.status() == "200" && response.body() == ScriptedInvoker::response_body_for(id);
        }
        return count;
    }
    std::size_t total_runs() const {
        std::size_t count = 0;
        for (const auto& each : invokers) count += each->runs.size();
        return count;
    }
    // Checks after every test that invokers received no malformed line, no invariant was broken, and replaying the
    // recorded scheduler calls gives the same decisions.
    void TearDown() override {
        for (const auto& each : invokers) EXPECT_TRUE(each->unexpected_lines.empty()) << each->unexpected_lines.front();
        for (const auto& each : clients) EXPECT_TRUE(parse_responses(each->received));
        const auto broken_invariants =
            server ? server->gateway().status().at("invariants_broken").as_object() : boost::json::object();
        EXPECT_TRUE(broken_invariants.empty()) << boost::json::serialize(broken_invariants);
        trace::Replayer replayer;
        for (const trace::Record& each : trace) replayer.feed(each);
        EXPECT_EQ(replayer.compare().different_calls, 0u);
    }

    std::vector<trace::Record> trace;
    std::function<void(const trace::Record&)> on_record;  // called while a scheduler call is recorded
    net::SimulatedEventLoop loop;
    PlatformConfig config;
    std::size_t max_invokers = GatewayConfig{}.pool.max_invokers;
    std::unique_ptr<Log> log;
    std::unique_ptr<PlatformServer> server;
    std::vector<std::unique_ptr<ScriptedInvoker>> invokers;
    std::vector<std::unique_ptr<ScriptedClient>> clients;
    std::vector<std::pair<std::string, ScriptedClient*>> expected_requests;
};

}  // namespace plumkeel::platform
