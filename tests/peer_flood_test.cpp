/// Invokers and a discovery service that send at full speed: what one read of a connection holds bounds the work for it
/// in an iteration of the event loop, so timers and usual requests are not delayed.
#include "net/socket_event_loop.hpp"
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

constexpr Time timer_interval = 20ms, max_timer_delay = 200ms, budget = 1500ms;
constexpr int request_count = 20;

/// Sends the next bytes to each connection without end.
class FloodingServer {
public:
    FloodingServer(net::EventLoop& event_loop, const net::Address& address, std::function<std::string()> next_bytes)
        : loop_(event_loop), next_bytes_(std::move(next_bytes)), listener_(loop_.listen(address).listener) {
        loop_.spawn(accept());
    }

    int connections() const { return connections_; }

private:
    Task<> accept() {
        for (;;) {
            auto accepted = co_await listener_->accept();
            if (accepted.error) co_return;
            ++connections_;
            loop_.spawn(flood(accepted.stream));
        }
    }
    Task<> flood(std::shared_ptr<net::Stream> stream) {
        const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
        while (!write_queue->error()) {
            write_queue->send(next_bytes_());
            co_await write_queue->wait_below(0);
            co_await loop_.yield();
        }
    }

    net::EventLoop& loop_;
    const std::function<std::string()> next_bytes_;
    const std::shared_ptr<net::Listener> listener_;
    int connections_{};
};

TEST(PeerFlood, InvokersAndDiscoveryDelayNeitherTimersNorRequests) {
    const auto host = [](int last_byte) {
        return fmt::format("127.{}.{}.{}", 96 + (::getpid() >> 8) % 16, ::getpid() & 255, last_byte);
    };
    std::string text = default_config;
    for (const auto& [from, to] : std::map<std::string, std::string>{
             {"10.1.0.1", host(1)}, {"10.9.0.1", host(9)}, {"10.0.0.1", host(11)}, {"10.0.0.2", host(12)}})
        text = replaced(text, from, to);
    PlatformConfig config = load_platform_config(write_config(text));
    config.gateway.log.file = "/dev/null";
    net::SocketEventLoop loop;
    Log log(loop, config.gateway.log);
    // Changes of an invoker that stays draining, each with a new number.
    std::uint64_t event_number = 1;
    FloodingServer discovery(loop, {host(9), 2379}, [&] {
        std::string frames;
        for (int i = 0; i < 100; ++i) frames += frame(++event_number, 2, {{3, "10.0.0.3", 7001, 1}});
        return frames;
    });
    FloodingServer flooding_invoker(loop, {host(12), 7001}, [] {
        std::string responses;
        for (int i = 0; i < 300; ++i) responses += "00000000000000ff data - 1\r\nx\r\n";
        return responses;
    });
    ScriptedInvoker invoker(loop, host(11), {InvokerBehaviour::respond});
    auto server = std::make_unique<PlatformServer>(loop, config, log);
    ASSERT_FALSE(server->open());
    Time worst_timer_delay{};
    for (Time due = 500ms; due < 2s; due += timer_interval)
        loop.call_at(due, [&, due] { worst_timer_delay = std::max(worst_timer_delay, loop.now() - due); });
    std::vector<std::unique_ptr<ScriptedClient>> clients;
    for (int i = 0; i < request_count; ++i)
        clients.push_back(std::make_unique<ScriptedClient>(
            loop, 500ms + 50ms * i,
            std::vector<std::pair<Time, std::string>>{
                {0ms, message(1, request_fields(hex16(static_cast<std::uint64_t>(i + 1)),
                                                hex16(static_cast<std::uint64_t>(i + 1)), budget / 1ms))}},
            true, net::Address{host(1), 7001}));
    loop.call_at(3500ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_GT(server->watcher().last_event_number(), 1000u);
    EXPECT_GT(flooding_invoker.connections(), 0);
    EXPECT_LE(worst_timer_delay, max_timer_delay);
    for (const auto& client : clients) {
        EXPECT_EQ(client->response(1).end_records, 1);
        EXPECT_LE(client->last_read_at, client->connected_at + budget);
    }
}

}  // namespace
}  // namespace plumkeel::platform
