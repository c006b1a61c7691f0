/// Invariants: counting and logging of violations, and the rules for retries and rejections.
#include "gateway/invariants.hpp"

#include <gtest/gtest.h>

#include "net/simulated_event_loop.hpp"

namespace plumkeel::gateway {
namespace {

using namespace std::chrono_literals;

TEST(Invariants, CountEachViolationAndDescribeOnlyViolations) {
    net::SimulatedEventLoop loop;
    LogConfig config;
    config.file = "/dev/null";
    Log log(loop, config);
    Invariants invariants(log);
    int describe_calls = 0;
    const auto fields = [&] {
        ++describe_calls;
        return Invariants::Fields{{"request", "r"}};
    };
    invariants.check(true, Invariant::unsafe_retry, fields);
    EXPECT_EQ(invariants.violations(), 0u);
    EXPECT_EQ(describe_calls, 0);
    invariants.check(false, Invariant::unsafe_retry, fields);
    invariants.check(false, Invariant::unsafe_retry, fields);
    invariants.check(false, Invariant::late_response, fields);
    EXPECT_EQ(invariants.violations(Invariant::unsafe_retry), 2u);
    EXPECT_EQ(invariants.violations(Invariant::late_response), 1u);
    EXPECT_EQ(invariants.violations(), 3u);
    EXPECT_EQ(describe_calls, 3);
    EXPECT_EQ(name_of(Invariant::unproven_rejection), "refused_what_may_have_run");
}

class RetryRuleTest : public testing::Test {
protected:
    RetryRuleTest() {
        first.zone = same_cell.zone = same_zone.zone = "a";
        other_zone.zone = "b";
        first.cell = same_cell.cell = 1;
        same_zone.cell = 2;
        other_zone.cell = 3;
        request_class.deduplication_window = 5s;
    }
    bool may_retry(const Invoker& next, Time now) const { return may_retry_on(request_class, first, 1s, next, now); }
    RequestClass request_class;
    Invoker first, same_cell, same_zone, other_zone;
};

TEST_F(RetryRuleTest, IdempotentRequestsMayRetryAnywhere) {
    request_class.idempotency = Idempotency::idempotent;
    EXPECT_TRUE(may_retry(other_zone, 60s));
    EXPECT_TRUE(may_report_no_effect(request_class, 1s, 60s));
}

TEST_F(RetryRuleTest, AtMostOnceRequestsNeverRetry) {
    request_class.idempotency = Idempotency::at_most_once;
    EXPECT_FALSE(may_retry(first, 1s));
    EXPECT_FALSE(may_report_no_effect(request_class, 1s, 1s));
}

TEST_F(RetryRuleTest, DeduplicatedRequestsRetryWhereAndWhileTheirKeyIsKnown) {
    request_class.idempotency = Idempotency::deduplicated;
    request_class.deduplication_scope = DeduplicationScope::global;
    EXPECT_TRUE(may_retry(other_zone, 6s));
    EXPECT_FALSE(may_retry(other_zone, 6001ms));
    EXPECT_TRUE(may_report_no_effect(request_class, 1s, 6s));
    EXPECT_FALSE(may_report_no_effect(request_class, 1s, 6001ms));
    request_class.deduplication_scope = DeduplicationScope::zone;
    EXPECT_TRUE(may_retry(same_zone, 2s));
    EXPECT_FALSE(may_retry(other_zone, 2s));
    EXPECT_FALSE(may_report_no_effect(request_class, 1s, 2s));
    request_class.deduplication_scope = DeduplicationScope::cell;
    EXPECT_TRUE(may_retry(same_cell, 2s));
    EXPECT_FALSE(may_retry(same_zone, 2s));
}

}  // namespace
}  // namespace plumkeel::gateway
