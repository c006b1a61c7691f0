/// Detection of tenants over their quota, by a scheduler that receives several times the mean traffic.
#include <gtest/gtest.h>

#include <memory>

#include "scheduler/scheduler.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

TEST(ArrivalStatistics, ControllerWithMuchTrafficDetectsOnlyTenantsOverQuota) {
    Capabilities capabilities;
    capabilities.max_attempts = 5;
    capabilities.controller_count = 100;
    capabilities.clock_resolution = 2ms;
    Scheduler scheduler(1, {}, capabilities);
    RequestClass request_class;
    request_class.latency_target = 1500ms;
    Function function;
    function.name = "f";
    Tenant busy_tenant{20, 0, {}}, quiet_tenant{20, 0, {}};
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
    for (int i = 0; i < 20; ++i) submit(i % 2 ? busy_tenant : quiet_tenant);
    // 10 requests per second here would be 1,000 at all 100 controllers together, for quotas of 40. But each tenant
    // sends only its share of the requests.
    for (int i = 0; i < 40; ++i) EXPECT_FALSE(submit(i % 2 ? busy_tenant : quiet_tenant)) << i;
    // The busy tenant sends nine times as many requests as the quiet one, and only it is over its quota.
    for (int i = 0; i < 100; ++i) submit(i % 10 ? busy_tenant : quiet_tenant);
    EXPECT_TRUE(submit(busy_tenant));
    EXPECT_FALSE(submit(quiet_tenant));
}

}  // namespace
}  // namespace plumkeel
