/// The limit on input that does no work on a FastCGI connection: what a flooding connection still gets, and that sound
/// clients don't reach it.
#include "fastcgi/glitch_limiter.hpp"
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

constexpr Time bad_client_limit = 3s;  // a bad client has its refusal, error or close after this time
const std::string unknown_record = record(77, 0, "");

std::string repeated(const std::string& text, int count) {
    std::string result;
    for (int i = 0; i < count; ++i) result += text;
    return result;
}

std::size_t count_records(std::string_view received, char type) {
    std::size_t count = 0;
    while (received.size() >= 8) {
        count += received[1] == type;
        const auto byte_at = [&](std::size_t i) {
            return static_cast<std::size_t>(static_cast<unsigned char>(received[i]));
        };
        received.remove_prefix(std::min(received.size(), 8 + (byte_at(4) << 8 | byte_at(5)) + byte_at(6)));
    }
    return count;
}

class GlitchLimit : public PlatformTest {
protected:
    GlitchLimit() {
        add_invoker(), add_invoker();
        open(config_with_invokers(2, "256"));
    }
};

// Guards against replies without end: each record of an unknown type was answered, at full speed.
TEST_F(GlitchLimit, AFloodOfUnknownRecordsIsAnsweredUpToALimitAndEnds) {
    std::vector<std::pair<Time, std::string>> texts;
    for (int i = 0; i < 100; ++i) texts.emplace_back(10ms * i, repeated(unknown_record, 1000));
    ScriptedClient& client = add_client(10ms, texts);
    loop.run(10s);
    EXPECT_GT(count_records(client.received, 11), 500u);
    EXPECT_LE(count_records(client.received, 11), 600u);
    EXPECT_LE(client.ended_at, client.connected_at + bad_client_limit);
}

// What was taken on before the flood is answered, and so is what came with it.
TEST_F(GlitchLimit, RequestsBeforeAndAmidAFloodGetResponses) {
    invokers[0]->service_time = invokers[1]->service_time = 400ms;
    ScriptedClient& client =
        add_client(10ms, {{0ms, request_text(1, 1)},
                          {10ms, repeated(unknown_record, 300) + request_text(2, 2) + repeated(unknown_record, 300) +
                                     request_text(3, 3) + repeated(unknown_record, 100)}});
    loop.run(5s);
    EXPECT_EQ(client.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    EXPECT_EQ(client.response(2).body(), ScriptedInvoker::response_body_for(hex16(2)));
    EXPECT_EQ(client.response(3).status(), "503") << "the limit was exceeded";
    EXPECT_EQ(total_runs(), 2u);
    EXPECT_LE(client.ended_at, client.connected_at + bad_client_limit);
}

// A client that leaves is noticed while the rest of its flood is still read.
TEST_F(GlitchLimit, AnAbortBehindAFloodStopsItsRequest) {
    for (const auto& invoker : invokers) invoker->script = {InvokerBehaviour::never_respond};
    ScriptedClient& client =
        add_client(10ms, {{0ms, request_text(1, 1)}, {10ms, repeated(unknown_record, 2000) + record(2, 1, "")}});
    loop.run(500ms);
    EXPECT_EQ(invokers[0]->stops.size() + invokers[1]->stops.size(), 1u);
    loop.run(5s);
    EXPECT_LE(client.ended_at, client.connected_at + bad_client_limit);
}

// Connections that are held open unread make way for new ones.
TEST_F(GlitchLimit, HeldConnectionsMakeWayForNewOnes) {
    const std::size_t limit = config.gateway.admission.max_connections;
    for (std::size_t i = 0; i < limit; ++i) add_client(100ms, {{0ms, repeated(unknown_record, 1000)}});
    for (std::uint64_t id = 1; id <= 8; ++id) add_long_deadline_request(300ms, id);
    loop.run(400ms);
    EXPECT_EQ(succeeded_requests(), 8u);
    loop.run(5s);
}

// Guards against sound connections that were closed for want of room: clients that connected again at once found their
// last connections still closing, and both together reached the limit on connections.
TEST_F(GlitchLimit, ClientsThatFloodAgainAndAgainLeaveRoomForOthers) {
    const std::size_t limit = config.gateway.admission.max_connections;
    std::vector<ScriptedClient*> usual_clients;
    for (std::uint64_t id = 1; id <= limit / 12; ++id)
        usual_clients.push_back(&add_client(10ms, {{0ms, request_text(1, id)}}));
    const std::function<Task<>()> flood_again_and_again = [&]() -> Task<> {
        const net::Address address{"10.1.0.1", 7001};
        std::vector<char> buffer(4096);
        while (loop.now() < 4s) {
            const auto connected = co_await loop.connect(address, 1s);
            if (connected.error) co_return;
            ScriptedInvoker::write(connected.stream, repeated(unknown_record, 1000));
            while (!(co_await connected.stream->read(net::asio::buffer(buffer))).error) {
            }
            connected.stream->close();
        }
    };
    loop.call_at(500ms, [&] {
        for (std::size_t i = 0; i < limit / 2; ++i) loop.spawn(flood_again_and_again());
    });
    loop.run(4s);
    for (const ScriptedClient* client : usual_clients) EXPECT_EQ(client->ended_at, Time::max());
    loop.run(8s);
}

// A connection that is held open does not delay the end of the process.
TEST_F(GlitchLimit, AHeldConnectionDoesNotDelayTheShutdown) {
    ScriptedClient& client = add_client(100ms, {{0ms, repeated(unknown_record, 1000)}});
    Time stopped_at{};
    loop.call_at(150ms, [&] { server->shut_down([&] { stopped_at = loop.now(); }); });
    loop.run(5s);
    EXPECT_GT(stopped_at, Time{});
    EXPECT_LE(stopped_at, 150ms + 800ms + 400ms);
    EXPECT_LE(client.ended_at, stopped_at);
}

// A sound client sends much: 32 requests at a time without a pause, a query, now and then an abort that crosses its
// response, and it takes one request of eight back.
TEST_F(GlitchLimit, ASoundClientThatSendsMuchIsNotCutOff) {
    constexpr int rounds = 200, requests_per_round = 32;
    std::vector<std::pair<Time, std::string>> texts{{0ms, record(9, 0, params_of({{"FCGI_MPXS_CONNS", ""}}))}};
    std::uint64_t id = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string requests, aborts;
        for (int number = 1; number <= requests_per_round; ++number) {
            ++id;
            requests += message(number, request_fields(hex16(id), hex16(id % 20), 60000));
            if (number % 8 == 0) aborts += record(2, number, "");
        }
        texts.emplace_back(round * 100ms, requests);
        texts.emplace_back(round * 100ms + 5ms, aborts);
        texts.emplace_back(round * 100ms + 95ms, repeated(record(2, 3, ""), 4));
    }
    ScriptedClient& client = add_client(10ms, texts);
    loop.run(rounds * 100ms);
    EXPECT_EQ(client.ended_at, Time::max());
    EXPECT_EQ(count_records(client.received, 3), static_cast<std::size_t>(rounds * requests_per_round));
}

TEST(GlitchLimiter, AllowsABurstAndARate) {
    fastcgi::GlitchLimiter burst, steady, answered;
    for (int i = 0; i < 512; ++i) burst.record(1s);
    EXPECT_FALSE(burst.is_exceeded());
    burst.record(1s);
    EXPECT_TRUE(burst.is_exceeded());
    burst.record(60s);
    EXPECT_TRUE(burst.is_exceeded()) << "it stays exceeded";
    for (int i = 0; i < 10'000; ++i) steady.record(1s + 10ms * i);
    EXPECT_FALSE(steady.is_exceeded());
    for (int i = 0; i < 10'000; ++i) {
        answered.record(1s);
        answered.request_answered();
    }
    EXPECT_FALSE(answered.is_exceeded());
}

}  // namespace
}  // namespace plumkeel::platform
