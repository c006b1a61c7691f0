/// Shutdown of the platform's server: what clients still get after the signal to stop.
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
    Time ended{};
    loop.call_at(1s, [&] { server->shut_down([&] { ended = loop.now(); }); });
    loop.run(10s);
    EXPECT_EQ(succeeded_requests(), 160u);  // the last ones 0.6 s after the shutdown began
    EXPECT_GE(ended, 1800ms);
    EXPECT_LT(ended, 4s);
    ScriptedClient& late = add_client(loop.now() + 10ms, {});
    loop.run(loop.now() + 1s);
    EXPECT_NE(late.ended_at, Time::max());  // the listener is closed
}

// The address of discovery changes during the shutdown: nothing is lost, and the shutdown goes on.
TEST_F(PlatformShutdown, ReconfigurationDuringShutdownChangesNothing) {
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

// The shutdown is complete only when the last connection has closed: the end of the process resets what its client has
// not read.
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

// On sockets: five connections arrive, each with a complete request, and an open one gets another, all while the
// process is stalled; then it stops listening. None was accepted or read before, and all get their responses.
TEST(PlatformShutdownOnSockets, AnswersRequestsInBacklogAndSocketBuffers) {
    const std::string own = fmt::format("127.{}.{}.", 64 + (::getpid() >> 8) % 64, ::getpid() & 255);
    std::string text = config_with_long_deadlines();
    for (const auto& [from, to] :
         std::map<std::string, std::string>{{"10.1.0.1", own + "1"}, {"10.9.0.1", own + "9"}, {"10.0.0.1", own + "11"}})
        text = replaced(text, from, to);
    PlatformConfig config = load_platform_config(write_config(text));
    config.gateway.log.file = "/dev/null";
    net::SocketEventLoop loop;
    Log log(loop, config.gateway.log);
    ScriptedInvoker invoker(loop, own + "11", {InvokerBehaviour::respond});
    auto server = std::make_unique<PlatformServer>(loop, config, log);
    ASSERT_FALSE(server->open());

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
    const auto send_request = [&](std::size_t client, std::uint64_t id) {
        const std::string request = request_text(1, id, "work");
        EXPECT_EQ(::send(clients[client], request.data(), request.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(request.size()));
    };
    connect();
    send_request(0, 1);
    bool ended = false;
    Time closes{};
    loop.call_at(loop.now() + 200ms, [&] {
        closes = loop.now() + 800ms;
        server->shut_down([&] {
            ended = true;
            loop.stop();
        });
        loop.call_at(closes - 5ms, [&] {
            for (std::size_t i = 1; i <= 5; ++i) connect(), send_request(i, 10 + i);
            send_request(0, 2);
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
