// The platform's edges round the real gateway, in virtual time, with scripted clients, invokers and a notice board.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "emulator/protocol_bytes.hpp"
#include "net/simulated_event_loop.hpp"
#include "platform/platform_server.hpp"
#include "platform_settings/fields.hpp"

namespace plumkeel::platform {

using namespace std::chrono_literals;
using namespace bytes;
using net::Task;

inline const char* const plain_config =
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

inline std::string replaced(std::string text, const std::string& what, const std::string& by) {
    const auto at = text.find(what);
    EXPECT_NE(at, std::string::npos) << what;
    return text.replace(at, what.size(), by);
}

// Tests run side by side, in processes of their own.
inline std::string config_file() {
    return testing::TempDir() + "/platform_config." + std::to_string(::getpid()) + ".json";
}

inline std::string file_of(const std::string& text) {
    const std::string name = config_file();
    std::ofstream(name) << text;
    return name;
}

enum class Does {
    answers,
    noise,
    endless,
    short_body,
    long_body,
    huge,
    cuts,
    resets,
    half,
    twice,
    ahead,
    silent,
    full,
    full_twice,
    errs
};

// An invoker as a test scripts it: what it does with its nth hop; the last holds for all further ones.
struct Peer {
    net::EventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::vector<Does> script;
    Time takes = 20ms;
    bool hears_probes = true;
    Time reads_from{};                                  // nothing is read before
    std::vector<std::shared_ptr<net::Stream>> streams;  // as they came up
    std::vector<std::pair<Time, std::string>> runs;     // when they had come whole, and their ids
    std::vector<std::string> stops, odd, lines;         // `lines`: those of the runs
    int connections{}, open{};

    Peer(net::EventLoop& w, const std::string& host, std::vector<Does> does)
        : loop(w), listener(w.listen({host, 7001}).listener), script(std::move(does)) {
        loop.spawn(accept());
    }
    static std::string body_for(const std::string& id) { return "made for " + id; }
    std::string answer_body;  // where not that

    Task<> accept() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            ++connections;
            ++open;
            streams.push_back(accepted.stream);
            loop.spawn(talk(accepted.stream));
        }
    }
    Task<> talk(std::shared_ptr<net::Stream> stream) {
        std::string got;
        std::vector<char> room(4096);
        if (reads_from > loop.now()) co_await loop.sleep(reads_from - loop.now());
        for (;;) {
            const auto moved = co_await stream->read(net::asio::buffer(room));
            if (moved.error) break;
            got.append(room.data(), moved.bytes);
            for (auto end = got.find("\r\n"); end != std::string::npos; end = got.find("\r\n")) {
                const std::string line = got.substr(0, end);
                std::string body;
                if (line.starts_with("RUN ")) {
                    if (got.size() >= end + 2 + std::stoul(line.substr(line.rfind(' ') + 1)) + 2) lines.push_back(line);
                    if (line.find("patience=0") != std::string::npos || line.find("patience=-") != std::string::npos)
                        odd.push_back(line);
                    const std::size_t length = std::stoul(line.substr(line.rfind(' ') + 1));
                    if (got.size() < end + 2 + length + 2) break;
                    got.erase(0, end + 2 + length + 2);
                    const std::string id = line.substr(4, line.find(' ', 4) - 4);
                    const Does does = script[std::min(runs.size(), script.size() - 1)];
                    runs.emplace_back(loop.now(), id);
                    loop.spawn(answer(stream, id, does));
                    continue;
                }
                got.erase(0, end + 2);
                const std::string rest = line.substr(std::min(line.size(), line.find(' ') + 1));
                if (line.starts_with("STOP "))
                    stops.push_back(rest);
                else if (line.starts_with("INFO ") || line.starts_with("NOOP "))
                    hears_probes ? put(stream, rest + " well l=active:1;waiting:0 0\r\n\r\n") : void();
                else
                    odd.push_back(line);
            }
        }
        --open;
    }
    static void put(const std::shared_ptr<net::Stream>& stream, const std::string& text) {
        const net::asio::const_buffer whole = net::asio::buffer(text);
        stream->write_now({&whole, 1});
    }
    Task<> answer(std::shared_ptr<net::Stream> stream, std::string id, Does does) {
        co_await loop.sleep(takes);
        const std::string body = answer_body.empty() ? body_for(id) : answer_body,
                          head = id + " data n=reused " + std::to_string(body.size()) + "\r\n";
        const std::string good = head + body + "\r\n";
        switch (does) {
            case Does::answers:
                put(stream, good);
                break;
            case Does::noise:
                put(stream, "\x01\xff\x7f zzz\r\n" + good);
                break;
            case Does::endless:
                put(stream, std::string(5000, 'e'));
                break;
            case Does::short_body:
                put(stream, id + " data n=reused 4\r\n" + body + "\r\n");
                break;
            case Does::long_body:
                put(stream, id + " data n=reused 90\r\n" + body + "\r\n" + good);
                break;
            case Does::huge:
                put(stream, id + " data n=reused 3000000000\r\n" + std::string(4000, 'h'));
                break;
            case Does::cuts:
                put(stream, good.substr(0, good.size() - 4));
                co_await loop.sleep(1ms);
                stream->close();
                break;
            case Does::resets:
                stream->reset();
                break;
            case Does::half:
                put(stream, good.substr(0, good.size() / 2));
                break;
            case Does::twice:
                put(stream, good + good);
                break;
            case Does::ahead:
                put(stream, "00000000000000ff data n=reused 3\r\nnot\r\n" + good);
                break;
            case Does::silent:
                break;
            case Does::full:
                put(stream, id + " full - 0\r\n\r\n");
                break;
            case Does::full_twice:  // the second some milliseconds late
                put(stream, id + " full peers_in=1 0\r\n\r\n");
                co_await loop.sleep(3ms);
                put(stream, id + " full peers_in=1 0\r\n\r\n");
                break;
            case Does::errs:
                put(stream, id + " failed - 0\r\n\r\n");
                break;
        }
    }
};

// A web server's connection: sends texts at their times and reads all that comes.
struct Client {
    net::EventLoop& loop;
    std::string got;
    Time connected{}, last{}, ended = Time::max();
    std::shared_ptr<net::Stream> stream;

    const net::Address front;

    Client(net::EventLoop& w, Time when, std::vector<std::pair<Time, std::string>> texts, bool reads = true,
           net::Address at = {"10.1.0.1", 7001})
        : loop(w), front(std::move(at)) {
        loop.spawn(run(when, std::move(texts), reads));
    }
    Task<> run(Time when, std::vector<std::pair<Time, std::string>> texts, bool reads) {
        co_await loop.sleep(when - loop.now());
        auto result = co_await loop.connect(front, 1s);
        if (result.error) {
            ended = loop.now();
            co_return;
        }
        stream = result.stream;
        connected = loop.now();
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
        for (auto& [after, text] : texts)
            loop.call_at(connected + after, [write_queue, text] { write_queue->send(text); });
        if (!reads) co_return;  // what it says still leaves
        std::vector<char> room(4096);
        for (;;) {
            const auto moved = co_await stream->read(net::asio::buffer(room));
            if (moved.error) break;
            last = loop.now();
            got.append(room.data(), moved.bytes);
        }
        ended = loop.now();
        write_queue->abandon();
        stream->close();
    }
    Ended answer(int number) const {
        const auto all = answers(got);
        EXPECT_TRUE(all) << "what came can't be read";
        const auto it = all ? all->find(number) : std::map<int, Ended>::const_iterator{};
        return all && it != all->end() ? it->second : Ended{};
    }
};

// The notice board: notes what it is asked for, and sends what the test tells it.
struct Noticeboard {
    net::EventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::vector<std::pair<Time, std::uint64_t>> asked;
    std::shared_ptr<net::Stream> stream;
    std::vector<std::shared_ptr<net::Stream>> held;  // all that asked
    std::uint64_t last = 1;
    bool beats = true;
    Time speaks_after{};  // a connection has come up; until then it is one of a crowd

    Noticeboard(net::EventLoop& w, const std::string& host) : loop(w), listener(w.listen({host, 2379}).listener) {
        loop.spawn(accept());
        loop.spawn(beat());
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
            asked.emplace_back(loop.now(), number);
            loop.call_at(loop.now() + speaks_after, [this, it = accepted.stream] {
                stream = it;
                held.push_back(it);
            });
        }
    }
    Task<> beat() {
        for (;;) {
            co_await loop.sleep(1s);
            if (beats) say(frame(last, 0));
        }
    }
    void say(const std::string& text) {
        if (stream) Peer::put(stream, text);
    }
};

class PlatformTest : public testing::Test {
protected:
    explicit PlatformTest(Time latency = 100us, std::size_t room = 64 * 1024) : loop(latency, room) {}
    void open(const std::string& text = plain_config) {
        config = load_platform_config(file_of(text));
        config.gateway.log.file = "/dev/null";
        config.gateway.pool.max_invokers = most_invokers;
        log = std::make_unique<Log>(loop, config.gateway.log);
        host = std::make_unique<PlatformServer>(loop, config, *log, [this](const trace::Record& r) {
            trace.push_back(r);
            if (on_record) on_record(r);
        });
        ASSERT_FALSE(host->open());
    }
    Peer& peer(std::vector<Does> does = {Does::answers}) {
        const std::string at = "10.0.0." + std::to_string(peers.size() + 1);
        return *peers.emplace_back(std::make_unique<Peer>(loop, at, std::move(does)));
    }
    Client& client(Time when, std::vector<std::pair<Time, std::string>> texts, bool reads = true) {
        return *clients.emplace_back(std::make_unique<Client>(loop, when, std::move(texts), reads));
    }
    // A job of its own connection, which every test may expect to be honoured.
    void request(Time when, std::uint64_t id, const std::string& key = hex16(0xf)) {
        Client& it = client(when, {{0ms, message(1, job_fields(hex16(id), key), "work")}});
        well.emplace_back(hex16(id), &it);
    }
    std::size_t honoured() const {
        std::size_t n = 0;
        for (const auto& [id, it] : well) {
            const Ended end = it->answer(1);
            EXPECT_EQ(end.times, 1) << id << " at " << it->ended.count() << " " << it->got.size();
            n += end.status() == "200" && end.body() == Peer::body_for(id);
        }
        return n;
    }
    std::size_t runs() const {
        std::size_t n = 0;
        for (const auto& each : peers) n += each->runs.size();
        return n;
    }
    // Whatever a test did: nothing odd reached an invoker, and the same calls give the same answers again.
    void TearDown() override {
        for (const auto& each : peers) EXPECT_TRUE(each->odd.empty()) << each->odd.front();
        for (const auto& each : clients) EXPECT_TRUE(answers(each->got));
        const auto broken = host ? host->gateway().status().at("invariants_broken").as_object() : boost::json::object();
        EXPECT_TRUE(broken.empty()) << boost::json::serialize(broken);
        trace::Replayer again;
        for (const trace::Record& each : trace) again.feed(each);
        EXPECT_EQ(again.compare().different_calls, 0u);
    }

    std::vector<trace::Record> trace;
    std::function<void(const trace::Record&)> on_record;  // while a call of the module is told
    net::SimulatedEventLoop loop;
    PlatformConfig config;
    std::size_t most_invokers = GatewayConfig{}.pool.max_invokers;
    std::unique_ptr<Log> log;
    std::unique_ptr<PlatformServer> host;
    std::vector<std::unique_ptr<Peer>> peers;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::pair<std::string, Client*>> well;
};

}  // namespace plumkeel::platform
