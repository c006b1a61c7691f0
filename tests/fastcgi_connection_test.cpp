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
        text += message(i, request_fields(hex16(static_cast<std::uint64_t>(i)), hex16(0xf)), "work", 3);
    ScriptedClient& client = add_client(10ms, {{0ms, text + message(40, {{"SCRIPT_NAME", "/_health"}})}});
    loop.run(5s);
    for (int i = 1; i <= 32; ++i)
        EXPECT_EQ(client.response(i).body(), ScriptedInvoker::response_body_for(hex16(static_cast<std::uint64_t>(i))));
    EXPECT_EQ(client.response(40).status(), "200");
    EXPECT_EQ(total_runs(), 32u);
    EXPECT_LE(invokers[0]->connections + invokers[1]->connections, 16);
}

struct MalformedInput {
    const char* name;
    std::string text;
};

void PrintTo(const MalformedInput& input, std::ostream* out) {
    *out << input.name;
}

std::vector<MalformedInput> malformed_inputs() {
    auto with_value = [](const std::string& field, const std::string& value) {
        Fields fields = request_fields(hex16(7), hex16(0xe));
        for (auto& [name, old_value] : fields)
            if (name == field) old_value = value;
        return message(1, fields, "work");
    };
    const std::string begin = record(1, 1, std::string_view("\0\1\1\0\0\0\0\0", 8));
    const std::string valid_params = record(4, 1, params_of(request_fields(hex16(7), hex16(0xe)))) + record(4, 1, "");
    Fields duplicate_id_fields = request_fields(hex16(7), hex16(0xe)), wrong_length_fields = duplicate_id_fields;
    duplicate_id_fields.emplace_back("HTTP_REQUEST_ID", hex16(8));
    wrong_length_fields.emplace_back("CONTENT_LENGTH", "-4");
    return {
        {"repeated byte 0xee", std::string(3000, '\xee')},
        {"HTTP request", "GET / HTTP/1.1\r\n\r\n"},
        {"no bytes", ""},
        {"incomplete record header", begin.substr(0, 5)},
        {"body without end", begin + valid_params + record(5, 1, "half")},
        {"incomplete record content", begin + std::string("\1\4\0\1\xff\xff\0\0only this", 17)},
        {"parameters over the limit", begin + record(4, 1, std::string(60'000, 'p'))},
        {"body over the limit", begin + valid_params + record(5, 1, std::string(40'000, 'b')) + record(5, 1, "")},
        {"name longer than its record",
         begin + record(4, 1, std::string("\x7f\1ab", 4)) + record(4, 1, "") + record(5, 1, "")},
        {"name length of four bytes, longer than its record",
         begin + record(4, 1, std::string("\xff\xff\xff\xff\1ab", 7)) + record(4, 1, "") + record(5, 1, "")},
        {"body before parameters", begin + record(5, 1, "work")},
        {"unknown request class", with_value("SCRIPT_NAME", "/invoke/none")},
        {"unknown path", with_value("SCRIPT_NAME", "/else")},
        {"unknown tenant", with_value("HTTP_ACCOUNT", "nobody")},
        {"id with a line end", with_value("HTTP_REQUEST_ID", "00000000\r\nSTOP 7")},
        {"id with a comma", with_value("HTTP_REQUEST_ID", "0000000000,00007")},
        {"id too short", with_value("HTTP_REQUEST_ID", "7")},
        {"empty id", with_value("HTTP_REQUEST_ID", "")},
        {"function key with a space", with_value("HTTP_RESOURCE_KEY", "0000000000 0000f")},
        {"negative remaining time", with_value("HTTP_BUDGET_MS", "-5")},
        {"remaining time over the limit", with_value("HTTP_BUDGET_MS", "99999999999999999999999")},
        {"remaining time not a number", with_value("HTTP_BUDGET_MS", "soon")},
        {"remaining time nan", with_value("HTTP_BUDGET_MS", "nan")},
        {"negative concurrency", with_value("HTTP_X_TAGS", "lanes:-3")},
        {"malformed tag", with_value("HTTP_X_TAGS", "memory_mb=5")},
        {"duplicate id parameter", message(1, duplicate_id_fields, "work")},
        {"negative content length", message(1, wrong_length_fields, "work")},
    };
}

class MalformedRequest : public PlatformTest, public testing::WithParamInterface<MalformedInput> {};

TEST_P(MalformedRequest, IsRejectedOrClosedSoonAndReachesNoInvoker) {
    add_invoker(), add_invoker();
    open();
    std::vector<ScriptedClient*> malformed_clients;
    for (int i = 0; i < 20; ++i) malformed_clients.push_back(&add_client(10ms * i, {{0ms, GetParam().text}}));
    for (std::uint64_t i = 100; i < 120; ++i) add_request(10ms * static_cast<int>(i - 99), i);
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 20u);
    EXPECT_EQ(total_runs(), 20u);
    for (const ScriptedClient* each : malformed_clients) {
        const bool is_rejected = each->response(1).end_records > 0 && each->response(1).status() != "200";
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
    ScriptedClient& other = add_client(15ms, {{0ms, message(1, request_fields(hex16(5), hex16(0xf)), "other")}});
    loop.run(5s);
    EXPECT_EQ(succeeded_requests(), 1u);
    EXPECT_EQ(total_runs(), 1u);
    EXPECT_EQ(other.response(1).status(), "400");
}

// Invokers deduplicate requests of the class by the idempotency key, so each attempt must carry the client's key
// unchanged, and requests without a valid key are rejected.
TEST_F(FastCgiConnection, ForwardsTheIdempotencyKeyWithEachAttempt) {
    add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond}),
        add_invoker({InvokerBehaviour::reset, InvokerBehaviour::respond});
    open(replaced(default_config, R"("semantics":"retryable")", R"("semantics":"dedup")"));
    const auto request_with_key = [](std::uint64_t id, const std::string& key) {
        auto fields = request_fields(hex16(id), hex16(0xf));
        if (!key.empty()) fields.emplace_back("HTTP_ONCE_KEY", key);
        return message(1, fields, "work");
    };
    ScriptedClient& good_client = add_client(10ms, {{0ms, request_with_key(1, "5c242d41-3cff")}});
    const std::vector<std::string> malformed_keys{"", "a,b", "a=b", "a b", "a\r\nSTOP 1", std::string(300, 'k')};
    std::vector<ScriptedClient*> rejected;
    for (std::size_t i = 0; i < malformed_keys.size(); ++i)
        rejected.push_back(&add_client(20ms, {{0ms, request_with_key(10 + i, malformed_keys[i])}}));
    loop.run(5s);
    EXPECT_EQ(good_client.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    std::size_t attempts = 0;
    for (const auto& each : invokers)
        for (const std::string& line : each->run_lines) {
            ++attempts;
            EXPECT_NE(line.find(",op=5c242d41-3cff,"), std::string::npos) << line;
        }
    EXPECT_EQ(attempts, 2u);
    for (ScriptedClient* each : rejected) EXPECT_EQ(each->response(1).status(), "400");
}

// A request with less than 1 ms of remaining time is not sent to an invoker; it is rejected, so a retry is safe.
TEST_F(FastCgiConnection, RejectsRequestsWithoutRemainingTime) {
    add_invoker(), add_invoker();
    open();
    std::vector<ScriptedClient*> clients_without_time;
    for (const char* remaining_ms : {"0", "0.4", "0.999"}) {
        auto fields = request_fields(hex16(clients_without_time.size() + 1), hex16(0xf));
        fields[2].second = remaining_ms;
        clients_without_time.push_back(&add_client(10ms, {{0ms, message(1, fields, "work")}}));
    }
    loop.run(2s);
    for (ScriptedClient* each : clients_without_time) EXPECT_EQ(each->response(1).status(), "503");
    EXPECT_EQ(total_runs(), 0u);
}

TEST_F(FastCgiConnection, AbortStopsTheAttemptAndFreesTheId) {
    ScriptedInvoker& first_invoker = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    ScriptedInvoker& second_invoker = add_invoker({InvokerBehaviour::never_respond, InvokerBehaviour::respond});
    open();
    const std::string second = message(1, request_fields(hex16(2), hex16(0xf)));
    ScriptedClient& client = add_client(
        10ms, {{0ms, message(1, request_fields(hex16(1), hex16(0xf)))}, {100ms, record(2, 1, "")}, {200ms, second}});
    loop.run(5s);
    EXPECT_EQ(first_invoker.stops.size() + second_invoker.stops.size(), 1u);
    EXPECT_EQ(client.response(1).end_records, 2);  // one response to each of the two requests
    EXPECT_EQ(client.response(1).body(), ScriptedInvoker::response_body_for(hex16(2)));
}

TEST_F(FastCgiConnection, ManyAbortsReleaseAllResources) {
    add_invoker({InvokerBehaviour::never_respond}), add_invoker({InvokerBehaviour::never_respond});
    open();
    for (int c = 0; c < 30; ++c) {
        std::string text, aborts;
        for (int i = 1; i <= 32; ++i) {
            text += message(i, request_fields(hex16(static_cast<std::uint64_t>(c * 100 + i)),
                                              hex16(static_cast<std::uint64_t>(i))));
            aborts += record(2, i, "");
        }
        add_client(10ms, {{0ms, text + aborts}});
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

// Rejections to a client that does not read must not be buffered without limit: the connection is reset before the
// timeout for unread responses.
TEST_F(FastCgiConnection, ResetsAClientThatReadsNoRejections) {
    add_invoker();
    loop.limit_buffer({"10.1.0.1", 7001}, 64 * 1024);
    open(config_with_long_deadlines());
    std::string text;
    for (int i = 0; i < 200; ++i) text += message(1, {{"SCRIPT_NAME", "/invoke/nothing"}});
    ScriptedClient& flooding_client = add_client(10ms, {}, false);
    std::size_t saw_rejections = 0;
    Time closed_at = Time::max();
    for (int i = 0; i < 100; ++i)
        loop.call_at(20ms + 5ms * i, [&] {
            ScriptedInvoker::write(flooding_client.stream, text);
            const auto status = server->gateway().status();
            if (status.at("door").at("connections").to_number<int>() == 0) closed_at = std::min(closed_at, loop.now());
            saw_rejections =
                std::max(saw_rejections, status.at("door").at("turned_back").as_object().empty() ? 0 : 1ul);
        });
    loop.run(2s);
    EXPECT_EQ(saw_rejections, 1u);
    EXPECT_LT(closed_at, 500ms);
}

// When more connections than allowed are open, silent ones are closed and requests on others succeed.
TEST_F(FastCgiConnection, SilentConnectionsMakeRoomForRequests) {
    add_invoker(), add_invoker();
    open();
    for (int i = 0; i < 400; ++i) add_client(10ms, {});
    for (std::uint64_t i = 1; i <= 20; ++i) add_request(100ms + 10ms * static_cast<int>(i), i);
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 20u);
}

// A record stays incomplete while another request is open on the connection: the open request gets its response, then
// the connection closes.
TEST_F(FastCgiConnection, IncompleteRecordDoesNotDropPendingResponses) {
    ScriptedInvoker& invoker = add_invoker();
    invoker.service_time = 3s;
    open(config_with_long_deadlines());
    ScriptedClient& client =
        add_client(10ms, {{0ms, request_text(1, 1, "work") + request_text(2, 2, "work").substr(0, 60)}});
    loop.run(10s);
    EXPECT_EQ(client.response(1).end_records, 1);
    EXPECT_EQ(client.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    EXPECT_LT(client.ended_at, 5s);
}

// A request that was accepted before malformed bytes arrive on its connection still gets its response.
TEST_F(FastCgiConnection, MalformedInputDoesNotDropPendingResponses) {
    ScriptedInvoker& invoker = add_invoker();
    invoker.service_time = 200ms;
    open(config_with_long_deadlines());
    ScriptedClient& client =
        add_client(10ms, {{0ms, request_text(1, 1, "work")}, {50ms, "\x07 this is not a record at all"}});
    loop.run(5s);
    EXPECT_EQ(client.response(1).end_records, 1);
    EXPECT_EQ(client.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
    EXPECT_LT(client.ended_at, 2s);
}

// Other clients fill the memory for bodies with incomplete requests. A client with an open request, which sends another
// one in two parts, still gets the response to the first and some response to the second.
TEST_F(FastCgiConnection, MemoryPressureDoesNotDropPendingResponses) {
    ScriptedInvoker& invoker = add_invoker();
    invoker.service_time = 600ms;
    open(replaced(config_with_long_deadlines(), R"("memory_mb":48)",
                  R"("memory_mb":24)"));  // allows 4 MiB of request bodies
    // Returns `count` requests that lack the record that ends the body.
    const auto incomplete_requests_text = [](int count, std::size_t body) {
        std::string out;
        for (int number = 1; number <= count; ++number) {
            const std::string whole = request_text(number, static_cast<std::uint64_t>(number), std::string(body, 'h'));
            out += whole.substr(0, whole.size() - 8);
        }
        return out;
    };
    ScriptedClient& good_client = add_client(10ms, {{0ms, request_text(1, 1001, "work")}});
    for (int i = 0; i < 8; ++i) add_client(20ms, {{0ms, incomplete_requests_text(32, 15'000)}});
    for (int i = 0; i < 60; ++i) add_client(100ms, {{0ms, incomplete_requests_text(1, 8'000)}});
    const std::string second = request_text(2, 1002, std::string(12'000, 'w'));
    loop.call_at(300ms, [&] { ScriptedInvoker::write(good_client.stream, second.substr(0, 9'000)); });
    loop.call_at(320ms, [&] { ScriptedInvoker::write(good_client.stream, second.substr(9'000)); });
    loop.run(5s);
    EXPECT_EQ(good_client.response(1).end_records, 1);
    EXPECT_EQ(good_client.response(1).status(), "200");
    EXPECT_EQ(good_client.response(2).end_records, 1);
}

// An open request gets its response although many requests on its connection were rejected while incomplete.
TEST_F(FastCgiConnection, RejectedRequestsDoNotDropPendingResponses) {
    ScriptedInvoker& invoker = add_invoker();
    invoker.service_time = 2s;
    open(config_with_long_deadlines());
    std::vector<std::pair<Time, std::string>> texts;
    for (int i = 0; i < 16; ++i)  // requests with bodies over the limit
        texts.emplace_back(100ms * i, message(2, request_fields(hex16(1), hex16(1)), std::string(36'000, 'b'), 8000));
    texts.emplace_back(650ms, request_text(1, 1, "work"));
    ScriptedClient& client = add_client(10ms, texts);
    loop.run(5s);
    EXPECT_EQ(client.response(1).end_records, 1);
    EXPECT_EQ(client.response(1).body(), ScriptedInvoker::response_body_for(hex16(1)));
}

}  // namespace
}  // namespace plumkeel::platform
