/// Connections of web servers over FastCGI: multiplexing, rejections, malformed input and clients that do not read.
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

class FastCgiConnection : public PlatformTest {};

TEST_F(FastCgiConnection, MultiplexedRequestsGetTheirOwnResponses) {
    add_invoker(), add_invoker();
    open();
    std::string text;
    for (int i = 1; i <= 32; ++i)
        text += message(i, job_fields(hex16(static_cast<std::uint64_t>(i)), hex16(0xf)), "work", 3);
    ScriptedClient& one = add_client(10ms, {{0ms, text + message(40, {{"SCRIPT_NAME", "/_health"}})}});
    loop.run(5s);
    for (int i = 1; i <= 32; ++i)
        EXPECT_EQ(one.response(i).body(), ScriptedInvoker::response_body_for(hex16(static_cast<std::uint64_t>(i))));
    EXPECT_EQ(one.response(40).status(), "200");
    EXPECT_EQ(total_runs(), 32u);
    EXPECT_LE(invokers[0]->connections + invokers[1]->connections, 16);
}

struct MalformedInput {
    const char* name;
    std::string text;
};

void PrintTo(const MalformedInput& bad, std::ostream* out) {
    *out << bad.name;
}

std::vector<MalformedInput> malformed_inputs() {
    auto with = [](const std::string& field, const std::string& value) {
        Fields fields = job_fields(hex16(7), hex16(0xe));
        for (auto& [name, old] : fields)
            if (name == field) old = value;
        return message(1, fields, "work");
    };
    const std::string begin = record(1, 1, std::string_view("\0\1\1\0\0\0\0\0", 8));
    const std::string good_params = record(4, 1, params_of(job_fields(hex16(7), hex16(0xe)))) + record(4, 1, "");
    Fields twice = job_fields(hex16(7), hex16(0xe)), wrong_length = twice;
    twice.emplace_back("HTTP_REQUEST_ID", hex16(8));
    wrong_length.emplace_back("CONTENT_LENGTH", "-4");
    return {
        {"noise", std::string(3000, '\xee')},
        {"http", "GET / HTTP/1.1\r\n\r\n"},
        {"silence", ""},
        {"half a head", begin.substr(0, 5)},
        {"no end", begin + good_params + record(5, 1, "half")},
        {"a record that stops short", begin + std::string("\1\4\0\1\xff\xff\0\0only this", 17)},
        {"endless parameters", begin + record(4, 1, std::string(60'000, 'p'))},
        {"a large body", begin + good_params + record(5, 1, std::string(40'000, 'b')) + record(5, 1, "")},
        {"a name longer than its record",
         begin + record(4, 1, std::string("\x7f\1ab", 4)) + record(4, 1, "") + record(5, 1, "")},
        {"a huge name",
         begin + record(4, 1, std::string("\xff\xff\xff\xff\1ab", 7)) + record(4, 1, "") + record(5, 1, "")},
        {"body before parameters", begin + record(5, 1, "work")},
        {"no use case", with("SCRIPT_NAME", "/invoke/none")},
        {"no path", with("SCRIPT_NAME", "/else")},
        {"no tenant", with("HTTP_ACCOUNT", "nobody")},
        {"id with a line end", with("HTTP_REQUEST_ID", "00000000\r\nSTOP 7")},
        {"id with a comma", with("HTTP_REQUEST_ID", "0000000000,00007")},
        {"short id", with("HTTP_REQUEST_ID", "7")},
        {"no id", with("HTTP_REQUEST_ID", "")},
        {"odd key", with("HTTP_RESOURCE_KEY", "0000000000 0000f")},
        {"negative time", with("HTTP_BUDGET_MS", "-5")},
        {"huge time", with("HTTP_BUDGET_MS", "99999999999999999999999")},
        {"no time", with("HTTP_BUDGET_MS", "soon")},
        {"time that is none", with("HTTP_BUDGET_MS", "nan")},
        {"lanes", with("HTTP_X_TAGS", "lanes:-3")},
        {"tags", with("HTTP_X_TAGS", "memory_mb=5")},
        {"two ids", message(1, twice, "work")},
        {"wrong length", message(1, wrong_length, "work")},
    };
}

class MalformedRequest : public PlatformTest, public testing::WithParamInterface<MalformedInput> {};

TEST_P(MalformedRequest, IsRejectedOrClosedSoonAndReachesNoInvoker) {
    add_invoker(), add_invoker();
    open();
    std::vector<ScriptedClient*> bad;
    for (int i = 0; i < 20; ++i) bad.push_back(&add_client(10ms * i, {{0ms, GetParam().text}}));
    for (std::uint64_t i = 100; i < 120; ++i) add_request(10ms * static_cast<int>(i - 99), i);
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 20u);
    EXPECT_EQ(total_runs(), 20u);
    for (const ScriptedClient* each : bad) {
        const bool is_rejected = each->response(1).times > 0 && each->response(1).status() != "200";
        EXPECT_LE(std::min(is_rejected ? each->last_read_at : each->ended_at, each->ended_at) - each->connected_at,
                  2500ms);
    }
    EXPECT_EQ(server->gateway().status().at("door").at("held_bytes").to_number<int>(), 0);
}

INSTANTIATE_TEST_SUITE_P(All, MalformedRequest, testing::ValuesIn(malformed_inputs()));

TEST_F(FastCgiConnection, RejectsARequestUnderAnOpenId) {
    add_invoker(), add_invoker();
    open();
    add_request(10ms, 5);
    ScriptedClient& other = add_client(15ms, {{0ms, message(1, job_fields(hex16(5), hex16(0xf)), "other")}});
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 1u);
    EXPECT_EQ(total_runs(), 1u);
    EXPECT_EQ(other.response(1).status(), "400");
}

// Invokers deduplicate requests of this class by a key: each attempt carries its client's, unchanged, and none is sent
// without.
TEST_F(FastCgiConnection, ForwardsTheIdempotencyKeyWithEachAttempt) {
    add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond}),
        add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    open(replaced(default_config, R"("semantics":"retryable")", R"("semantics":"dedup")"));
    const auto with = [](std::uint64_t id, const std::string& key) {
        auto fields = job_fields(hex16(id), hex16(0xf));
        if (!key.empty()) fields.emplace_back("HTTP_ONCE_KEY", key);
        return message(1, fields, "work");
    };
    ScriptedClient& good = add_client(10ms, {{0ms, with(1, "5c242d41-3cff")}});
    const std::vector<std::string> bad{"", "a,b", "a=b", "a b", "a\r\nSTOP 1", std::string(300, 'k')};
    std::vector<ScriptedClient*> rejected;
    for (std::size_t i = 0; i < bad.size(); ++i) rejected.push_back(&add_client(20ms, {{0ms, with(10 + i, bad[i])}}));
    loop.run(5s);
    EXPECT_EQ(good.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    std::size_t attempts = 0;
    for (const auto& each : invokers)
        for (const std::string& line : each->run_lines) {
            ++attempts;
            EXPECT_NE(line.find(",op=5c242d41-3cff,"), std::string::npos) << line;
        }
    EXPECT_EQ(attempts, 2u);
    for (ScriptedClient* each : rejected) EXPECT_EQ(each->response(1).status(), "400");
}

// A request with next to no remaining time never runs: it is rejected, which is safe to retry, and not failed.
TEST_F(FastCgiConnection, RejectsRequestsWithoutRemainingTime) {
    add_invoker(), add_invoker();
    open();
    std::vector<ScriptedClient*> all;
    for (const char* left : {"0", "0.4", "0.999"}) {
        auto fields = job_fields(hex16(all.size() + 1), hex16(0xf));
        fields[2].second = left;
        all.push_back(&add_client(10ms, {{0ms, message(1, fields, "work")}}));
    }
    loop.run(2s);
    for (ScriptedClient* each : all) EXPECT_EQ(each->response(1).status(), "503");
    EXPECT_EQ(total_runs(), 0u);
}

TEST_F(FastCgiConnection, AbortStopsTheAttemptAndFreesTheId) {
    ScriptedInvoker& a = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    ScriptedInvoker& b = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    open();
    const std::string second = message(1, job_fields(hex16(2), hex16(0xf)));
    ScriptedClient& one = add_client(
        10ms, {{0ms, message(1, job_fields(hex16(1), hex16(0xf)))}, {100ms, record(2, 1, "")}, {200ms, second}});
    loop.run(5s);
    EXPECT_EQ(a.stops.size() + b.stops.size(), 1u);
    EXPECT_EQ(one.response(1).times, 2);  // one for each request
    EXPECT_EQ(one.response(1).body(), ScriptedInvoker::response_body_for(hex16(2)));
}

TEST_F(FastCgiConnection, ManyAbortsReleaseAllResources) {
    add_invoker({InvokerBehaviour::never_respond}), add_invoker({InvokerBehaviour::never_respond});
    open();
    for (int c = 0; c < 30; ++c) {
        std::string text, back;
        for (int i = 1; i <= 32; ++i) {
            text += message(
                i, job_fields(hex16(static_cast<std::uint64_t>(c * 100 + i)), hex16(static_cast<std::uint64_t>(i))));
            back += record(2, i, "");
        }
        add_client(10ms, {{0ms, text + back}});
    }
    loop.run(10s);
    const auto status = server->gateway().status();
    EXPECT_EQ(status.at("jobs").at("open").to_number<int>(), 0);
    EXPECT_EQ(status.at("door").at("held_bytes").to_number<int>(), 0);
}

TEST_F(FastCgiConnection, DisconnectsAClientThatReadsNothing) {
    add_invoker(), add_invoker();
    open();
    std::string text;
    for (int i = 1; i <= 4000; ++i) text += record(9, 0, params_of({{"FCGI_MAX_CONNS", ""}, {"FCGI_MAX_REQS", ""}}));
    add_client(10ms, {{0ms, text}}, false);
    for (std::uint64_t i = 1; i <= 20; ++i) add_request(50ms * static_cast<int>(i), i);
    loop.run(15s);
    EXPECT_EQ(succeeded_requests(), 20u);
    EXPECT_EQ(server->gateway().status().at("door").at("connections").to_number<int>(), 0);
}

// Rejections to a client that reads none are not buffered without limit: the connection is reset long before the
// timeout for unread responses.
TEST_F(FastCgiConnection, ResetsAClientThatReadsNoRejections) {
    add_invoker();
    loop.limit_buffer({"10.1.0.1", 7001}, 64 * 1024);
    open(config_with_long_deadlines());
    std::string text;
    for (int i = 0; i < 200; ++i) text += message(1, {{"SCRIPT_NAME", "/invoke/nothing"}});
    ScriptedClient& flood = add_client(10ms, {}, false);
    std::size_t most = 0;
    Time closed_at = Time::max();
    for (int i = 0; i < 100; ++i)
        loop.call_at(20ms + 5ms * i, [&] {
            ScriptedInvoker::write(flood.stream, text);
            const auto status = server->gateway().status();
            if (status.at("door").at("connections").to_number<int>() == 0) closed_at = std::min(closed_at, loop.now());
            most = std::max(most, status.at("door").at("turned_back").as_object().empty() ? 0 : 1ul);
        });
    loop.run(2s);
    EXPECT_EQ(most, 1u);
    EXPECT_LT(closed_at, 500ms);
}

// More connections than the limit: silent ones are closed, and requests on others succeed.
TEST_F(FastCgiConnection, SilentConnectionsMakeRoomForRequests) {
    add_invoker(), add_invoker();
    open();
    for (int i = 0; i < 400; ++i) add_client(10ms, {});
    for (std::uint64_t i = 1; i <= 20; ++i) add_request(100ms + 10ms * static_cast<int>(i), i);
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 20u);
}

// A record stays incomplete while another request of its connection is open: that one gets its response, then the
// connection closes.
TEST_F(FastCgiConnection, IncompleteRecordDoesNotDropPendingResponses) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 3s;
    open(config_with_long_deadlines());
    ScriptedClient& one =
        add_client(10ms, {{0ms, request_text(1, 1, "work") + request_text(2, 2, "work").substr(0, 60)}});
    loop.run(10s);
    EXPECT_EQ(one.response(1).times, 1);
    EXPECT_EQ(one.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    EXPECT_LT(one.ended_at, 5s);
}

// A request is open, and then malformed bytes arrive on its connection: the request was accepted before.
TEST_F(FastCgiConnection, MalformedInputDoesNotDropPendingResponses) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 200ms;
    open(config_with_long_deadlines());
    ScriptedClient& one =
        add_client(10ms, {{0ms, request_text(1, 1, "work")}, {50ms, "\x07 this is not a record at all"}});
    loop.run(5s);
    EXPECT_EQ(one.response(1).times, 1);
    EXPECT_EQ(one.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    EXPECT_LT(one.ended_at, 2s);
}

// Other clients fill the memory for bodies with requests that never become complete. A good one has a request open and
// sends the next in two pieces: the open one gets its response, the other is rejected or gets one too.
TEST_F(FastCgiConnection, MemoryPressureDoesNotDropPendingResponses) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 600ms;
    open(replaced(config_with_long_deadlines(), R"("memory_mb":48)", R"("memory_mb":24)"));  // 4 MiB of bodies
    // `count` requests without the record that ends each body.
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

// A connection has carried many requests that were rejected before they were complete. Its open request still gets its
// response.
TEST_F(FastCgiConnection, RejectedRequestsDoNotDropPendingResponses) {
    ScriptedInvoker& only = add_invoker();
    only.service_time = 2s;
    open(config_with_long_deadlines());
    std::vector<std::pair<Time, std::string>> texts;
    for (int i = 0; i < 16; ++i)  // bodies over the limit
        texts.emplace_back(100ms * i, message(2, job_fields(hex16(1), hex16(1)), std::string(36'000, 'b'), 8000));
    texts.emplace_back(650ms, request_text(1, 1, "work"));
    ScriptedClient& one = add_client(10ms, texts);
    loop.run(5s);
    EXPECT_EQ(one.response(1).times, 1);
    EXPECT_EQ(one.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
}

}  // namespace
}  // namespace plumkeel::platform
