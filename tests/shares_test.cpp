// Which jobs count as over their tenant's share, for a controller that sees several times the mean of the traffic.
#include <gtest/gtest.h>

#include <memory>

#include "dispatch/controller.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

TEST(Shares, ABusyControllerTakesNobodyToBeOverForItsOwnShareOfTheTraffic) {
    Allowances may;
    may.hops = 5;
    may.controllers = 100;
    may.tick = 2ms;
    Controller controller(1, {}, may);
    UseCase use;
    use.promised = 1500ms;
    Function function;
    function.name = "f";
    Tenant a{20, 0, {}}, b{20, 0, {}};
    std::vector<std::unique_ptr<Job>> jobs;
    Time now{};
    const auto take = [&](Tenant& tenant) {
        Job& job = *jobs.emplace_back(std::make_unique<Job>());
        job.id = jobs.size();
        job.use_case = &use;
        job.tenant = &tenant;
        job.function = &function;
        job.time_left = 60s;
        controller.take(now += 100ms, job);
        return job.over_share;
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
