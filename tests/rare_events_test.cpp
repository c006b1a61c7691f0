// Two or three rare events that meet, in virtual time: each test forces one crossing that the ordinary tests pass by.
// docs/incidents/ and docs/design/031-crossings.md say which rule each one is about.
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

std::string request_text(int number, std::uint64_t id, const std::string& body = "") {
    return message(number, job_fields(hex16(id), hex16(id), 60000), body);
}

// ---------------------------------------------------------------- a client's connection ends early

class ClientConnectionTest : public PlatformTest {};

// A request is open, and then something that is no FastCGI comes on its connection: the request was taken before.
TEST_F(ClientConnectionTest, MalformedBytesCostNoOpenRequestItsAnswer) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 200ms;
    open(patient());
    ScriptedClient& one =
        add_client(10ms, {{0ms, request_text(1, 1, "work")}, {50ms, "\x07 this is not a record at all"}});
    loop.run(5s);
    EXPECT_EQ(one.response(1).times, 1);
    EXPECT_EQ(one.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    EXPECT_LT(one.ended_at, 2s);
}

// Other clients fill the memory for bodies with messages that never come whole. A good one has a request open and sends
// the next in two pieces: the open one gets its answer, the other is refused or answered.
TEST_F(ClientConnectionTest, MemoryTakenByOtherClientsCostsNoOpenRequestItsAnswer) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 600ms;
    open(replaced(patient(), R"("memory_mb":48)", R"("memory_mb":24)"));  // 4 MiB of bodies
    // All of `count` messages but the record that ends each body.
    const auto halves = [](int count, std::size_t body) {
        std::string out;
        for (int number = 1; number <= count; ++number) {
            const std::string whole = request_text(number, static_cast<std::uint64_t>(number), std::string(body, 'h'));
            out += whole.substr(0, whole.size() - 8);
        }
        return out;
    };
    ScriptedClient& good = add_client(10ms, {{0ms, request_text(1, 1001, "work")}});
    for (int i = 0; i < 8; ++i) add_client(20ms, {{0ms, halves(32, 15'000)}});
    for (int i = 0; i < 60; ++i) add_client(100ms, {{0ms, halves(1, 8'000)}});
    const std::string second = request_text(2, 1002, std::string(12'000, 'w'));
    loop.call_at(300ms, [&] { ScriptedInvoker::write(good.stream, second.substr(0, 9'000)); });
    loop.call_at(320ms, [&] { ScriptedInvoker::write(good.stream, second.substr(9'000)); });
    loop.run(5s);
    EXPECT_EQ(good.response(1).times, 1);
    EXPECT_EQ(good.response(1).status(), "200");
    EXPECT_EQ(good.response(2).times, 1);
}

// Over its long life a connection has carried many requests that were turned back before they had come whole. That
// makes its open request none the worse.
TEST_F(ClientConnectionTest, WhatWasTurnedBackEarlierCostsNoOpenRequestItsAnswer) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 2s;
    open(patient());
    std::vector<std::pair<Time, std::string>> texts;
    for (int i = 0; i < 16; ++i)  // bodies over the bound
        texts.emplace_back(100ms * i, message(2, job_fields(hex16(1), hex16(1)), std::string(36'000, 'b'), 8000));
    texts.emplace_back(650ms, request_text(1, 1, "work"));
    ScriptedClient& one = add_client(10ms, texts);
    loop.run(5s);
    EXPECT_EQ(one.response(1).times, 1);
    EXPECT_EQ(one.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
}

// ---------------------------------------------------------------- an attempt that can't leave, or is answered twice

// One connection to one invoker, which reads nothing for a while: a part of an attempt is in its socket when the client
// leaves. The rest does not follow it there over 0.1 s later.
TEST_F(PlatformTest, AnAttemptOfWhichAPartHasLeftDoesNotBeginLongAfterItsClientWent) {
    ScriptedInvoker& only = add_invoker();
    only.starts_reading_at = 500ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open(patient());
    ScriptedClient& gone = add_client(10ms, {{0ms, request_text(1, 1, std::string(16'000, 'x'))}});
    ScriptedClient& stays = add_client(20ms, {{0ms, request_text(1, 2, "work")}});
    loop.call_at(60ms, [&] { gone.stream->close(); });
    loop.run(5s);
    for (const auto& [at, id] : only.runs) EXPECT_NE(id, hex16(1)) << "began at " << at.count() << " us";
    EXPECT_EQ(stays.response(1).status(), "200");
}

// The same where the client stays: what it has left has shrunk meanwhile, and the server is told of no more.
TEST_F(PlatformTest, AnAttemptThatStoodInAFullSocketTellsNoMoreTimeThanItsClientHas) {
    ScriptedInvoker& only = add_invoker();
    only.starts_reading_at = 500ms;
    loop.limit_buffer({"10.0.0.1", 7001}, 2000);
    open(patient());
    add_client(10ms, {{0ms, message(1, job_fields(hex16(1), hex16(1), 3000), std::string(16'000, 'x'))}});
    loop.run(8s);
    ASSERT_EQ(only.runs.size(), only.run_lines.size());
    for (std::size_t i = 0; i < only.runs.size(); ++i) {
        const int patience = std::stoi(only.run_lines[i].substr(only.run_lines[i].find("patience=") + 9));
        EXPECT_LE(patience, (10ms + 3000ms + 150ms - only.runs[i].first) / 1ms) << only.run_lines[i];
    }
}

// An invoker turns a request away and says so twice; between the two answers the request leaves for it again, as the
// list has changed. The second answer is not one to the second attempt, which runs: a third would take effect twice.
TEST_F(PlatformTest, ASecondAnswerIsNotTakenForThatOfTheNextAttempt) {
    ScriptedInvoker& only =
        add_invoker({InvokerBehaviour::respond, InvokerBehaviour::reject_twice, InvokerBehaviour::respond});
    ScriptedDiscovery board(loop, "10.9.0.1");
    open(replaced(patient(), R"("semantics":"retryable")", R"("semantics":"fragile")"));
    const std::string function = hex16(7);
    add_client(10ms, {{0ms, message(1, job_fields(hex16(1), function, 60000))}});
    add_client(100ms, {{0ms, message(1, job_fields(hex16(2), function, 60000))}});
    loop.call_at(122ms, [&] { board.send(frame(board.last_event = 2, 2, {{1, "10.0.0.1"}})); });
    loop.run(5s);
    ASSERT_GE(only.runs.size(), 3u);
    EXPECT_LT(only.runs[2].first, 124ms);  // else the two answers did not come round the second attempt
    EXPECT_EQ(only.runs.size(), 3u);
}

// ---------------------------------------------------------------- the machine's own network fails

// No network can be reached from this machine for a moment: nobody was asked, so no invoker is to blame, and none is
// taken to have started again when it is over.
TEST_F(PlatformTest, ANetworkThatCanNotBeReachedFromHereMakesNoInvokerCold) {
    add_invoker(), add_invoker();
    open(replaced(default_config, R"("cold":1000.0)", R"("cold":16000.0)"));
    const auto fail = [&](net::Error error) {
        for (const char* each : {"10.0.0.1", "10.0.0.2"}) loop.fail_connects({each, 7001}, error);
    };
    fail(net::asio::error::network_unreachable);
    for (std::uint64_t i = 1; i <= 20; ++i) add_request(10ms * static_cast<int>(i), i, hex16(i));
    loop.call_at(400ms, [&] { fail({}); });
    for (std::uint64_t i = 21; i <= 60; ++i) add_request(1s + 50ms * static_cast<int>(i), i, hex16(i));
    loop.run(2s);
    for (const auto& row : server->gateway().estimates()) EXPECT_FALSE(row.as_object().contains("cold"));
    loop.run(10s);
    EXPECT_GE(succeeded_requests(), 40u);
}

// The thread stands still between the decision to send a request and its carrying out: the server is told what is left
// after that.
TEST_F(PlatformTest, APauseBetweenDecidingAndSendingLeavesTheServerNoMoreTime) {
    ScriptedInvoker& only = add_invoker();
    open(patient());
    ScriptedClient& one = add_client(10ms, {{0ms, message(1, job_fields(hex16(1), hex16(1), 3000))}});
    bool paused = false;
    on_record = [&](const trace::Record& record) {
        if (record.request == 0 || std::exchange(paused, true)) return;
        loop.stall(1s);
    };
    loop.run(5s);
    ASSERT_TRUE(paused);
    ASSERT_EQ(only.run_lines.size(), 1u);
    const int patience = std::stoi(only.run_lines[0].substr(only.run_lines[0].find("patience=") + 9));
    EXPECT_LE(patience, 2000 + 150);
    EXPECT_EQ(one.response(1).status(), "200");
}

// ---------------------------------------------------------------- discovery

// Discovery is crowded: it says nothing on a connection for its first 2.5 s. Whoever gives up sooner, and comes again,
// is never told of anything.
TEST_F(PlatformTest, ACrowdedDiscoveryIsHeardInTheEnd) {
    add_invoker(), add_invoker();
    ScriptedDiscovery board(loop, "10.9.0.1");
    board.subscribe_delay = 2500ms;
    open();
    loop.run(12s);
    EXPECT_TRUE(server->watcher().confirmed_at());
    EXPECT_LE(board.subscriptions.size(), 3u);
}

// The address of discovery moves at every instant of losing it, pausing and connecting anew: the new one is asked soon.
TEST_F(PlatformTest, ANewAddressOfDiscoveryIsTakenUpAtEveryInstantOfAReconnect) {
    PlatformConfig told = load_platform_config(write_config(default_config));
    told.gateway.log.file = "/dev/null";
    Log quiet(loop, told.gateway.log);
    auto old = std::make_unique<ScriptedDiscovery>(loop, "10.9.0.1");
    std::vector<std::unique_ptr<discovery::Watcher>> all;
    std::vector<std::optional<Time>> told_after_move(160);
    for (std::uint64_t i = 0; i < told_after_move.size(); ++i) {
        all.push_back(std::make_unique<discovery::Watcher>(
            loop, quiet, told.labels, told.discovery, 1, [](const discovery::WatchEvent&) {}, i + 1));
        all.back()->start();
    }
    ScriptedDiscovery fresh(loop, "10.9.0.2");
    loop.call_at(1s, [&] {
        old->listener->close();
        for (const auto& stream : old->streams) stream->close();
    });
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Time moves = 900ms + 20ms * static_cast<int>(i) + 50us * static_cast<int>(i % 7);
        loop.call_at(moves, [&, i] { all[i]->set_address({"10.9.0.2", 2379}); });
        loop.call_at(moves + 1200ms, [&, i] { told_after_move[i] = all[i]->confirmed_at(); });
    }
    loop.call_at(1ms, [&] { fresh.sends_heartbeats = false; });
    // It says something to each as it comes.
    std::function<void()> greet = [&] {
        for (const auto& stream : fresh.streams) ScriptedInvoker::write(stream, frame(1, 0));
        if (loop.now() < 8s) loop.call_at(loop.now() + 50ms, greet);
    };
    greet();
    loop.run(8s);
    EXPECT_GE(fresh.subscriptions.size(), all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Time moves = 900ms + 20ms * static_cast<int>(i);
        EXPECT_TRUE(told_after_move[i] && *told_after_move[i] > moves) << "moved at " << moves.count();
    }
}

}  // namespace
}  // namespace plumkeel::platform
