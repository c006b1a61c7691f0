/// Gateway with Admission over HTTP: what is rejected, and with which status and reason.
#include "tests/gateway_fixture.hpp"

namespace plumkeel::gateway {
namespace {

struct RejectedRequest {
    std::string text, word;
    int status;
};
void PrintTo(const RejectedRequest& rejected, std::ostream* out) {
    *out << rejected.word;
}
class RejectedRequestTest : public GatewayTest, public testing::WithParamInterface<RejectedRequest> {};
TEST_P(RejectedRequestTest, GetsTheReasonAsStatusAndHeader) {
    config.admission.max_head_bytes = 2048;
    config.admission.max_body_bytes = 100;
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    start_gateway();
    ScriptedClient& client = add_client(10ms, GetParam().text);
    loop.run(30s);
    EXPECT_EQ(client.count("plumkeel-objection: " + GetParam().word), 1) << client.received;
    EXPECT_EQ(client.count("HTTP/1.1 " + std::to_string(GetParam().status)), 1) << client.received;
    EXPECT_EQ(rejection_count(GetParam().word.c_str()), 1);
    EXPECT_EQ(invoker.attempts.size(), 0u);
    EXPECT_EQ(status_count("door", "connections"), 0);
}
/// A request head: the request line, a Host header and further header lines.
std::string request_head(const std::string& header_lines,
                         const std::string& request_line = "POST /v1/jobs/f HTTP/1.1") {
    return request_line + "\r\nHost: x\r\n" + header_lines + "\r\n";
}
const std::string valid_fields = "plumkeel-use-case: p\r\nplumkeel-time-left: 1000\r\n";
INSTANTIATE_TEST_SUITE_P(
    All, RejectedRequestTest,
    testing::Values(
        RejectedRequest{"what is this\r\n\r\n", "malformed", 400},
        RejectedRequest{request_head(valid_fields + "Content-Length: -4\r\n"), "malformed", 400},
        RejectedRequest{request_head(valid_fields + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"), "malformed",
                        400},
        RejectedRequest{request_head(valid_fields + "Transfer-Encoding: chunked\r\n") + "zz\r\n", "malformed", 400},
        RejectedRequest{request_head(valid_fields + "X: " + std::string(4000, 'x') + "\r\n"), "head_too_big", 431},
        RejectedRequest{request_head(valid_fields + "Content-Length: 101\r\n"), "body_too_big", 413},
        RejectedRequest{request_head(valid_fields + "Transfer-Encoding: chunked\r\n") + "200\r\n" +
                            std::string(0x200, 'x') + "\r\n0\r\n\r\n",
                        "body_too_big", 413},
        RejectedRequest{request_head(valid_fields, "GET /v1/jobs/f HTTP/1.1"), "no_such_path", 404},
        RejectedRequest{request_head(valid_fields, "POST /elsewhere HTTP/1.1"), "no_such_path", 404},
        RejectedRequest{request_head("plumkeel-use-case: q\r\nplumkeel-time-left: 1000\r\n"), "no_such_use_case", 400},
        RejectedRequest{request_head("plumkeel-use-case: p\r\n"), "time_left_absent", 400},
        RejectedRequest{request_head("plumkeel-use-case: p\r\nplumkeel-time-left: 0\r\n"), "time_left_absurd", 400},
        RejectedRequest{request_head("plumkeel-use-case: p\r\nplumkeel-time-left: 99999999999999999\r\n"),
                        "time_left_absurd", 400},
        RejectedRequest{request_head("plumkeel-use-case: p\r\nplumkeel-time-left: soon\r\n"), "time_left_absurd", 400},
        RejectedRequest{request_head("plumkeel-use-case: r\r\nplumkeel-time-left: 1000\r\n"), "mark_missing", 400},
        RejectedRequest{request_head(valid_fields + "plumkeel-lanes: many\r\n"), "bad_field", 400},
        RejectedRequest{request_head(valid_fields, "POST /v1/jobs/a%0Ab HTTP/1.1"), "bad_function", 400},
        RejectedRequest{"POST /v1/jobs/f HT", "head_too_slow", 408},
        RejectedRequest{request_head(valid_fields + "Content-Length: 50\r\n") + "some", "body_too_slow", 408}));

class GatewayAdmissionTest : public GatewayTest {};

TEST_F(GatewayAdmissionTest, AChunkedBodyIsReadWhole) {
    ScriptedInvoker& invoker = add_invoker({Behaviour::responds});
    start_gateway();
    ScriptedClient& client =
        add_client(10ms, request_head(valid_fields + "Connection: close\r\nTransfer-Encoding: chunked\r\n") +
                             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    loop.run(3s);
    EXPECT_EQ(client.count("plumkeel-outcome: honoured"), 1) << client.received;
    EXPECT_EQ(invoker.attempts.size(), 1u);
}

TEST_F(GatewayAdmissionTest, LimitsRequestsConnectionsAndMemory) {
    config.admission.max_requests = 2;
    config.admission.max_connections = 3;
    config.admission.max_memory_bytes = 1000;
    add_invoker({Behaviour::hangs});
    start_gateway();
    add_client(10ms, request("s"));
    add_client(10ms, request("s", "", std::string(900, 'b')));
    ScriptedClient& third = add_client(20ms, request("s", "", std::string(300, 'b')));
    ScriptedClient& idle = add_client(1500ms, "");
    ScriptedClient& fifth = add_client(1600ms, request("s"));
    loop.run(2s);
    EXPECT_EQ(third.count("too_many_jobs") + third.count("no_memory"), 1) << third.received;
    EXPECT_EQ(fifth.count("too_many_connections"), 1) << fifth.received;
    EXPECT_EQ(idle.received, "");
    loop.run(20s);
    EXPECT_EQ(status_count("jobs", "open"), 0);
    EXPECT_EQ(status_count("door", "held_bytes"), 0);
}

TEST_F(GatewayAdmissionTest, IncompleteBodiesCountAgainstTheMemoryLimit) {
    config.admission.max_memory_bytes = 1000;
    add_invoker({Behaviour::responds});
    start_gateway();
    const std::string text = request("p", "", std::string(900, 'b'));
    add_client(10ms, text.substr(0, text.size() - 800), 1s);  // sends 100 of the body's 900 bytes
    ScriptedClient& second = add_client(100ms, request("p", "", std::string(300, 'b')));
    std::string chunked =
        request_head(valid_fields + "Transfer-Encoding: chunked\r\n") + "12c\r\n" + std::string(300, 'b');
    ScriptedClient& third = add_client(100ms, chunked);
    ScriptedClient& after = add_client(2s, request("p", "", std::string(900, 'b')), 5s);
    loop.run(10s);
    EXPECT_EQ(second.count("no_memory"), 1) << second.received;
    EXPECT_EQ(third.count("no_memory"), 1) << third.received;
    EXPECT_EQ(after.count("plumkeel-outcome: honoured"), 1) << after.received;
    EXPECT_EQ(status_count("door", "held_bytes"), 0);
}

}  // namespace
}  // namespace plumkeel::gateway
