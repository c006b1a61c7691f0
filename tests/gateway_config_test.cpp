// GatewayConfig: what a Jsonnet configuration file loads to, and how the error of an unusable one reads.
#include "config/gateway_config.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

class GatewayConfigTest : public testing::Test {
protected:
    GatewayConfig load(const std::string& text) {
        std::ofstream(file) << text;
        return load_config(file);
    }
    void expect_error(const std::string& text, const std::string& message) {
        try {
            load(text);
            FAIL() << "accepted: " << text;
        } catch (const ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find(message), std::string::npos) << error.what();
            EXPECT_NE(std::string(error.what()).find(file), std::string::npos) << error.what();
        }
    }
    const std::string file = testing::TempDir() + "plumkeel_settings_" + std::to_string(::getpid()) + ".jsonnet";
    const std::string base =
        "{ list: { consul: '127.0.0.1:8500' }, use_cases: { p: { promised: '1s', repeat: 'replayable' } } }";
};

TEST_F(GatewayConfigTest, EvaluatesTheTemplate) {
    const GatewayConfig config =
        load("local b = " + base +
             "; b { use_cases+: { q: self.p { promised: '%dms' % (3 * 50) } }, tenants: { t: { share_per_s: 4 } } }");
    EXPECT_EQ(config.request_classes.at("q").latency_target, 150ms);
    EXPECT_EQ(config.tenants.at("t").quota_per_s, 4);
}

TEST_F(GatewayConfigTest, ErrorsNameFileFieldAndWhatIsAllowed) {
    expect_error("{", "jsonnet:1");
    expect_error(base + "{ lisen: 'x' }", "lisen: unknown field");
    expect_error(base + "{ door: { open_job: 3 } }", "door.open_job: unknown field");
    expect_error(base + "{ door: { open_jobs: 0 } }", "door.open_jobs: found 0, expected at least 1");
    expect_error(base + "{ door: { open_jobs: 1.5 } }", "door.open_jobs: found 1.5E0, expected a whole number");
    expect_error(base + "{ listen: 'here' }", "listen: found \"here\", expected an address");
    expect_error(base + "{ rulebook: { cold_for: 12 } }", "rulebook.cold_for: found 12, expected a duration");
    expect_error(base + "{ rulebook: { cold_for: '12 parsecs' } }", "rulebook.cold_for: found \"12 parsecs\"");
    expect_error(base + "{ rulebook: { cold_share: 2 } }", "rulebook.cold_share: must be above 0 and at most 1");
    expect_error(base + "{ use_cases: {} }", "use_cases: is missing");
    expect_error(base + "{ use_cases+: { p+: { repeat: 'often' } } }",
                 "use_cases.p.repeat: found \"often\", expected one of: referenced, replayable, single_use");
    expect_error(base + "{ use_cases+: { p+: { repeat: 'referenced' } } }", "use_cases.p.remembered: is missing");
    expect_error(base + "{ list+: { fixed: [{ address: 'a:1' }] } }",
                 "list: exactly one of \"consul\" and \"fixed\" must be set");
    expect_error(base + "{ allowances: { loads_on_demand: false } }", "no function could ever be loaded");
    expect_error(base + "{ log: { level: 'loud' } }", "log.level: found \"loud\", expected one of: debug, info");
}

// The files in tests/golden/settings are copies of shipped settings, which must always load to the same values.
GatewayConfig load_shipped(const std::string& name) {
    return load_config(std::string(PLUMKEEL_GOLDEN) + "/settings/" + name);
}

TEST(ShippedSettings, OnDemandLoadsToTheSameValues) {
    const GatewayConfig config = load_shipped("on-demand.jsonnet");
    EXPECT_EQ(config.name, "controller-1");
    EXPECT_EQ(config.listen, "127.0.0.1:7400");
    EXPECT_EQ(config.endpoint_source.consul, "127.0.0.1:8500");
    EXPECT_EQ(config.endpoint_source.service, "invokers");
    EXPECT_EQ(config.endpoint_source.wait, 30s);
    EXPECT_EQ(config.endpoint_source.response_slack, 5s);
    EXPECT_TRUE(config.endpoint_source.fixed.empty());
    EXPECT_EQ(config.safety_rules.slow_start_duration, 16s);
    EXPECT_DOUBLE_EQ(config.safety_rules.slow_start_initial_share, 0.16);
    EXPECT_DOUBLE_EQ(config.safety_rules.slow_start_rate_multiple, 2);
    EXPECT_EQ(config.safety_rules.slow_start_window, 2s);
    EXPECT_EQ(config.safety_rules.load_budget_window, 0s);
    const Capabilities& capabilities = config.capabilities;
    EXPECT_TRUE(capabilities.cancellation && capabilities.health_checks && capabilities.hedging &&
                capabilities.retry_after && capabilities.on_demand_loading && capabilities.stable_capacity);
    EXPECT_FALSE(capabilities.preload || capabilities.subscribes_endpoints);
    EXPECT_EQ(capabilities.max_attempts, 5);
    EXPECT_EQ(capabilities.controller_count, 2);
    EXPECT_EQ(capabilities.max_retry_after, 2s);
    EXPECT_EQ(capabilities.keep_alive, 8300ms);
    EXPECT_EQ(capabilities.clock_resolution, 5ms);
    EXPECT_EQ(config.admission.max_requests, 10'000u);
    EXPECT_EQ(config.admission.max_connections, 10'000u);
    EXPECT_EQ(config.admission.max_body_bytes, 1'048'576u);
    EXPECT_EQ(config.admission.max_memory_bytes, 268'435'456u);
    EXPECT_EQ(config.admission.max_head_bytes, 16'384u);
    EXPECT_EQ(config.pool.max_connections, 256u);
    EXPECT_EQ(config.pool.connect_timeout, 250ms);
    EXPECT_EQ(config.log.file, "/var/log/plumkeel.log");
    EXPECT_EQ(config.log.level, "info");
    EXPECT_EQ(config.trace.folder, "");
    EXPECT_TRUE(config.metrics.enabled && config.reports_concurrency);
    EXPECT_EQ(config.remote_write.controller, "controller-1");
    ASSERT_EQ(config.request_classes.size(), 1u);
    const NamedRequestClass& preview = config.request_classes.at("preview");
    EXPECT_EQ(preview.name, "preview");
    EXPECT_EQ(preview.latency_target, 1500ms);
    EXPECT_EQ(preview.idempotency, Idempotency::idempotent);
    ASSERT_EQ(config.tenants.size(), 2u);
    EXPECT_EQ(config.tenants.at("first").quota_per_s, 50);
    EXPECT_EQ(config.tenants.at("second").quota_per_s, 40);
}

TEST(ShippedSettings, GuardedEffectsLoadsToTheSameValues) {
    const GatewayConfig config = load_shipped("guarded-effects.jsonnet");
    EXPECT_FALSE(config.capabilities.hedging);
    EXPECT_EQ(config.capabilities.controller_count, 2);
    ASSERT_EQ(config.request_classes.size(), 3u);
    EXPECT_EQ(config.request_classes.at("preview").idempotency, Idempotency::idempotent);
    const NamedRequestClass& invoice = config.request_classes.at("invoice");
    EXPECT_EQ(invoice.latency_target, 2s);
    EXPECT_EQ(invoice.idempotency, Idempotency::deduplicated);
    EXPECT_EQ(invoice.deduplication_scope, DeduplicationScope::zone);
    EXPECT_EQ(invoice.deduplication_window, 5s);
    EXPECT_EQ(config.request_classes.at("charge").idempotency, Idempotency::at_most_once);
}

TEST(ShippedSettings, OrderedCopiesLoadsToTheSameValues) {
    const GatewayConfig config = load_shipped("ordered-copies.jsonnet");
    EXPECT_EQ(config.safety_rules.slow_start_duration, 16s);
    EXPECT_DOUBLE_EQ(config.safety_rules.slow_start_rate_multiple, 4);
    EXPECT_EQ(config.safety_rules.slow_start_window, 3s);
    EXPECT_EQ(config.safety_rules.load_budget_window, 5s);
    EXPECT_DOUBLE_EQ(config.safety_rules.load_budget_base, 4);
    EXPECT_DOUBLE_EQ(config.safety_rules.load_budget_per_request, 0.2);
    EXPECT_EQ(config.capabilities.controller_count, 3);
    EXPECT_EQ(config.capabilities.max_attempts, 6);
    EXPECT_FALSE(config.capabilities.hedging);
    EXPECT_TRUE(config.capabilities.preload);
    EXPECT_DOUBLE_EQ(config.capabilities.memory_price, 0.15);
    EXPECT_EQ(config.capabilities.keep_alive, 8s);
    EXPECT_EQ(config.capabilities.max_retry_after, 1s);
    EXPECT_EQ(config.request_classes.at("resolve").latency_target, 600ms);
    EXPECT_EQ(config.tenants.size(), 0u);
}

}  // namespace
}  // namespace plumkeel
