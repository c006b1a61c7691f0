// Which jobs count as over their tenant's share, for a controller that sees several times the mean of the traffic.
#include <gtest/gtest.h>

#include <memory>

#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

TEST(Shares, ABusyControllerTakesNobodyToBeOverForItsOwnShareOfTheTraffic) {
    Capabilities may;
    may.max_attempts = 5;
    may.controller_count = 100;
    may.clock_resolution = 2ms;
    Scheduler controller(1, {}, may);
    RequestClass use;
    use.latency_target = 1500ms;
    Function function;
    function.name = "f";
    Tenant a{20, 0, {}}, b{20, 0, {}};
    std::vector<std::unique_ptr<Request>> requests;
    Time now{};
    const auto take = [&](Tenant& tenant) {
        Request& request = *requests.emplace_back(std::make_unique<Request>());
        request.id = requests.size();
        request.request_class = &use;
        request.tenant = &tenant;
        request.function = &function;
        request.remaining = 60s;
        controller.submit(now += 100ms, request);
        return request.over_quota;
    };
    for (int i = 0; i < 20; ++i) take(i % 2 ? a : b);
    // 10 jobs a second here would be 1,000 of all controllers, for 40 of the shares: but both have their part.
    for (int i = 0; i < 40; ++i) EXPECT_FALSE(take(i % 2 ? a : b)) << i;
    // One asks nine times as often as the other: it is over its share, the other is not.
    for (int i = 0; i < 100; ++i) take(i % 10 ? a : b);
    EXPECT_TRUE(take(a));
    EXPECT_FALSE(take(b));
}

}  // namespace
}  // namespace plumkeel
