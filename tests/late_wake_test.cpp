/// A pause of the process that ends just before deadlines: the timers that come late then must not begin work that the
/// same moment ends.
#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

constexpr Time budget = 2s, pause_start = 1s, pause_end = 2s;
constexpr std::uint64_t requests = 40;

class LateWake : public PlatformTest {};

// Guards against a crash: a retry began an attempt whose timer was due at once, and the gateway cancelled the attempt
// before it had sent it. The deadlines are up to 4 ms after the end of the pause.
TEST_F(LateWake, ARetryWithoutTimeLeftIsNotSent) {
    add_invoker({InvokerBehaviour::never_respond}), add_invoker({InvokerBehaviour::never_respond});
    open();
    for (std::uint64_t id = 1; id <= requests; ++id) {
        const std::string text = message(1, request_fields(hex16(id), hex16(0xf), budget / 1ms));
        add_client(100us * static_cast<int>(id), {{0ms, text}});
    }
    loop.call_at(pause_start, [this] { loop.stall(pause_end - pause_start); });
    loop.run(3s);
    for (const auto& client : clients) {
        EXPECT_EQ(client->response(1).end_records, 1);
        EXPECT_LE(client->last_read_at, client->connected_at + budget + 8ms);
    }
}

}  // namespace
}  // namespace plumkeel::platform
