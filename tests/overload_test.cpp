/// Overload: a platform server whose thread is busy most of the time.
#include "net/socket_event_loop.hpp"
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

// The event loop lags most of the time and has overdue timers in every turn. Attempts that are held back while it lags
// must still be sent.
TEST(Overload, AttemptsAreSentWhileThreadLags) {
    const auto host = [](int last_byte) {
        return fmt::format("127.{}.{}.{}", 32 + (::getpid() >> 8) % 32, ::getpid() & 255, last_byte);
    };
    std::string text = default_config;
    for (const auto& [from, to] : std::map<std::string, std::string>{
             {"10.1.0.1", host(1)}, {"10.9.0.1", host(9)}, {"10.0.0.1", host(11)}, {"10.0.0.2", host(12)}})
        text = replaced(text, from, to);
    PlatformConfig config = load_platform_config(write_config(text));
    config.gateway.log.file = "/dev/null";
    net::SocketEventLoop loop;
    Log log(loop, config.gateway.log);
    ScriptedInvoker a(loop, host(11), {InvokerBehaviour::respond}), b(loop, host(12), {InvokerBehaviour::respond});
    auto server = std::make_unique<PlatformServer>(loop, config, log);
    ASSERT_FALSE(server->open());
    const auto keep_busy = [&](Time duration) {
        const Time until = loop.now() + duration;
        while (loop.now() < until) {
        }
    };
    for (int i = 0; i < 90; ++i) {
        loop.call_at(400ms + 50ms * i, [&] { keep_busy(42ms); });
        for (int k = 1; k < 40; ++k) loop.call_at(400ms + 50ms * i + 1ms * k, [&] { keep_busy(100us); });
    }
    std::vector<std::unique_ptr<ScriptedClient>> clients;
    for (std::uint64_t i = 1; i <= 10; ++i)
        clients.push_back(std::make_unique<ScriptedClient>(
            loop, 1s + 10ms * static_cast<int>(i),
            std::vector<std::pair<Time, std::string>>{{0ms, message(1, request_fields(hex16(i), hex16(i), 2900))}},
            true, net::Address{host(1), 7001}));
    loop.call_at(5s, [&] { loop.stop(); });
    loop.run();
    std::size_t responses = 0;
    for (const auto& each : clients) responses += each->response(1).end_records == 1;
    EXPECT_EQ(responses, 10u);
    EXPECT_GE(a.runs.size() + b.runs.size(), 10u);
    EXPECT_TRUE(server->gateway().status().at("invariants_broken").as_object().empty());
}

}  // namespace
}  // namespace plumkeel::platform
