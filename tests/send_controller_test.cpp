/// Tests when SendController allows a batch to be sent, and how large it may be.
#include "remote_write/send_controller.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace plumkeel::remote_write {
namespace {

using namespace std::chrono_literals;

TEST(SendController, BacksOffExponentiallyWithSmallBatches) {
    SendController controller({}, 7);
    Time now{};
    Time backoff{};
    for (int i = 0; i < 12; ++i) {
        const auto permit = controller.request_permit(now, 1000);
        ASSERT_GT(permit.samples, 0u) << i;
        EXPECT_LE(permit.samples, 200u);
        controller.on_sent(now, permit.samples);
        EXPECT_EQ(controller.request_permit(now, 1000).samples, 0u);  // only one batch may be in flight
        controller.on_result(now, SendResult::retryable, 10ms, {});
        const auto next_permit = controller.request_permit(now, 1000);
        EXPECT_EQ(next_permit.samples, 0u);
        backoff = next_permit.retry_at - now;
        const double nominal_backoff_s = std::min(30.0, 0.2 * std::pow(2, i));
        EXPECT_GE(static_cast<double>(backoff.count()) / 1e6, nominal_backoff_s * 0.5) << i;
        EXPECT_LE(static_cast<double>(backoff.count()) / 1e6, nominal_backoff_s * 1.5) << i;
        now = next_permit.retry_at + 2s;  // time for the token bucket to refill
    }
}

TEST(SendController, WaitsForRetryAfter) {
    SendController controller({}, 7);
    controller.on_sent(Time{}, 200);
    controller.on_result(Time{}, SendResult::retryable, 10ms, Time(17s));
    EXPECT_EQ(controller.request_permit(1s, 1000).retry_at, Time(17s));
    EXPECT_GT(controller.request_permit(17s, 1000).samples, 0u);
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
    double sent_samples = 0;
    while (now < 100s) {
        const auto permit = controller.request_permit(now, 1000);
        if (permit.samples == 0) {
            now = permit.retry_at;
            continue;
        }
        controller.on_sent(now, permit.samples);
        sent_samples += static_cast<double>(permit.samples);
        controller.on_result(now, SendResult::accepted, 1ms, {});
    }
    EXPECT_NEAR(sent_samples, 4 * 1000 * 100, 4 * 1000 * 100 * 0.05);
}

}  // namespace
}  // namespace plumkeel::remote_write
