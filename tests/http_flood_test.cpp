/// HTTP edge on real sockets: clients that send pipelined requests at full speed must not delay timers and others.
#include <gtest/gtest.h>

#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "tests/flood_client.hpp"
#include "web/server.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;
using net::Time;
using platform::FloodClient;

constexpr std::size_t flood_connections = 40;
constexpr Time timer_interval = 20ms, max_timer_delay = 200ms, max_response_time = 500ms;

/// Requests a page once, and stores how long the response took.
net::Task<> request_page(net::EventLoop& loop, net::Address address, Time& response_time) {
    const Time started_at = loop.now();
    const auto connected = co_await loop.connect(address, 1s);
    if (connected.error) co_return;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop, connected.stream);
    write_queue->send("GET /v1/health HTTP/1.1\r\nHost: a\r\n\r\n");
    std::vector<char> buffer(4096);
    const auto result = co_await connected.stream->read(net::asio::buffer(buffer));
    if (!result.error) response_time = loop.now() - started_at;
    connected.stream->close();
}

// Guards against a connection whose whole read buffer of pipelined requests was served in one iteration of the event
// loop.
TEST(HttpFlood, PipelinedRequestsDelayNeitherTimersNorOthers) {
    net::SocketEventLoop loop;
    GatewayConfig config;
    config.listen = "127.0.0.1:0";
    config.log.file = "/dev/null";
    config.capabilities.max_attempts = config.capabilities.controller_count = 1;
    config.capabilities.clock_resolution = 5ms;
    config.request_classes["p"].name = "p";
    config.request_classes["p"].latency_target = 1s;
    Log log(loop, config.log);
    web::Server server(loop, config, log, 1);
    ASSERT_FALSE(server.open());
    std::string block;
    for (int i = 0; i < 2000; ++i) block += "GET /v1/health HTTP/1.1\r\nHost: a\r\n\r\n";
    FloodClient flood("127.0.0.1", server.address().port, flood_connections, [&](std::uint64_t) { return block; });
    Time worst_timer_delay{};
    std::vector<Time> response_times(20, Time::max());
    for (std::size_t i = 0; i < response_times.size(); ++i)
        loop.call_at(500ms + 50ms * static_cast<int>(i),
                     [&, i] { loop.spawn(request_page(loop, server.address(), response_times[i])); });
    for (Time due = 500ms; due < 2s; due += timer_interval)
        loop.call_at(due, [&, due] { worst_timer_delay = std::max(worst_timer_delay, loop.now() - due); });
    loop.call_at(2500ms, [&] { loop.stop(); });
    loop.run();
    flood.stop();
    EXPECT_LE(worst_timer_delay, max_timer_delay);
    for (const Time response_time : response_times) EXPECT_LE(response_time, max_response_time);
    server.gateway().shut_down([] {});
}

}  // namespace
}  // namespace plumkeel
