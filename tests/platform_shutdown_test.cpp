/// Shutdown of the platform's server: which requests are still served after the shutdown has begun.
#include <arpa/inet.h>
#include <sys/socket.h>

#include "net/socket_event_loop.hpp"
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

class PlatformShutdown : public PlatformTest {};

TEST_F(PlatformShutdown, ServesNewRequestsForAMomentAndAnswersAll) {
    ScriptedInvoker& a = add_invoker();
    ScriptedInvoker& b = add_invoker();
    a.service_time = b.service_time = 100ms;
    open();
    for (std::uint64_t i = 1; i <= 160; ++i) add_request(10ms * static_cast<int>(i), i, hex16(i));
    Time stopped_at{};
    loop.call_at(1s, [&] { server->shut_down([&] { stopped_at = loop.now(); }); });
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 160u);  // the last ones are sent 0.6 s after the shutdown began
    EXPECT_GE(stopped_at, 1800ms);
    EXPECT_LT(stopped_at, 4s);
    ScriptedClient& late = add_client(loop.now() + 10ms, {});
    loop.run(loop.now() + 1s);
    EXPECT_NE(late.ended_at, Time::max());  // the listener is closed
}

// A change of the discovery service's address during the shutdown must neither lose requests nor stop the shutdown.
TEST_F(PlatformShutdown, ReconfigurationDuringShutdownChangesNothing) {
    add_invoker(), add_invoker();
    ScriptedDiscovery old_discovery(loop, "10.9.0.1"), new_discovery(loop, "10.9.0.2");
    open();
    for (std::uint64_t i = 1; i <= 160; ++i) add_request(10ms * static_cast<int>(i), i, hex16(i));
    Time stopped_at{};
    loop.call_at(1s, [&] { server->shut_down([&] { stopped_at = loop.now(); }); });
    loop.call_at(1200ms, [&] {
        server->reconfigure(load_platform_config(write_config(replaced(default_config, "10.9.0.1", "10.9.0.2"))));
    });
    loop.call_at(1300ms, [&] { server->shut_down([] { FAIL() << "ended twice"; }); });
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 160u);
    EXPECT_GE(stopped_at, 1800ms);
    EXPECT_LT(stopped_at, 4s);
    EXPECT_EQ(new_discovery.subscriptions.size(), 1u);
}

// The shutdown is complete only when all connections have closed, since the end of the process would reset open ones
// and clients could lose their responses.
TEST_F(PlatformShutdown, WaitsForClosingConnections) {
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

// Runs on sockets. Just before the server stops listening, the process is stalled. Meanwhile five connections arrive
// with a request each, and an open connection gets a second request. All of these requests must get their responses.
TEST(PlatformShutdownOnSockets, AnswersRequestsInBacklogAndSocketBuffers) {
    const std::string address_prefix = fmt::format("127.{}.{}.", 64 + (::getpid() >> 8) % 64, ::getpid() & 255);
    std::string text = config_with_long_deadlines();
    for (const auto& [from, to] : std::map<std::string, std::string>{{"10.1.0.1", address_prefix + "1"},
                                                                     {"10.9.0.1", address_prefix + "9"},
                                                                     {"10.0.0.1", address_prefix + "11"}})
        text = replaced(text, from, to);
    PlatformConfig config = load_platform_config(write_config(text));
    config.gateway.log.file = "/dev/null";
    net::SocketEventLoop loop;
    Log log(loop, config.gateway.log);
    ScriptedInvoker invoker(loop, address_prefix + "11", {InvokerBehaviour::respond});
    auto server = std::make_unique<PlatformServer>(loop, config, log);
    ASSERT_FALSE(server->open());

    sockaddr_in server_address{};
    server_address.sin_family = AF_INET;
    server_address.sin_port = htons(7001);
    ASSERT_EQ(::inet_pton(AF_INET, (address_prefix + "1").c_str(), &server_address.sin_addr), 1);
    std::vector<int> clients;
    const auto connect = [&] {
        clients.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        const timeval receive_timeout{10, 0};
        ::setsockopt(clients.back(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
        EXPECT_EQ(::connect(clients.back(), reinterpret_cast<const sockaddr*>(&server_address), sizeof server_address),
                  0);
    };
    const auto send_request = [&](std::size_t client, std::uint64_t id) {
        const std::string request = request_text(1, id, "work");
        EXPECT_EQ(::send(clients[client], request.data(), request.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(request.size()));
    };
    connect();
    send_request(0, 1);
    bool stopped = false;
    Time closes_at{};
    loop.call_at(loop.now() + 200ms, [&] {
        closes_at = loop.now() + 800ms;
        server->shut_down([&] {
            stopped = true;
            loop.stop();
        });
        loop.call_at(closes_at - 5ms, [&] {
            for (std::size_t i = 1; i <= 5; ++i) connect(), send_request(i, 10 + i);
            send_request(0, 2);
            while (loop.now() < closes_at + 5ms) {
            }
        });
    });
    loop.call_at(20s, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(stopped);
    for (std::size_t i = 0; i < clients.size(); ++i) {
        std::string received;
        char buffer[4096];
        for (ssize_t size; (size = ::recv(clients[i], buffer, sizeof buffer, 0)) > 0;)
            received.append(buffer, static_cast<std::size_t>(size));
        const auto responses = parse_responses(received);
        ASSERT_TRUE(responses && responses->count(1)) << "client " << i << " got " << received.size() << " bytes";
        EXPECT_EQ(responses->at(1).end_records, i == 0 ? 2 : 1);
        EXPECT_EQ(responses->at(1).body().find("made for "), 0u) << responses->at(1).text;
        ::close(clients[i]);
    }
}

}  // namespace
}  // namespace plumkeel::platform
