/// Flow control towards one remote write receiver.
#include "remote_write/send_controller.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace plumkeel::remote_write {
namespace {

using namespace std::chrono_literals;

TEST(SendController, BacksOffExponentiallyWithSmallBatches) {
    SendController controller({}, 7);
    Time now{};
    Time last{};
    for (int i = 0; i < 12; ++i) {
        const auto permit = controller.request(now, 1000);
        ASSERT_GT(permit.samples, 0u) << i;
        EXPECT_LE(permit.samples, 200u);
        controller.on_sent(now, permit.samples);
        EXPECT_EQ(controller.request(now, 1000).samples, 0u);  // one batch in flight only
        controller.on_result(now, SendResult::retryable, 10ms, {});
        const auto next = controller.request(now, 1000);
        EXPECT_EQ(next.samples, 0u);
        last = next.retry_at - now;
        const double nominal = std::min(30.0, 0.2 * std::pow(2, i));
        EXPECT_GE(static_cast<double>(last.count()) / 1e6, nominal * 0.5) << i;
        EXPECT_LE(static_cast<double>(last.count()) / 1e6, nominal * 1.5) << i;
        now = next.retry_at + 2s;  // the token bucket fills again
    }
}

TEST(SendController, WaitsForRetryAfter) {
    SendController controller({}, 7);
    controller.on_sent(Time{}, 200);
    controller.on_result(Time{}, SendResult::retryable, 10ms, Time(17s));
    EXPECT_EQ(controller.request(1s, 1000).retry_at, Time(17s));
    EXPECT_GT(controller.request(17s, 1000).samples, 0u);
}

TEST(SendController, ConcurrencyGrowsStepwiseAndSlowResponsesHalveIt) {
    SendController controller({}, 7);
    Time now{};
    EXPECT_EQ(controller.concurrency(), 1);
    for (int i = 0; i < 20; ++i) {
        now += 1s;
        controller.on_sent(now, 1);
        controller.on_result(now, SendResult::accepted, 10ms, {});
        EXPECT_LE(controller.concurrency(), 4);
    }
    EXPECT_EQ(controller.concurrency(), 4);
    controller.on_sent(now, 1);
    controller.on_result(now, SendResult::accepted, 5s, {});
    EXPECT_EQ(controller.concurrency(), 2);
    controller.on_sent(now, 1);
    controller.on_result(now, SendResult::unknown, 10s, {});
    EXPECT_EQ(controller.concurrency(), 1);
}

TEST(SendController, CatchesUpAtABoundedMultipleOfTheInflow) {
    SendController controller({}, 7);
    Time now{};
    double sent = 0;
    while (now < 100s) {
        const auto permit = controller.request(now, 1000);
        if (permit.samples == 0) {
            now = permit.retry_at;
            continue;
        }
        controller.on_sent(now, permit.samples);
        sent += static_cast<double>(permit.samples);
        controller.on_result(now, SendResult::accepted, 1ms, {});
    }
    EXPECT_NEAR(sent, 4 * 1000 * 100, 4 * 1000 * 100 * 0.05);
}

}  // namespace
}  // namespace plumkeel::remote_write
