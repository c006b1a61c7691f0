// The real gateway in virtual time over streams in memory, against scripted peers: the cuts, closings and ticks
// that decide whether a job is lost or an effect comes twice.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "http/http.hpp"
#include "net/notification.hpp"
#include "net/simulated_event_loop.hpp"
#include "trace/replayer.hpp"
#include "web/server.hpp"

namespace plumkeel::gateway {
namespace {

using namespace std::chrono_literals;
using net::Task;

// An invoker as a test scripts it: what it does with its nth hop.
struct Peer {
    enum class Does {
        answers,
        hangs,
        resets_unread,
        resets,
        half_head,
        half_body,
        turns_away,
        bare_503,
        large,
        large_cut
    };
    net::SimulatedEventLoop& loop;
    std::string name;
    std::shared_ptr<net::Listener> listener;
    std::vector<Does> script;  // the last holds for all further hops
    Time takes = 10ms;
    std::optional<Time> closes_after;   // an idle connection, after its answer
    std::vector<std::string> attempts;  // "job/hop" as they came
    std::vector<Time> came;
    int connections{}, gone{};

    Peer(net::SimulatedEventLoop& w, std::string n, std::vector<Does> does)
        : loop(w), name(std::move(n)), listener(w.listen({name, 1}).listener), script(std::move(does)) {
        loop.spawn(accept());
    }
    Task<> accept() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            ++connections;
            loop.spawn(talk(accepted.stream));
        }
    }
    static void put(const std::shared_ptr<net::Stream>& stream, const std::string& text) {
        const net::asio::const_buffer whole = net::asio::buffer(text);
        stream->write_now({&whole, 1});
    }
    Task<> talk(std::shared_ptr<net::Stream> stream) {
        http::ReadBuffer read_buffer(stream);
        for (;;) {
            http::bh::request_parser<http::bh::string_body> parser;
            parser.eager(true);
            net::Error error;
            while (!parser.is_done() && !error) {
                error = co_await read_buffer.read_more();
                if (!error) error = read_buffer.feed(parser);
            }
            if (error) co_return;
            if (http::path_segments(http::view(parser.get().target()))[1] == "load") {
                put(stream,
                    "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT named_metrics.inflight=1\r\nContent-Length: "
                    "0\r\n\r\n");
                continue;
            }
            const Does does = script[std::min(attempts.size(), script.size() - 1)];
            attempts.push_back(std::string(http::field(parser.get(), "plumkeel-job")) + "/" +
                               std::string(http::field(parser.get(), "plumkeel-hop")));
            came.push_back(loop.now());
            if (does == Does::hangs) {
                const net::Error end = co_await read_buffer.read_more();
                if (end) ++gone;
                co_return;
            }
            co_await loop.sleep(takes);
            const std::string answer =
                "HTTP/1.1 200 OK\r\nplumkeel-note: stood-loaded\r\nContent-Length: 4\r\n\r\nwell";
            switch (does) {
                case Does::answers:
                    put(stream, answer);
                    break;
                case Does::resets:
                case Does::resets_unread:
                    stream->reset();
                    co_return;
                case Does::half_head:
                case Does::half_body:
                    put(stream, answer.substr(0, does == Does::half_head ? 20 : answer.size() - 2));
                    co_await loop.sleep(1ms);
                    stream->reset();
                    co_return;
                case Does::turns_away:
                    put(stream, "HTTP/1.1 503 Busy\r\nplumkeel-never-ran: turned-away\r\nContent-Length: 0\r\n\r\n");
                    break;
                case Does::bare_503:
                    put(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                    break;
                case Does::large:
                case Does::large_cut: {
                    const std::size_t whole = 400'000;
                    const std::string head = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole);
                    const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
                    write_queue->send(head, std::make_shared<const std::string>(
                                                std::string(does == Does::large ? whole : whole / 2, 'x')));
                    co_await write_queue->wait_below(0);
                    if (does == Does::large_cut) {
                        co_await loop.sleep(1s);
                        stream->reset();
                        co_return;
                    }
                    break;
                }
                case Does::hangs:
                    break;
            }
            if (closes_after) {
                co_await loop.sleep(*closes_after);
                stream->close();
                co_return;
            }
        }
    }
};
using Does = Peer::Does;

// A client that sends a text and reads until the other side ends, or for so long.
struct Client {
    net::SimulatedEventLoop& loop;
    std::string got;
    Time at{}, ended{};
    bool reset{}, over{};

    Client(net::SimulatedEventLoop& w, Time when, std::string text, Time stays = 1min, bool reads = true) : loop(w) {
        loop.spawn(run(when, std::move(text), stays, reads));
    }
    Task<> run(Time when, std::string text, Time stays, bool reads) {
        co_await loop.sleep(when - loop.now());
        const net::Address front{"front", 1};  // this compiler frees a braced temporary of an await twice
        auto connected = co_await loop.connect(front, 1s);
        if (connected.error) {
            over = true;
            co_return;
        }
        const auto stream = connected.stream;
        loop.call_at(loop.now() + stays, [stream] { stream->close(); });
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
        write_queue->send(std::move(text));
        std::vector<char> room(4096);
        while (reads) {
            const auto moved = co_await stream->read(net::asio::buffer(room));
            if (moved.bytes) at = loop.now();
            got.append(room.data(), moved.bytes);
            if (!moved.error) continue;
            reset = moved.error == net::asio::error::connection_reset;
            break;
        }
        if (!reads) co_await loop.sleep(stays);
        ended = loop.now();
        over = true;
    }
    int count(const std::string& word) const {
        int n = 0;
        for (auto p = got.find(word); p != std::string::npos; p = got.find(word, p + 1)) ++n;
        return n;
    }
};

class GatewayTest : public testing::Test {
protected:
    GatewayTest() {
        config.listen = "front:1";
        config.log.file = "/dev/null";
        config.safety_rules.slow_start_duration = 10s;
        config.safety_rules.slow_start_initial_share = 0.2;
        config.safety_rules.slow_start_rate_multiple = 2;
        config.safety_rules.slow_start_window = 2s;
        config.capabilities.cancellation = config.capabilities.health_checks = config.capabilities.hedging = true;
        config.capabilities.retry_after = config.capabilities.on_demand_loading = config.capabilities.stable_capacity =
            true;
        config.capabilities.max_attempts = 5;
        config.capabilities.controller_count = 1;
        config.capabilities.max_retry_after = 2s;
        config.capabilities.keep_alive = 10s;
        config.capabilities.clock_resolution = 5ms;
        use("p", Idempotency::idempotent);
        use("r", Idempotency::deduplicated);
        use("s", Idempotency::at_most_once);
    }
    void use(const std::string& name, Idempotency repeat) {
        NamedRequestClass& it = config.request_classes[name];
        it.name = name;
        it.latency_target = 1500ms;
        it.idempotency = repeat;
        it.deduplication_window = 5s;
    }
    Peer& peer(std::vector<Does> does) {
        const std::string name = "i" + std::to_string(peers.size() + 1);
        config.endpoint_source.fixed.push_back({name, name + ":1", "a", "k", 1, 0});
        return *peers.emplace_back(std::make_unique<Peer>(loop, name, std::move(does)));
    }
    void open() {
        log = std::make_unique<Log>(loop, config.log);
        gateway = std::make_unique<web::Server>(loop, config, *log, 7,
                                                [this](const trace::Record& r) { trace.push_back(r); });
        ASSERT_FALSE(gateway->open());
    }
    static std::string request(const std::string& request_class, const std::string& more = "Connection: close\r\n",
                               const std::string& body = "work", int left = 4000) {
        return fmt::format(
            "POST /v1/jobs/f HTTP/1.1\r\nHost: x\r\nplumkeel-use-case: {}\r\nplumkeel-time-left: {}\r\n"
            "plumkeel-mark: m\r\nContent-Length: {}\r\n{}\r\n{}",
            request_class, left, body.size(), more, body);
    }
    Client& client(Time when, std::string text, Time stays = 1min, bool reads = true) {
        return *clients.emplace_back(std::make_unique<Client>(loop, when, std::move(text), stays, reads));
    }
    std::int64_t figure(const char* part, const char* key) {
        const auto status = gateway->status();
        return (key ? status.at(part).at(key) : status.at(part)).to_number<std::int64_t>();
    }
    std::int64_t turned_back(const char* word) {
        const auto status = gateway->status();
        const auto* counted = status.at("door").at("turned_back").as_object().if_contains(word);
        return counted ? counted->to_number<std::int64_t>() : 0;
    }
    std::size_t all_hops() const {
        std::size_t n = 0;
        for (const auto& each : peers) n += each->attempts.size();
        return n;
    }

    // Whatever the test did, the same calls give the same answers in a fresh controller.
    void TearDown() override {
        trace::Replayer again;
        for (const trace::Record& each : trace) again.feed(each);
        const trace::Comparison found = again.compare();
        EXPECT_GT(found.calls, 0u);
        EXPECT_EQ(found.different_calls, 0u) << found.first->recorded << "\n" << found.first->replayed;
    }

    std::vector<trace::Record> trace;
    net::SimulatedEventLoop loop;
    GatewayConfig config;
    std::unique_ptr<Log> log;
    std::unique_ptr<web::Server> gateway;
    std::vector<std::unique_ptr<Peer>> peers;
    std::vector<std::unique_ptr<Client>> clients;
};

TEST_F(GatewayTest, AJobIsHonouredAndItsConnectionKept) {
    Peer& it = peer({Does::answers});
    open();
    Client& one = client(10ms, request("p", "") + request("p"));
    loop.run(5s);
    EXPECT_EQ(one.count("plumkeel-outcome: honoured"), 2) << one.got;
    EXPECT_EQ(one.count("well"), 2);
    EXPECT_EQ(it.attempts.size(), 2u);
    EXPECT_EQ(it.connections, 1);
    EXPECT_GE(figure("lines", "reused"), 1);
}

// Resets after half the head, half the answer, and before any of it: for each kind of use case.
struct Cut {
    Does how;
    std::string request_class;
    bool again;
};
void PrintTo(const Cut& cut, std::ostream* out) {
    *out << "how " << static_cast<int>(cut.how) << ", use case " << cut.request_class;
}
class CutTest : public GatewayTest, public testing::WithParamInterface<Cut> {};
TEST_P(CutTest, GoesAgainOnlyWhereARepeatIsHarmless) {
    Peer& a = peer({GetParam().how, Does::answers});
    Peer& b = peer({GetParam().how, Does::answers});
    open();
    Client& one = client(10ms, request(GetParam().request_class));
    loop.run(10s);
    EXPECT_EQ(one.count("HTTP/1.1 "), 1) << one.got;
    if (GetParam().again) {
        EXPECT_EQ(one.count("plumkeel-outcome: honoured"), 1) << one.got;
        EXPECT_GE(all_hops(), 2u);
    } else {
        EXPECT_EQ(one.count("plumkeel-outcome: written-off"), 1) << one.got;
        EXPECT_EQ(a.attempts.size() + b.attempts.size(), 1u);
    }
}
INSTANTIATE_TEST_SUITE_P(Cuts, CutTest,
                         testing::Values(Cut{Does::resets, "p", true}, Cut{Does::resets, "r", true},
                                         Cut{Does::resets, "s", false}, Cut{Does::half_head, "p", true},
                                         Cut{Does::half_head, "r", true}, Cut{Does::half_head, "s", false},
                                         Cut{Does::half_body, "p", true}, Cut{Does::half_body, "r", true},
                                         Cut{Does::half_body, "s", false}, Cut{Does::bare_503, "s", false},
                                         Cut{Does::turns_away, "s", true}, Cut{Does::turns_away, "r", true}));

TEST_F(GatewayTest, AConnectionNeverMadeProvesThatItNeverRan) {
    config.endpoint_source.fixed.push_back({"dead", "dead:1", "a", "k", 1, 0});
    Peer& it = peer({Does::answers});
    open();
    for (int i = 0; i < 6; ++i) client(10ms * (i + 1), request("s"));
    loop.run(10s);
    for (const auto& each : clients) EXPECT_EQ(each->count("plumkeel-outcome: honoured"), 1) << each->got;
    EXPECT_EQ(it.attempts.size(), 6u);
}

// An invoker closes idle connections at every moment around the one when the next hop leaves on them.
TEST_F(GatewayTest, AnIdleConnectionClosedAsAHopLeavesOnIt) {
    Peer& it = peer({Does::answers});
    it.closes_after = 5ms;
    open();
    Time at = 10ms;
    for (int i = 0; i < 200; ++i) {
        for (const char* kind : {"p", "s", "r"}) client(at, request(kind));
        at += 15ms + Time(i * 11);
    }
    loop.run(60s);
    for (const auto& each : clients) EXPECT_EQ(each->count("HTTP/1.1 "), 1) << each->got;
    // Each leaves on a fresh connection where it may run but once, so none of these is written off.
    for (std::size_t i = 1; i < clients.size(); i += 3)
        EXPECT_EQ(clients[i]->count("plumkeel-outcome: honoured"), 1) << clients[i]->got;
    EXPECT_GT(figure("jobs", "honoured"), 580) << gateway->status();  // a few replayable ones ran out of hops
    EXPECT_EQ(figure("jobs", "written_off"), 0);
}

TEST_F(GatewayTest, AnInvokerThatSaysNothingCostsOneAnswerBeforeTheExpiry) {
    Peer& it = peer({Does::hangs});
    open();
    Client& one = client(10ms, request("s"));
    Client& two = client(20ms, request("p", "Connection: close\r\n", "work", 1000));
    loop.run(20s);
    EXPECT_EQ(one.count("plumkeel-outcome: written-off"), 1) << one.got;
    EXPECT_LT(one.at, 4010ms);
    EXPECT_GT(one.at, 3900ms);
    EXPECT_EQ(two.count("plumkeel-outcome: bounced"), 1) << two.got;
    EXPECT_LT(two.at, 1020ms);
    EXPECT_GE(it.gone, 1);  // called off
}

// The answer and the expiry in one tick, from both sides.
TEST_F(GatewayTest, AnswerAndExpiryInOneTickGiveOneAnswer) {
    Peer& it = peer({Does::answers});
    it.takes = 500ms;
    open();
    std::vector<Client*> all;
    for (int us = -15000; us <= 5000; us += 100)
        all.push_back(&client(1s + 2s * ((us + 15000) / 100), request("s", "Connection: close\r\n", "w", 500)));
    std::size_t turn = 0;
    for (int us = -15000; us <= 5000; us += 100, ++turn)
        loop.call_at(900ms + 2s * static_cast<int>(turn), [&it, us] { it.takes = 500ms + Time(us); });
    loop.run(10min);
    int honoured = 0, off = 0;
    for (Client* each : all) {
        EXPECT_EQ(each->count("HTTP/1.1 "), 1) << each->got;
        honoured += each->count("plumkeel-outcome: honoured");
        off += each->count("plumkeel-outcome: written-off");
    }
    EXPECT_GT(honoured, 0);
    EXPECT_GT(off, 0);
    EXPECT_EQ(honoured + off, static_cast<int>(all.size()));
}

TEST_F(GatewayTest, AClientGoneMidJobCallsItsHopOff) {
    Peer& it = peer({Does::hangs});
    open();
    client(10ms, request("p"), 300ms);
    loop.run(1s);
    EXPECT_EQ(it.attempts.size(), 1u);
    EXPECT_EQ(it.gone, 1);
    EXPECT_EQ(figure("jobs", "client_left"), 1);
    EXPECT_EQ(figure("jobs", "open"), 0);
    EXPECT_EQ(figure("door", "held_bytes"), 0);
}

TEST_F(GatewayTest, AClientGoneMidBodyIsNoJob) {
    Peer& it = peer({Does::answers});
    open();
    std::string text = request("p", "", std::string(100, 'b'));
    client(10ms, text.substr(0, text.size() - 50), 300ms);
    loop.run(5s);
    EXPECT_EQ(it.attempts.size(), 0u);
    EXPECT_EQ(figure("jobs", "taken"), 0);
    EXPECT_EQ(figure("door", "connections"), 0);
}

TEST_F(GatewayTest, LateAnswersAreDiscardedAndCounted) {
    config.capabilities.cancellation = false;
    Peer& it = peer({Does::answers});
    it.takes = 600ms;
    open();
    Client& one = client(10ms, request("s", "Connection: close\r\n", "w", 300));
    loop.run(3s);
    EXPECT_EQ(one.count("HTTP/1.1 "), 1);
    EXPECT_EQ(one.count("well"), 0);
    EXPECT_EQ(figure("jobs", "written_off"), 1);
}

TEST_F(GatewayTest, ALargeAnswerStreamsAndOneCutIsNotTakenForWhole) {
    peer({Does::large, Does::large_cut});
    open();
    Client& one = client(10ms, request("p"));
    Client& two = client(2s, request("p"));
    loop.run(30s);
    EXPECT_EQ(one.count("Transfer-Encoding: chunked"), 1) << one.got.substr(0, 300);
    EXPECT_EQ(one.count("\r\n0\r\n\r\n"), 1);
    EXPECT_GT(one.got.size(), 400'000u);
    EXPECT_EQ(two.count("\r\n0\r\n\r\n"), 0);
    EXPECT_TRUE(two.reset);
    EXPECT_EQ(figure("jobs", "streamed"), 2);
    EXPECT_EQ(figure("jobs", "open"), 0);
}

TEST_F(GatewayTest, ASlowReaderIsLetGoAndHoldsNoMemory) {
    config.admission.unread_timeout = 2s;
    config.pool.stream_buffer_bytes = 64 * 1024;
    peer({Does::large});
    open();
    Client& one = client(10ms, request("p"), 20s, false);
    loop.run(30s);
    EXPECT_TRUE(one.over);
    EXPECT_EQ(turned_back("unread_answer"), 1);
    EXPECT_EQ(figure("jobs", "open"), 0);
    EXPECT_EQ(figure("door", "connections"), 0);
}

TEST_F(GatewayTest, DecidedAgainUnderAnotherAllowanceATraceShowsWhereItFirstDiffers) {
    peer({Does::resets, Does::answers});
    peer({Does::resets, Does::answers});
    open();
    client(10ms, request("p"));
    loop.run(5s);
    trace::Replayer again([](trace::Start& start) { start.capabilities.max_attempts = 1; });
    for (const trace::Record& each : trace) again.feed(each);
    const trace::Comparison found = again.compare();
    ASSERT_TRUE(found.first);
    EXPECT_EQ(found.first->record.type, trace::RecordType::attempt_ended);
    EXPECT_NE(found.first->recorded.find("hop 1 of job 1 goes to"), std::string::npos) << found.first->recorded;
    EXPECT_NE(found.first->replayed.find("job 1 is bounced"), std::string::npos) << found.first->replayed;
    EXPECT_EQ(found.different_requests, 1u);
}

// ---------------------------------------------------------------- the door

struct Odd {
    std::string text, word;
    int status;
};
void PrintTo(const Odd& odd, std::ostream* out) {
    *out << odd.word;
}
class AdmissionTest : public GatewayTest, public testing::WithParamInterface<Odd> {};
TEST_P(AdmissionTest, TellsWhatItObjectsTo) {
    config.admission.max_head_bytes = 2048;
    config.admission.max_body_bytes = 100;
    Peer& it = peer({Does::answers});
    open();
    Client& one = client(10ms, GetParam().text);
    loop.run(30s);
    EXPECT_EQ(one.count("plumkeel-objection: " + GetParam().word), 1) << one.got;
    EXPECT_EQ(one.count("HTTP/1.1 " + std::to_string(GetParam().status)), 1) << one.got;
    EXPECT_EQ(turned_back(GetParam().word.c_str()), 1);
    EXPECT_EQ(it.attempts.size(), 0u);
    EXPECT_EQ(figure("door", "connections"), 0);
}
std::string head(const std::string& lines, const std::string& line = "POST /v1/jobs/f HTTP/1.1") {
    return line + "\r\nHost: x\r\n" + lines + "\r\n";
}
const std::string good = "plumkeel-use-case: p\r\nplumkeel-time-left: 1000\r\n";
INSTANTIATE_TEST_SUITE_P(
    Odd, AdmissionTest,
    testing::Values(
        Odd{"what is this\r\n\r\n", "malformed", 400}, Odd{head(good + "Content-Length: -4\r\n"), "malformed", 400},
        Odd{head(good + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"), "malformed", 400},
        Odd{head(good + "Transfer-Encoding: chunked\r\n") + "zz\r\n", "malformed", 400},
        Odd{head(good + "X: " + std::string(4000, 'x') + "\r\n"), "head_too_big", 431},
        Odd{head(good + "Content-Length: 101\r\n"), "body_too_big", 413},
        Odd{head(good + "Transfer-Encoding: chunked\r\n") + "200\r\n" + std::string(0x200, 'x') + "\r\n0\r\n\r\n",
            "body_too_big", 413},
        Odd{head(good, "GET /v1/jobs/f HTTP/1.1"), "no_such_path", 404},
        Odd{head(good, "POST /elsewhere HTTP/1.1"), "no_such_path", 404},
        Odd{head("plumkeel-use-case: q\r\nplumkeel-time-left: 1000\r\n"), "no_such_use_case", 400},
        Odd{head("plumkeel-use-case: p\r\n"), "time_left_absent", 400},
        Odd{head("plumkeel-use-case: p\r\nplumkeel-time-left: 0\r\n"), "time_left_absurd", 400},
        Odd{head("plumkeel-use-case: p\r\nplumkeel-time-left: 99999999999999999\r\n"), "time_left_absurd", 400},
        Odd{head("plumkeel-use-case: p\r\nplumkeel-time-left: soon\r\n"), "time_left_absurd", 400},
        Odd{head("plumkeel-use-case: r\r\nplumkeel-time-left: 1000\r\n"), "mark_missing", 400},
        Odd{head(good + "plumkeel-lanes: many\r\n"), "bad_field", 400},
        Odd{head(good, "POST /v1/jobs/a%0Ab HTTP/1.1"), "bad_function", 400},
        Odd{"POST /v1/jobs/f HT", "head_too_slow", 408},
        Odd{head(good + "Content-Length: 50\r\n") + "some", "body_too_slow", 408}));

TEST_F(GatewayTest, AChunkedBodyIsTakenWhole) {
    Peer& it = peer({Does::answers});
    open();
    Client& one = client(
        10ms, head(good + "Connection: close\r\nTransfer-Encoding: chunked\r\n") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    loop.run(3s);
    EXPECT_EQ(one.count("plumkeel-outcome: honoured"), 1) << one.got;
    EXPECT_EQ(it.attempts.size(), 1u);
}

TEST_F(GatewayTest, LimitsOnJobsConnectionsAndMemory) {
    config.admission.max_requests = 2;
    config.admission.max_connections = 3;
    config.admission.max_memory_bytes = 1000;
    peer({Does::hangs});
    open();
    client(10ms, request("s"));
    client(10ms, request("s", "", std::string(900, 'b')));
    Client& third = client(20ms, request("s", "", std::string(300, 'b')));
    Client& idle = client(1500ms, "");
    Client& fifth = client(1600ms, request("s"));
    loop.run(2s);
    EXPECT_EQ(third.count("too_many_jobs") + third.count("no_memory"), 1) << third.got;
    EXPECT_EQ(fifth.count("too_many_connections"), 1) << fifth.got;
    EXPECT_EQ(idle.got, "");
    loop.run(20s);
    EXPECT_EQ(figure("jobs", "open"), 0);
    EXPECT_EQ(figure("door", "held_bytes"), 0);
}

TEST_F(GatewayTest, BodiesThatAreStillComingCountAgainstTheMemory) {
    config.admission.max_memory_bytes = 1000;
    peer({Does::answers});
    open();
    const std::string text = request("p", "", std::string(900, 'b'));
    client(10ms, text.substr(0, text.size() - 800), 1s);  // 100 of 900 bytes, then it stays away
    Client& second = client(100ms, request("p", "", std::string(300, 'b')));
    std::string chunked = head(good + "Transfer-Encoding: chunked\r\n") + "12c\r\n" + std::string(300, 'b');
    Client& third = client(100ms, chunked);
    Client& after = client(2s, request("p", "", std::string(900, 'b')), 5s);
    loop.run(10s);
    EXPECT_EQ(second.count("no_memory"), 1) << second.got;
    EXPECT_EQ(third.count("no_memory"), 1) << third.got;
    EXPECT_EQ(after.count("plumkeel-outcome: honoured"), 1) << after.got;
    EXPECT_EQ(figure("door", "held_bytes"), 0);
}

// ---------------------------------------------------------------- the list, the drain rule, and the end

// A list source whose text the test changes.
struct Source {
    net::SimulatedEventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::string body;
    int index = 1;
    net::Notification changed;

    explicit Source(net::SimulatedEventLoop& w) : loop(w), listener(w.listen({"list", 1}).listener), changed(w) {
        loop.spawn(run());
    }
    static std::string entry(const std::string& name, bool drains = false) {
        return fmt::format(
            R"({{"Node":{{"Address":"{0}"}},"Service":{{"ID":"{0}","Port":1}},"Checks":[{{"Status":"{1}"}}]}})", name,
            drains ? "critical" : "passing");
    }
    void set(std::vector<std::string> entries) {
        body = "[";
        for (const auto& each : entries) body += (body.size() > 1 ? "," : "") + each;
        body += "]";
        ++index;
        changed.notify();
    }
    Task<> run() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            http::ReadBuffer read_buffer(accepted.stream);
            http::bh::request_parser<http::bh::string_body> parser;
            net::Error error;
            while (!parser.is_done() && !error) {
                error = co_await read_buffer.read_more();
                if (!error) error = read_buffer.feed(parser);
            }
            const bool waits = parser.get().target().find(fmt::format("index={}&", index)) != std::string::npos;
            if (waits) co_await changed.wait();
            Peer::put(accepted.stream,
                      fmt::format("HTTP/1.1 200 OK\r\nX-Consul-Index: {}\r\nContent-Length: {}\r\n\r\n{}", index,
                                  body.size(), body));
            accepted.stream->shutdown_send();
            co_await loop.sleep(1ms);
        }
    }
};

TEST_F(GatewayTest, GoneWhileAHopIsOutAndWhileOneWaitsForItsConnection) {
    config.pool.max_connections = 1;
    config.endpoint_source.consul = "list:1";
    Source source(loop);
    Peer& a = peer({Does::answers});
    a.takes = 1s;
    config.endpoint_source.fixed.clear();
    source.set({Source::entry("i1")});
    open();
    Client& out = client(100ms, request("s"));
    std::string other = request("s");
    other.replace(other.find("jobs/f"), 6, "jobs/g");  // else it would park for the load of f
    Client& waits = client(150ms, other);
    loop.call_at(300ms, [&] { source.set({Source::entry("i1", true)}); });
    Peer& b = peer({Does::answers});
    loop.call_at(700ms, [&] { source.set({Source::entry("i1", true), Source::entry("i2")}); });
    loop.run(10s);
    // The one that is out is awaited; the one that waited never left, and goes elsewhere.
    EXPECT_EQ(out.count("plumkeel-outcome: honoured"), 1) << out.got;
    EXPECT_EQ(waits.count("plumkeel-outcome: honoured"), 1) << waits.got;
    EXPECT_EQ(a.attempts.size(), 1u);
    EXPECT_EQ(b.attempts.size(), 1u);
    EXPECT_EQ(figure("hops", nullptr), 3);
}

TEST_F(GatewayTest, ClosingEndsWhatIsOpenAndTakesNoMore) {
    Peer& it = peer({Does::answers});
    it.takes = 800ms;
    open();
    Client& open_job = client(100ms, request("s", ""));
    Client& idle = client(100ms, "", 10s);
    Client& later = client(400ms, request("p"));
    Time done{};
    loop.call_at(300ms, [&] { gateway->close([&] { done = loop.now(); }); });
    loop.run(5s);
    EXPECT_EQ(open_job.count("plumkeel-outcome: honoured"), 1) << open_job.got;
    EXPECT_EQ(open_job.count("Connection: close"), 1);
    EXPECT_EQ(later.got, "");
    EXPECT_TRUE(idle.over);
    EXPECT_LT(idle.ended, 2s);
    EXPECT_GT(done, 900ms);
    EXPECT_LT(done, 2s);
}

}  // namespace
}  // namespace plumkeel::gateway
