// What is still owed at the instant at which something ends: clients that leave, connections, invokers and the
// process itself. The order of events is forced by the scripts; docs/design/021-endings.md names each crossing.
#include <arpa/inet.h>
#include <sys/socket.h>

#include <set>

#include "net/socket_event_loop.hpp"
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

// Deadlines long enough that nothing ends by time; one invoker listed unless a test says otherwise.
std::string patient() {
    std::string text =
        replaced(default_config, R"("aim":800.0,"deadline":3000.0)", R"("aim":60000.0,"deadline":90000.0)");
    const auto second = text.find(R"(,
  {"uid":"s-00000002")");
    const auto end = text.find("]}}]}", second);
    return text.erase(second, end - second);
}

std::string no_cancel(const std::string& text) {
    return replaced(text, R"("may_cancel":true)", R"("may_cancel":false)");
}

std::string job_text(int number, std::uint64_t id, const std::string& body = "") {
    return message(number, job_fields(hex16(id), hex16(id), 60000), body);
}

bool ran(const ScriptedInvoker& peer, std::uint64_t id) {
    return std::any_of(peer.runs.begin(), peer.runs.end(), [&](const auto& run) { return run.second == hex16(id); });
}

// ---------------------------------------------------------------- a client leaves

enum class Leaves { cancels, closes };
struct Leaving {
    Leaves how;
    bool may_cancel;
};

class ClientLeavesTest : public PlatformTest, public testing::WithParamInterface<Leaving> {
protected:
    void open_with(const std::string& text) { open(GetParam().may_cancel ? text : no_cancel(text)); }
    // Job `id` on a connection of its own at `when`, taken back or left `after` its connection came up.
    ScriptedClient& leaver(Time when, std::uint64_t id, Time after, const std::string& body = "") {
        ScriptedClient& it = add_client(when, {{0ms, job_text(1, id, body)}});
        loop.call_at(when + 200us + after, [&it, this] {
            if (GetParam().how == Leaves::cancels)
                ScriptedInvoker::write(it.stream, record(2, 1, ""));
            else
                it.stream->close();
        });
        return it;
    }
};

// One stream a connection and eight connections: the ninth job waits for one. Its client leaves; then one is free.
TEST_P(ClientLeavesTest, WhileItsJobWaitsForAConnection) {
    ScriptedInvoker& only = add_invoker({InvokerBehaviour::never_respond});
    open_with(replaced(replaced(patient(), R"("sockets":256)", R"("sockets":64)"), R"("streams_per_conn":32)",
                       R"("streams_per_conn":1)"));
    for (std::uint64_t i = 1; i <= 8; ++i) add_client(10ms, {{0ms, job_text(1, i)}});
    leaver(20ms, 9, 10ms);
    add_client(25ms, {{0ms, job_text(1, 10)}});
    loop.run(50ms);
    ASSERT_EQ(only.runs.size(), 8u);
    only.script = {InvokerBehaviour::respond};
    ScriptedInvoker::write(only.streams[0], only.runs[0].second + " data n=reused 2\r\nok\r\n");
    loop.run(500ms);
    EXPECT_FALSE(ran(only, 9));
    EXPECT_TRUE(ran(only, 10));  // which waited behind it
}

// The connection to the invoker takes 2 of the network's latencies to come up; the client is gone before.
TEST_P(ClientLeavesTest, WhileItsJobsConnectionComesUp) {
    ScriptedInvoker& only = add_invoker({InvokerBehaviour::respond});
    open_with(patient());
    leaver(10ms, 1, 50us);
    loop.run(300ms);
    EXPECT_FALSE(ran(only, 1));
    EXPECT_TRUE(only.stops.empty());
}

TEST_P(ClientLeavesTest, WhileItsJobIsParked) {
    ScriptedInvoker& only = add_invoker({InvokerBehaviour::respond});
    ScriptedDiscovery board(loop, "10.9.0.1");
    open_with(replaced(patient(), R"("state":"up")", R"("state":"draining")"));
    leaver(10ms, 1, 10ms);
    add_client(10ms, {{0ms, job_text(1, 2)}});
    loop.run(50ms);
    board.send(frame(board.last_event = 2, 2, {{1, "10.0.0.1"}}));
    loop.run(2s);
    EXPECT_FALSE(ran(only, 1));
    EXPECT_TRUE(ran(only, 2));
}

TEST_P(ClientLeavesTest, BetweenAttempts) {
    ScriptedInvoker& only =
        add_invoker({InvokerBehaviour::reject, InvokerBehaviour::reject, InvokerBehaviour::respond});
    open_with(patient());
    leaver(10ms, 1, 30ms);  // its first attempt was turned away after 20 ms
    add_client(10ms, {{0ms, job_text(1, 2)}});
    loop.run(5s);
    EXPECT_EQ(std::count_if(only.runs.begin(), only.runs.end(), [](const auto& run) { return run.second == hex16(1); }),
              1);
    EXPECT_GE(std::count_if(only.runs.begin(), only.runs.end(), [](const auto& run) { return run.second == hex16(2); }),
              2);
}

TEST_P(ClientLeavesTest, WhileItsJobIsOut) {
    ScriptedInvoker& only = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    open_with(patient());
    leaver(10ms, 1, 30ms);
    loop.run(100ms);
    ASSERT_TRUE(ran(only, 1));
    EXPECT_EQ(only.stops.size(), GetParam().may_cancel ? 1u : 0u);
    only.streams[0]->reset();  // which would send on a job that is still wanted
    loop.run(3s);
    EXPECT_EQ(only.runs.size(), 1u);
}

// A hop behind a socket that takes nothing has not begun to leave: the one before it fills the socket.
class FullSocketTest : public ClientLeavesTest {
protected:
    static std::string one_line() {
        std::string text = replaced(patient(), R"("sockets":256)", R"("sockets":64)"), more;
        for (int i = 2; i <= 6; ++i)
            more += R"(,{"uid":"s-0000000)" + std::to_string(i) + R"(","endpoint":"10.0.0.)" + std::to_string(i) +
                    R"(:7001","az":"a","model":"k","pod_group":0,"state":"draining","capacity_hint":5,"boot_ms":0})";
        return text.insert(text.find("]}}]}"), more);
    }
    const std::string large = std::string(16'000, 'x');
};

TEST_P(FullSocketTest, WhileItsJobIsBehindAFullSocket) {
    ScriptedInvoker& only = add_invoker({InvokerBehaviour::respond});
    only.starts_reading_at = 90ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open_with(one_line());
    ScriptedClient& first = add_client(10ms, {{0ms, job_text(1, 1, large)}});
    ScriptedClient& second = add_client(30ms, {{0ms, job_text(1, 2, large)}});
    ScriptedClient& third = add_client(40ms, {{0ms, job_text(1, 3)}});
    loop.call_at(60ms, [&] {
        if (GetParam().how == Leaves::cancels)
            ScriptedInvoker::write(second.stream, record(2, 1, ""));
        else
            second.stream->close();
    });
    loop.run(3s);
    EXPECT_EQ(only.connections, 1);
    EXPECT_EQ(first.response(1).status(), "200");
    EXPECT_EQ(third.response(1).status(), "200");
    EXPECT_FALSE(ran(only, 2));
    EXPECT_TRUE(only.stops.empty());  // what never left needs no stop
}

// The same hop, and the list says that its invoker takes no more.
TEST_P(FullSocketTest, OrItsInvokerDrains) {
    ScriptedInvoker& only = add_invoker({InvokerBehaviour::respond});
    only.starts_reading_at = 90ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    ScriptedDiscovery board(loop, "10.9.0.1");
    open_with(one_line());
    ScriptedClient& first = add_client(10ms, {{0ms, job_text(1, 1, large)}});
    add_client(30ms, {{0ms, job_text(1, 2, large)}});
    loop.call_at(60ms, [&] { board.send(frame(board.last_event = 2, 2, {{1, "10.0.0.1", 7001, 1}})); });
    loop.run(3s);
    EXPECT_EQ(first.response(1).status(), "200");
    EXPECT_FALSE(ran(only, 2));
}

// More answers pending than 64 KiB, since the client does not read: what it takes back is seen all the same.
TEST_P(ClientLeavesTest, WhileItsAnswersAreNotRead) {
    ScriptedInvoker& only = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    loop.limit_buffer({"10.1.0.1", 7001}, 8000);
    only.response_body = std::string(16'000, 'a');
    open_with(patient());
    std::string text;
    for (int i = 1; i <= 7; ++i) text += job_text(i, static_cast<std::uint64_t>(i));
    ScriptedClient& one = add_client(10ms, {{0ms, text}}, false);
    loop.run(200ms);
    ASSERT_EQ(only.runs.size(), 7u);
    ASSERT_EQ(server->gateway().status().at("jobs").at("open").to_number<int>(), 1);
    ScriptedInvoker::write(one.stream,
                           record(9, 0, params_of({{"FCGI_MAX_CONNS", ""}})));  // read after the answers were given
    loop.run(220ms);
    if (GetParam().how == Leaves::cancels)
        ScriptedInvoker::write(one.stream, record(2, 1, ""));
    else
        one.stream->close();
    loop.run(300ms);
    EXPECT_EQ(only.stops.size(), GetParam().may_cancel ? 1u : 0u);
    EXPECT_EQ(server->gateway().status().at("jobs").at("open").to_number<int>(), 0);
}

std::vector<Leaving> leavings() {
    return {{Leaves::cancels, true}, {Leaves::closes, true}, {Leaves::cancels, false}, {Leaves::closes, false}};
}
std::string name_of(const testing::TestParamInfo<Leaving>& info) {
    return std::string(info.param.how == Leaves::cancels ? "Cancels" : "Closes") +
           (info.param.may_cancel ? "" : "AndNothingMayBeStopped");
}
INSTANTIATE_TEST_SUITE_P(All, ClientLeavesTest, testing::ValuesIn(leavings()), name_of);
INSTANTIATE_TEST_SUITE_P(All, FullSocketTest, testing::ValuesIn(leavings()), name_of);

// Refusals to one who reads none are not held without end: the connection goes long before its answers count as unread.
TEST_F(PlatformTest, AClientThatReadsNoRefusalsIsNotHeldForMuch) {
    add_invoker();
    loop.limit_buffer({"10.1.0.1", 7001}, 64 * 1024);
    open(patient());
    std::string text;
    for (int i = 0; i < 200; ++i) text += message(1, {{"SCRIPT_NAME", "/invoke/nothing"}});
    ScriptedClient& flood = add_client(10ms, {}, false);
    std::size_t most = 0;
    Time gone = Time::max();
    for (int i = 0; i < 100; ++i)
        loop.call_at(20ms + 5ms * i, [&] {
            ScriptedInvoker::write(flood.stream, text);
            const auto status = server->gateway().status();
            if (status.at("door").at("connections").to_number<int>() == 0) gone = std::min(gone, loop.now());
            most = std::max(most, status.at("door").at("turned_back").as_object().empty() ? 0 : 1ul);
        });
    loop.run(2s);
    EXPECT_EQ(most, 1u);
    EXPECT_LT(gone, 500ms);
}

// ---------------------------------------------------------------- connections to invokers end, or can't be had

class EndingsTest : public PlatformTest {
protected:
    // One of its own connection and function, with a minute's time.
    void patient_job(Time when, std::uint64_t id) {
        expected_requests.emplace_back(hex16(id), &add_client(when, {{0ms, job_text(1, id, "work")}}));
    }
};

std::string listed(int invokers, const std::string& sockets) {
    std::string text = replaced(patient(), R"("sockets":256)", R"("sockets":)" + sockets), more;
    for (int i = 2; i <= invokers; ++i)
        more += fmt::format(
            R"(,{{"uid":"s-{:08x}","endpoint":"10.0.0.{}:7001","az":"a","model":"k","pod_group":0,"state":"up","capacity_hint":5,"boot_ms":0}})",
            i, i);
    return text.insert(text.find("]}}]}"), more);
}

// Eight connections for all of twenty invokers: one that idles gives way, and who has none is served all the same.
TEST_F(EndingsTest, AnInvokerWithoutAConnectionTakesThePlaceOfOneThatIdles) {
    for (int i = 0; i < 20; ++i) add_invoker();
    open(listed(20, "64"));
    for (std::uint64_t i = 1; i <= 300; ++i) add_request(30ms * static_cast<int>(i), i, hex16(i));
    loop.run(30s);
    EXPECT_EQ(succeeded_requests(), 300u);
    std::size_t used = 0;
    for (const auto& each : invokers) used += !each->runs.empty();
    EXPECT_GT(used, 9u);  // more than can be connected at once
}

// All places taken by connections with something out: the next invoker waits for the first that ends, not for its own
// time to run out.
TEST_F(EndingsTest, WithAllConnectionsInUseTheNextOneFreeIsHandedOn) {
    for (int i = 0; i < 20; ++i) add_invoker({InvokerBehaviour::never_respond});
    open(listed(20, "64"));
    std::vector<ScriptedClient*> all;
    for (std::uint64_t i = 1; i <= 30; ++i) all.push_back(&add_client(10ms, {{0ms, job_text(1, i)}}));
    loop.run(200ms);
    std::size_t open_connections = 0;
    const std::size_t before = total_runs();
    for (const auto& each : invokers) open_connections += static_cast<std::size_t>(each->open_connections);
    ASSERT_EQ(open_connections, 8u);
    ASSERT_LT(before, 30u);
    for (const auto& each : invokers) {
        each->script = {InvokerBehaviour::respond};
        for (const auto& run : each->runs)
            ScriptedInvoker::write(each->streams[0], run.second + " data n=reused 2\r\nok\r\n");
    }
    loop.run(2s);
    EXPECT_EQ(total_runs(), 30u);
    for (ScriptedClient* each : all) EXPECT_EQ(each->response(1).status(), "200");
}

// The list names another address while the connection to the old one comes up: what has not left goes to the new one,
// since anybody may be at the old one by now.
TEST_F(EndingsTest, AnAddressThatMovesWhileItsConnectionComesUpIsNotSpokenTo) {
    ScriptedInvoker& old = add_invoker();
    ScriptedInvoker& fresh = add_invoker();
    ScriptedDiscovery board(loop, "10.9.0.1");
    open(patient());
    loop.run(5ms);
    add_request(10ms, 1);
    loop.call_at(10'300us, [&] {
        board.send(frame(board.last_event = 2, 2, {{1, "10.0.0.2"}}));
    });  // told at 10.4; sent at 10.3
    loop.run(2s);
    EXPECT_TRUE(old.runs.empty());
    EXPECT_EQ(fresh.runs.size(), 1u);
    EXPECT_EQ(succeeded_requests(), 1u);
}

// What is out at the old address is awaited there, and nothing new goes to it.
TEST_F(EndingsTest, WhatIsOutAtAnAddressThatMovesIsAwaitedThere) {
    ScriptedInvoker& old = add_invoker();
    ScriptedInvoker& fresh = add_invoker();
    old.service_time = 500ms;
    ScriptedDiscovery board(loop, "10.9.0.1");
    open(patient());
    patient_job(10ms, 1), patient_job(200ms, 2);
    loop.call_at(100ms, [&] { board.send(frame(board.last_event = 2, 2, {{1, "10.0.0.2"}})); });
    loop.run(2s);
    EXPECT_EQ(old.runs.size(), 1u);
    EXPECT_EQ(fresh.runs.size(), 1u);
    EXPECT_EQ(succeeded_requests(), 2u);
    EXPECT_EQ(old.open_connections, 0);
}

// Its time is nearly up when its connection is there: a hop without a whole millisecond would void the run.
class SlowNetworkTest : public PlatformTest, public testing::WithParamInterface<const char*> {
protected:
    SlowNetworkTest() : PlatformTest(1ms) {}  // a connection takes 2 ms to come up
};

TEST_P(SlowNetworkTest, NothingIsSentWithoutTimeLeft) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 0ms;
    open(replaced(patient(), R"("quantum":1.0)", R"("quantum":0.01)"));
    auto fields = job_fields(hex16(1), hex16(1));
    fields[2].second = GetParam();
    ScriptedClient& one = add_client(10ms, {{0ms, message(1, fields)}});
    loop.run(3s);
    EXPECT_EQ(only.connections, 1);
    EXPECT_TRUE(only.runs.empty());
    EXPECT_EQ(one.response(1).times, 1);
}
INSTANTIATE_TEST_SUITE_P(All, SlowNetworkTest, testing::Values("2.1", "2.5", "2.9"),
                         [](const auto& each) { return "Budget" + std::to_string(each.index); });

// An invoker that goes, with its machine silent: its hop's time is not waited for where another may run the job.
TEST_F(EndingsTest, AConnectionResetUnderAJobThatMayRunAgainSendsItOn) {
    ScriptedInvoker& a = add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    ScriptedInvoker& b = add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    open();
    add_request(10ms, 1);
    loop.run(3s);
    EXPECT_EQ(succeeded_requests(), 1u);
    EXPECT_EQ(a.runs.size() + b.runs.size(), 2u);
}

// The connection is reset at the instant at which a request that may run but once is put on it: the write fails, so it
// never ran, and goes on.
TEST_F(EndingsTest, WhatCouldNotBeWrittenNeverRan) {
    ScriptedInvoker& only = add_invoker();
    open(replaced(patient(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    patient_job(10ms, 1);
    ScriptedClient& second = add_client(20ms, {});
    expected_requests.emplace_back(hex16(2), &second);
    loop.run(100ms);
    ASSERT_EQ(only.streams.size(), 1u);
    loop.call_at(110ms, [&] {
        ScriptedInvoker::write(second.stream, job_text(1, 2, "work"));  // both arrive at the same moment, this first
        only.streams[0]->reset();
    });
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 2u);
    EXPECT_EQ(only.runs.size(), 2u);
}

// A record stops in its middle, and another request of its connection is open: that one is answered, then the
// connection goes.
TEST_F(EndingsTest, ARecordThatDoesNotComeWholeCostsNoOpenRequestItsAnswer) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 3s;
    open(patient());
    ScriptedClient& one = add_client(10ms, {{0ms, job_text(1, 1, "work") + job_text(2, 2, "work").substr(0, 60)}});
    loop.run(10s);
    EXPECT_EQ(one.response(1).times, 1);
    EXPECT_EQ(one.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    EXPECT_LT(one.ended_at, 5s);
}

// ---------------------------------------------------------------- the list ends

// A whole list that leaves out an invoker with a hop out: the hop is awaited, and nothing new goes there.
TEST_F(EndingsTest, AWholeListWithoutAnInvokerLeavesItsOpenHopsAlone) {
    ScriptedInvoker& a = add_invoker();
    ScriptedInvoker& b = add_invoker();
    a.service_time = b.service_time = 300ms;
    ScriptedDiscovery board(loop, "10.9.0.1");
    open(listed(2, "256"));
    for (std::uint64_t i = 1; i <= 40; ++i) patient_job(10ms * static_cast<int>(i), i);
    loop.call_at(200ms, [&] { board.send(frame(board.last_event = 2, 1, {{2, "10.0.0.2"}})); });
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 40u);
    EXPECT_GT(a.runs.size(), 0u);
    for (const auto& [at, id] : a.runs) EXPECT_LE(at, 201ms) << id;
}

// Thirty controllers lose the board at the same moment: they don't come again in step.
TEST_F(EndingsTest, ControllersThatLoseTheBoardTogetherDoNotReturnInStep) {
    PlatformConfig told = load_platform_config(write_config(default_config));
    told.gateway.log.file = "/dev/null";
    Log quiet(loop, told.gateway.log);
    auto board = std::make_unique<ScriptedDiscovery>(loop, "10.9.0.1");
    std::vector<std::unique_ptr<discovery::Watcher>> all;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        all.push_back(std::make_unique<discovery::Watcher>(
            loop, quiet, told.labels, told.discovery, 1, [](const discovery::WatchEvent&) {}, seed));
        all.back()->start();
    }
    loop.run(500ms);
    ASSERT_EQ(board->subscriptions.size(), 30u);
    board->listener->close();
    for (const auto& stream : board->streams) stream->close();
    loop.run(2s);
    ScriptedDiscovery again(loop, "10.9.0.1");
    loop.run(3500ms);  // the longest pause is 1.2 s; those that hear nothing here come again later
    ASSERT_EQ(again.subscriptions.size(), 30u);
    std::set<Time> moments;
    for (const auto& [at, number] : again.subscriptions) moments.insert(at);
    EXPECT_GE(moments.size(), 20u);
}

// ---------------------------------------------------------------- the process ends

// The board's address moves after the word to end: nothing is lost, and the process ends as it would.
TEST_F(EndingsTest, ANewConfigurationDuringADrainChangesNothingOfIt) {
    add_invoker(), add_invoker();
    ScriptedDiscovery old(loop, "10.9.0.1"), fresh(loop, "10.9.0.2");
    open();
    for (std::uint64_t i = 1; i <= 160; ++i) add_request(10ms * static_cast<int>(i), i, hex16(i));
    Time ended{};
    loop.call_at(1s, [&] { server->shut_down([&] { ended = loop.now(); }); });
    loop.call_at(1200ms, [&] {
        server->reconfigure(load_platform_config(write_config(replaced(default_config, "10.9.0.1", "10.9.0.2"))));
    });
    loop.call_at(1300ms, [&] { server->shut_down([] { FAIL() << "ended twice"; }); });
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 160u);
    EXPECT_GE(ended, 1800ms);
    EXPECT_LT(ended, 4s);
    EXPECT_EQ(fresh.subscriptions.size(), 1u);
}

// The word to end is carried out only when the last connection has taken leave: an end of the process resets what its
// client has not read.
TEST_F(EndingsTest, TheProcessEndsOnlyAfterItsLastFarewell) {
    add_invoker(), add_invoker();
    open();
    for (std::uint64_t i = 1; i <= 20; ++i) add_request(10ms * static_cast<int>(i), i);
    int connections = -1;
    loop.call_at(300ms, [&] {
        server->shut_down(
            [&] { connections = server->gateway().status().at("door").at("connections").to_number<int>(); });
    });
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 20u);
    EXPECT_EQ(connections, 0);
}

// On sockets: five connections come up, each with a whole job, and an open one gets another, all while the process
// stands still; then its door closes. None was accepted or read before, and all are owed their answers.
TEST(ProcessEnds, WhatStandsInTheBacklogAndInSocketBuffersIsAnswered) {
    const std::string own = fmt::format("127.{}.{}.", 64 + (::getpid() >> 8) % 64, ::getpid() & 255);
    std::string text = patient();
    for (const auto& [from, to] :
         std::map<std::string, std::string>{{"10.1.0.1", own + "1"}, {"10.9.0.1", own + "9"}, {"10.0.0.1", own + "11"}})
        text = replaced(text, from, to);
    PlatformConfig config = load_platform_config(write_config(text));
    config.gateway.log.file = "/dev/null";
    net::SocketEventLoop loop;
    Log log(loop, config.gateway.log);
    ScriptedInvoker invoker(loop, own + "11", {InvokerBehaviour::respond});
    auto host = std::make_unique<PlatformServer>(loop, config, log);
    ASSERT_FALSE(host->open());

    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(7001);
    ASSERT_EQ(::inet_pton(AF_INET, (own + "1").c_str(), &to.sin_addr), 1);
    std::vector<int> clients;
    const auto connect = [&] {
        clients.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        const timeval limit{10, 0};
        ::setsockopt(clients.back(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        EXPECT_EQ(::connect(clients.back(), reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    };
    const auto say = [&](std::size_t client, std::uint64_t id) {
        const std::string request = job_text(1, id, "work");
        EXPECT_EQ(::send(clients[client], request.data(), request.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(request.size()));
    };
    connect();
    say(0, 1);
    bool ended = false;
    Time closes{};
    loop.call_at(loop.now() + 200ms, [&] {
        closes = loop.now() + 800ms;
        host->shut_down([&] {
            ended = true;
            loop.stop();
        });
        loop.call_at(closes - 5ms, [&] {
            for (std::size_t i = 1; i <= 5; ++i) connect(), say(i, 10 + i);
            say(0, 2);
            while (loop.now() < closes + 5ms) {
            }
        });
    });
    loop.call_at(20s, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(ended);
    for (std::size_t i = 0; i < clients.size(); ++i) {
        std::string got;
        char room[4096];
        for (ssize_t n; (n = ::recv(clients[i], room, sizeof room, 0)) > 0;)
            got.append(room, static_cast<std::size_t>(n));
        const auto all = answers(got);
        ASSERT_TRUE(all && all->count(1)) << "client " << i << " got " << got.size() << " bytes";
        EXPECT_EQ(all->at(1).times, i == 0 ? 2 : 1);
        EXPECT_EQ(all->at(1).body().find("made for "), 0u) << all->at(1).text;
        ::close(clients[i]);
    }
}

}  // namespace
}  // namespace plumkeel::platform
