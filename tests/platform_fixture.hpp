/// Test fixture: a PlatformServer in virtual time with scripted clients, invokers and a discovery server around it.
///
/// All of them run on one SimulatedEventLoop. A test scripts what they do, runs the loop up to a point in time and
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

/// `text` with the first occurrence of `what` replaced; the test fails where there is none.
inline std::string replaced(std::string text, const std::string& what, const std::string& by) {
    const auto at = text.find(what);
    EXPECT_NE(at, std::string::npos) << what;
    return text.replace(at, what.size(), by);
}

/// One invoker, and deadlines long enough that nothing ends by time.
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
    std::string text = replaced(config_with_long_deadlines(), R"("sockets":256)", R"("sockets":)" + sockets), more;
    for (int i = 2; i <= count; ++i)
        more += fmt::format(
            R"(,{{"uid":"s-{:08x}","endpoint":"10.0.0.{}:7001","az":"a","model":"k","pod_group":0,"state":"up","capacity_hint":5,"boot_ms":0}})",
            i, i);
    return text.insert(text.find("]}}]}"), more);
}

/// A whole FastCGI request with its own function and a minute's time. `number`: its id on the connection.
inline std::string request_text(int number, std::uint64_t id, const std::string& body = "") {
    return message(number, job_fields(hex16(id), hex16(id), 60000), body);
}

/// Where this process keeps its configuration file: tests run in parallel, one process each.
inline std::string config_path() {
    return testing::TempDir() + "/platform_config." + std::to_string(::getpid()) + ".json";
}

/// Writes a configuration file and returns its path.
inline std::string write_config(const std::string& text) {
    const std::string name = config_path();
    std::ofstream(name) << text;
    return name;
}

/// How a ScriptedInvoker responds to an attempt.
enum class InvokerBehaviour {
    respond,
    garbage_first,      // an unreadable line, then the response
    endless_line,       // a line without end
    length_too_small,   // the length field is smaller than the body
    length_too_large,   // and larger
    length_over_limit,  // a length over any limit
    truncate,           // closes in the middle of the response
    reset,              // resets the connection
    stall_midway,       // half a response, then nothing
    respond_twice,
    unsolicited_first,  // a response to a request that does not exist, then the response
    never_respond,
    reject,
    reject_twice,  // the second 3 ms late
    fail
};

/// An invoker whose script says how it responds to its nth attempt; the last entry applies to all further ones.
struct ScriptedInvoker {
    net::EventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::vector<InvokerBehaviour> script;
    Time service_time = 20ms;
    bool answers_probes = true;
    Time starts_reading_at{};                           // nothing is read before that time
    std::vector<std::shared_ptr<net::Stream>> streams;  // in the order of their connecting
    std::vector<std::pair<Time, std::string>> runs;     // when each had arrived completely, and its request id
    std::vector<std::string> stops, unexpected_lines, run_lines;  // run_lines: the RUN lines
    int connections{}, open_connections{};

    ScriptedInvoker(net::EventLoop& w, const std::string& host, std::vector<InvokerBehaviour> does)
        : loop(w), listener(w.listen({host, 7001}).listener), script(std::move(does)) {
        loop.spawn(accept());
    }
    static std::string response_body_for(const std::string& id) { return "made for " + id; }
    std::string response_body;  // instead of response_body_for(), unless empty

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
        std::string got;
        std::vector<char> room(4096);
        if (starts_reading_at > loop.now()) co_await loop.sleep(starts_reading_at - loop.now());
        for (;;) {
            const auto moved = co_await stream->read(net::asio::buffer(room));
            if (moved.error) break;
            got.append(room.data(), moved.bytes);
            for (auto end = got.find("\r\n"); end != std::string::npos; end = got.find("\r\n")) {
                const std::string line = got.substr(0, end);
                std::string body;
                if (line.starts_with("RUN ")) {
                    if (got.size() >= end + 2 + std::stoul(line.substr(line.rfind(' ') + 1)) + 2)
                        run_lines.push_back(line);
                    if (line.find("patience=0") != std::string::npos || line.find("patience=-") != std::string::npos)
                        unexpected_lines.push_back(line);
                    const std::size_t length = std::stoul(line.substr(line.rfind(' ') + 1));
                    if (got.size() < end + 2 + length + 2) break;
                    got.erase(0, end + 2 + length + 2);
                    const std::string id = line.substr(4, line.find(' ', 4) - 4);
                    const InvokerBehaviour does = script[std::min(runs.size(), script.size() - 1)];
                    runs.emplace_back(loop.now(), id);
                    loop.spawn(respond(stream, id, does));
                    continue;
                }
                got.erase(0, end + 2);
                const std::string rest = line.substr(std::min(line.size(), line.find(' ') + 1));
                if (line.starts_with("STOP "))
                    stops.push_back(rest);
                else if (line.starts_with("INFO ") || line.starts_with("NOOP "))
                    answers_probes ? write(stream, rest + " well l=active:1;waiting:0 0\r\n\r\n") : void();
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
    Task<> respond(std::shared_ptr<net::Stream> stream, std::string id, InvokerBehaviour does) {
        co_await loop.sleep(service_time);
        const std::string body = response_body.empty() ? response_body_for(id) : response_body,
                          head = id + " data n=reused " + std::to_string(body.size()) + "\r\n";
        const std::string good = head + body + "\r\n";
        switch (does) {
            case InvokerBehaviour::respond:
                write(stream, good);
                break;
            case InvokerBehaviour::garbage_first:
                write(stream, "\x01\xff\x7f zzz\r\n" + good);
                break;
            case InvokerBehaviour::endless_line:
                write(stream, std::string(5000, 'e'));
                break;
            case InvokerBehaviour::length_too_small:
                write(stream, id + " data n=reused 4\r\n" + body + "\r\n");
                break;
            case InvokerBehaviour::length_too_large:
                write(stream, id + " data n=reused 90\r\n" + body + "\r\n" + good);
                break;
            case InvokerBehaviour::length_over_limit:
                write(stream, id + " data n=reused 3000000000\r\n" + std::string(4000, 'h'));
                break;
            case InvokerBehaviour::truncate:
                write(stream, good.substr(0, good.size() - 4));
                co_await loop.sleep(1ms);
                stream->close();
                break;
            case InvokerBehaviour::reset:
                stream->reset();
                break;
            case InvokerBehaviour::stall_midway:
                write(stream, good.substr(0, good.size() / 2));
                break;
            case InvokerBehaviour::respond_twice:
                write(stream, good + good);
                break;
            case InvokerBehaviour::unsolicited_first:
                write(stream, "00000000000000ff data n=reused 3\r\nnot\r\n" + good);
                break;
            case InvokerBehaviour::never_respond:
                break;
            case InvokerBehaviour::reject:
                write(stream, id + " full - 0\r\n\r\n");
                break;
            case InvokerBehaviour::reject_twice:  // the second some milliseconds late
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

/// A web server's FastCGI connection: sends each text at its time and reads everything it receives.
struct ScriptedClient {
    net::EventLoop& loop;
    std::string received;
    Time connected_at{}, last_read_at{}, ended_at = Time::max();
    std::shared_ptr<net::Stream> stream;

    const net::Address address;

    ScriptedClient(net::EventLoop& w, Time when, std::vector<std::pair<Time, std::string>> texts, bool reads = true,
                   net::Address at = {"10.1.0.1", 7001})
        : loop(w), address(std::move(at)) {
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
        if (!reads) co_return;  // what it writes is still sent
        std::vector<char> room(4096);
        for (;;) {
            const auto moved = co_await stream->read(net::asio::buffer(room));
            if (moved.error) break;
            last_read_at = loop.now();
            received.append(room.data(), moved.bytes);
        }
        ended_at = loop.now();
        write_queue->abandon();
        stream->close();
    }
    Ended response(int number) const {
        const auto all = answers(received);
        EXPECT_TRUE(all) << "malformed FastCGI records";
        const auto it = all ? all->find(number) : std::map<int, Ended>::const_iterator{};
        return all && it != all->end() ? it->second : Ended{};
    }
};

/// A discovery server: records subscriptions, and sends frames to the newest subscriber when the test says so.
struct ScriptedDiscovery {
    net::EventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::vector<std::pair<Time, std::uint64_t>> subscriptions;
    std::shared_ptr<net::Stream> stream;
    std::vector<std::shared_ptr<net::Stream>> streams;  // of all subscribers
    std::uint64_t last_event = 1;
    bool sends_heartbeats = true;
    Time subscribe_delay{};  // how long a new subscriber is sent nothing

    ScriptedDiscovery(net::EventLoop& w, const std::string& host) : loop(w), listener(w.listen({host, 2379}).listener) {
        loop.spawn(accept());
        loop.spawn(send_heartbeats());
    }
    Task<> accept() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            std::string got;
            std::vector<char> room(64);
            while (got.size() < 8) {
                const auto moved = co_await accepted.stream->read(net::asio::buffer(room));
                if (moved.error) break;
                got.append(room.data(), moved.bytes);
            }
            std::uint64_t number = 0;
            for (const char c : got) number = number << 8 | static_cast<unsigned char>(c);
            subscriptions.emplace_back(loop.now(), number);
            loop.call_at(loop.now() + subscribe_delay, [this, it = accepted.stream] {
                stream = it;
                streams.push_back(it);
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
    explicit PlatformTest(Time latency = 100us, std::size_t room = 64 * 1024) : loop(latency, room) {}
    void open(const std::string& text = default_config) {
        config = load_platform_config(write_config(text));
        config.gateway.log.file = "/dev/null";
        config.gateway.pool.max_invokers = max_invokers;
        log = std::make_unique<Log>(loop, config.gateway.log);
        server = std::make_unique<PlatformServer>(loop, config, *log, [this](const trace::Record& r) {
            trace.push_back(r);
            if (on_record) on_record(r);
        });
        ASSERT_FALSE(server->open());
    }
    ScriptedInvoker& add_invoker(std::vector<InvokerBehaviour> does = {InvokerBehaviour::respond}) {
        const std::string at = "10.0.0." + std::to_string(invokers.size() + 1);
        return *invokers.emplace_back(std::make_unique<ScriptedInvoker>(loop, at, std::move(does)));
    }
    ScriptedClient& add_client(Time when, std::vector<std::pair<Time, std::string>> texts, bool reads = true) {
        return *clients.emplace_back(std::make_unique<ScriptedClient>(loop, when, std::move(texts), reads));
    }
    // A request on a connection of its own, which is expected to succeed.
    void add_request(Time when, std::uint64_t id, const std::string& key = hex16(0xf)) {
        ScriptedClient& it = add_client(when, {{0ms, message(1, job_fields(hex16(id), key), "work")}});
        expected_requests.emplace_back(hex16(id), &it);
    }
    // The same with a minute's time, and its own function.
    void add_long_deadline_request(Time when, std::uint64_t id) {
        expected_requests.emplace_back(hex16(id), &add_client(when, {{0ms, request_text(1, id, "work")}}));
    }
    std::size_t succeeded_requests() const {
        std::size_t n = 0;
        for (const auto& [id, it] : expected_requests) {
            const Ended end = it->response(1);
            EXPECT_EQ(end.times, 1) << id << " at " << it->ended_at.count() << " " << it->received.size();
            n += end.status() == "200" && end.body() == ScriptedInvoker::response_body_for(id);
        }
        return n;
    }
    std::size_t total_runs() const {
        std::size_t n = 0;
        for (const auto& each : invokers) n += each->runs.size();
        return n;
    }
    // Holds for every test: invokers received nothing malformed, no invariant was broken, and replaying the recorded
    // scheduler calls gives the same decisions.
    void TearDown() override {
        for (const auto& each : invokers) EXPECT_TRUE(each->unexpected_lines.empty()) << each->unexpected_lines.front();
        for (const auto& each : clients) EXPECT_TRUE(answers(each->received));
        const auto broken =
            server ? server->gateway().status().at("invariants_broken").as_object() : boost::json::object();
        EXPECT_TRUE(broken.empty()) << boost::json::serialize(broken);
        trace::Replayer again;
        for (const trace::Record& each : trace) again.feed(each);
        EXPECT_EQ(again.compare().different_calls, 0u);
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
