// What is still owed at the instant at which something ends: clients that leave, connections, invokers and the
// process itself. The order of events is forced by the scripts; docs/design/021-endings.md names each crossing.
#include <arpa/inet.h>
#include <sys/socket.h>

#include "net/real.hpp"
#include "tests/platform_world.hpp"

namespace plumkeel::platform {
namespace {

// Deadlines long enough that nothing ends by time; one invoker listed unless a test says otherwise.
std::string patient() {
    std::string text = replaced(plain_config, R"("aim":800.0,"deadline":3000.0)", R"("aim":60000.0,"deadline":90000.0)");
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

bool ran(const Peer& peer, std::uint64_t id) {
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
    Client& leaver(Time when, std::uint64_t id, Time after, const std::string& body = "") {
        Client& it = client(when, {{0ms, job_text(1, id, body)}});
        world.at(when + 200us + after, [&it, this] {
            if (GetParam().how == Leaves::cancels)
                Peer::put(it.stream, record(2, 1, ""));
            else
                it.stream->close();
        });
        return it;
    }
};

// One stream a connection and eight connections: the ninth job waits for one. Its client leaves; then one is free.
TEST_P(ClientLeavesTest, WhileItsJobWaitsForAConnection) {
    Peer& only = peer({Does::silent});
    open_with(replaced(replaced(patient(), R"("sockets":256)", R"("sockets":64)"), R"("streams_per_conn":32)", R"("streams_per_conn":1)"));
    for (std::uint64_t i = 1; i <= 8; ++i) client(10ms, {{0ms, job_text(1, i)}});
    leaver(20ms, 9, 10ms);
    client(25ms, {{0ms, job_text(1, 10)}});
    world.run(50ms);
    ASSERT_EQ(only.runs.size(), 8u);
    only.script = {Does::answers};
    Peer::put(only.streams[0], only.runs[0].second + " data n=reused 2\r\nok\r\n");
    world.run(500ms);
    EXPECT_FALSE(ran(only, 9));
    EXPECT_TRUE(ran(only, 10));  // which waited behind it
}

// The connection to the invoker takes 2 of the network's latencies to come up; the client is gone before.
TEST_P(ClientLeavesTest, WhileItsJobsConnectionComesUp) {
    Peer& only = peer({Does::answers});
    open_with(patient());
    leaver(10ms, 1, 50us);
    world.run(300ms);
    EXPECT_FALSE(ran(only, 1));
    EXPECT_TRUE(only.stops.empty());
}

TEST_P(ClientLeavesTest, WhileItsJobIsParked) {
    Peer& only = peer({Does::answers});
    Noticeboard board(world, "10.9.0.1");
    open_with(replaced(patient(), R"("state":"up")", R"("state":"draining")"));
    leaver(10ms, 1, 10ms);
    client(10ms, {{0ms, job_text(1, 2)}});
    world.run(50ms);
    board.say(frame(board.last = 2, 2, {{1, "10.0.0.1"}}));
    world.run(2s);
    EXPECT_FALSE(ran(only, 1));
    EXPECT_TRUE(ran(only, 2));
}

TEST_P(ClientLeavesTest, BetweenAttempts) {
    Peer& only = peer({Does::full, Does::full, Does::answers});
    open_with(patient());
    leaver(10ms, 1, 30ms);  // its first attempt was turned away after 20 ms
    client(10ms, {{0ms, job_text(1, 2)}});
    world.run(5s);
    EXPECT_EQ(std::count_if(only.runs.begin(), only.runs.end(), [](const auto& run) { return run.second == hex16(1); }), 1);
    EXPECT_GE(std::count_if(only.runs.begin(), only.runs.end(), [](const auto& run) { return run.second == hex16(2); }), 2);
}

TEST_P(ClientLeavesTest, WhileItsJobIsOut) {
    Peer& only = peer({Does::silent, Does::answers});
    open_with(patient());
    leaver(10ms, 1, 30ms);
    world.run(100ms);
    ASSERT_TRUE(ran(only, 1));
    EXPECT_EQ(only.stops.size(), GetParam().may_cancel ? 1u : 0u);
    only.streams[0]->reset();  // which would send on a job that is still wanted
    world.run(3s);
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
    Peer& only = peer({Does::answers});
    only.reads_from = 500ms;
    world.narrow({"10.0.0.1", 7001}, 2000);
    open_with(one_line());
    Client& first = client(10ms, {{0ms, job_text(1, 1, large)}});
    Client& second = client(30ms, {{0ms, job_text(1, 2, large)}});
    Client& third = client(40ms, {{0ms, job_text(1, 3)}});
    world.at(100ms, [&] {
        if (GetParam().how == Leaves::cancels)
            Peer::put(second.stream, record(2, 1, ""));
        else
            second.stream->close();
    });
    world.run(3s);
    EXPECT_EQ(only.connections, 1);
    EXPECT_EQ(first.answer(1).status(), "200");
    EXPECT_EQ(third.answer(1).status(), "200");
    EXPECT_FALSE(ran(only, 2));
    EXPECT_TRUE(only.stops.empty());  // what never left needs no stop
}

// The same hop, and the list says that its invoker takes no more.
TEST_P(FullSocketTest, OrItsInvokerDrains) {
    Peer& only = peer({Does::answers});
    only.reads_from = 500ms;
    world.narrow({"10.0.0.1", 7001}, 2000);
    Noticeboard board(world, "10.9.0.1");
    open_with(one_line());
    Client& first = client(10ms, {{0ms, job_text(1, 1, large)}});
    client(30ms, {{0ms, job_text(1, 2, large)}});
    world.at(100ms, [&] { board.say(frame(board.last = 2, 2, {{1, "10.0.0.1", 7001, 1}})); });
    world.run(3s);
    EXPECT_EQ(first.answer(1).status(), "200");
    EXPECT_FALSE(ran(only, 2));
}

// More answers pending than 64 KiB, since the client does not read: what it takes back is seen all the same.
TEST_P(ClientLeavesTest, WhileItsAnswersAreNotRead) {
    Peer& only = peer({Does::silent, Does::answers});
    world.narrow({"10.1.0.1", 7001}, 8000);
    only.answer_body = std::string(16'000, 'a');
    open_with(patient());
    std::string text;
    for (int i = 1; i <= 7; ++i) text += job_text(i, static_cast<std::uint64_t>(i));
    Client& one = client(10ms, {{0ms, text}}, false);
    world.run(200ms);
    ASSERT_EQ(only.runs.size(), 7u);
    ASSERT_EQ(host->gateway().status().at("jobs").at("open").to_number<int>(), 1);
    if (GetParam().how == Leaves::cancels)
        Peer::put(one.stream, record(2, 1, ""));
    else
        one.stream->close();
    world.run(300ms);
    EXPECT_EQ(only.stops.size(), GetParam().may_cancel ? 1u : 0u);
    EXPECT_EQ(host->gateway().status().at("jobs").at("open").to_number<int>(), 0);
}

std::vector<Leaving> leavings() {
    return {{Leaves::cancels, true}, {Leaves::closes, true}, {Leaves::cancels, false}, {Leaves::closes, false}};
}
std::string name_of(const testing::TestParamInfo<Leaving>& info) {
    return std::string(info.param.how == Leaves::cancels ? "Cancels" : "Closes") + (info.param.may_cancel ? "" : "AndNothingMayBeStopped");
}
INSTANTIATE_TEST_SUITE_P(All, ClientLeavesTest, testing::ValuesIn(leavings()), name_of);
INSTANTIATE_TEST_SUITE_P(All, FullSocketTest, testing::ValuesIn(leavings()), name_of);

}  // namespace
}  // namespace plumkeel::platform
