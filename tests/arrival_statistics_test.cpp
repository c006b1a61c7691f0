/// Which requests count as over their tenant's quota, for a scheduler that sees several times the mean of the traffic.
#include <gtest/gtest.h>

#include <memory>

#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

TEST(ArrivalStatistics, BusyControllerDoesNotMistakeItsTrafficForTenantsOverQuota) {
    Capabilities capabilities;
    capabilities.max_attempts = 5;
    capabilities.controller_count = 100;
    capabilities.clock_resolution = 2ms;
    Scheduler scheduler(1, {}, capabilities);
    RequestClass request_class;
    request_class.latency_target = 1500ms;
    Function function;
    function.name = "f";
    Tenant a{20, 0, {}}, b{20, 0, {}};
    std::vector<std::unique_ptr<Request>> requests;
    Time now{};
    const auto submit = [&](Tenant& tenant) {
        Request& request = *requests.emplace_back(std::make_unique<Request>());
        request.id = requests.size();
        request.request_class = &request_class;
        request.tenant = &tenant;
        request.function = &function;
        request.remaining = 60s;
        scheduler.submit(now += 100ms, request);
        return request.over_quota;
    };
    for (int i = 0; i < 20; ++i) submit(i % 2 ? a : b);
    // 10 requests a second here would be 1,000 of all controllers, for quotas of 40: but both tenants have their part.
    for (int i = 0; i < 40; ++i) EXPECT_FALSE(submit(i % 2 ? a : b)) << i;
    // One sends nine times as many as the other: it is over its quota, the other is not.
    for (int i = 0; i < 100; ++i) submit(i % 10 ? a : b);
    EXPECT_TRUE(submit(a));
    EXPECT_FALSE(submit(b));
}

}  // namespace
}  // namespace plumkeel
