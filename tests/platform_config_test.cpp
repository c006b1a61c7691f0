// PlatformConfig: what the platform's configuration file loads to, and how the error of an unusable one reads.
#include "platform/platform_config.hpp"

#include <functional>

#include "tests/platform_fixture.hpp"

namespace plumkeel::platform {
namespace {

TEST(PlatformConfig, ErrorsNameFileAndField) {
    const auto error_of = [](const std::string& text) -> std::string {
        try {
            load_platform_config(write_config(text));
        } catch (const platform_settings::SettingsError& error) {
            return error.what();
        }
        return "";
    };
    EXPECT_EQ(error_of(default_config), "");
    for (const auto& [malformed, expected] : std::vector<std::pair<std::string, std::string>>{
             {"{", "not a JSON object"},
             {"[]", "not a JSON object"},
             {replaced(default_config, R"("listen":"10.1.0.1:7001")", R"("listen":"here")"), "'listen'"},
             {replaced(default_config, R"("board":"10.9.0.1:2379",)", ""), "'board'"},
             {replaced(default_config, R"("seed":"8c1f30d27a5be964")", R"("seed":"xyz")"), "'seed'"},
             {replaced(default_config, R"("sockets":256)", R"("sockets":8)"), "'sockets'"},
             {replaced(default_config, R"("memory_mb":48)", R"("memory_mb":"much")"), "'memory_mb'"},
             {replaced(default_config, R"("classes":[)", R"("else":[)"), "'classes'"},
             {replaced(default_config, R"("deadline":3000.0,)", ""), "'deadline'"},
             {replaced(default_config, R"("uid":"s-00000001")", R"("uid":7)"), "'uid'"}}) {
        EXPECT_NE(error_of(malformed).find(expected), std::string::npos) << error_of(malformed) << " for " << expected;
        EXPECT_NE(error_of(malformed).find(config_path()), std::string::npos);
    }
    EXPECT_NE(
        [] {
            try {
                load_platform_config("/nowhere/config.json");
            } catch (const platform_settings::SettingsError& error) {
                return std::string(error.what());
            }
            return std::string();
        }()
            .find("/nowhere/config.json"),
        std::string::npos);
}

// Each field in turn is removed, given another type or an extreme value. Loading must fail with an error that names the
// file, or a server must run with the configuration.
TEST(PlatformConfig, UnexpectedFieldValuesAreRejectedOrHarmless) {
    using platform_settings::json;
    const json original = json::parse(default_config);
    std::vector<json::json_pointer> fields;
    const std::function<void(const json&, const json::json_pointer&)> collect = [&](const json& node,
                                                                                    const json::json_pointer& path) {
        if (!path.empty()) fields.push_back(path);
        if (!node.is_structured()) return;
        for (const auto& [key, value] : node.items())
            collect(value, node.is_array() ? path / std::stoul(key) : path / key);
    };
    collect(original, json::json_pointer());
    ASSERT_GT(fields.size(), 80u);
    const std::vector<json> replacements{nullptr,
                                         true,
                                         -1,
                                         0,
                                         0.5,
                                         1e300,
                                         -1e300,
                                         18446744073709551615u,
                                         "",
                                         "x",
                                         "1",
                                         json::array(),
                                         json::object(),
                                         {1, "x", nullptr}};
    int rejected = 0, accepted = 0;
    for (const auto& field : fields) {
        for (std::size_t i = 0; i <= replacements.size(); ++i) {
            json changed = original;
            if (i < replacements.size()) {
                changed[field] = replacements[i];
            } else {
                json& parent = changed[field.parent_pointer()];
                if (parent.is_array()) continue;
                parent.erase(field.back());
            }
            PlatformConfig config;
            try {
                config = load_platform_config(write_config(changed.dump()));
            } catch (const platform_settings::SettingsError& error) {
                ++rejected;
                EXPECT_NE(std::string(error.what()).find(config_path()), std::string::npos);
                continue;
            } catch (const std::exception& unexpected) {
                ADD_FAILURE() << field << " as case " << i << ": " << unexpected.what();
                continue;
            }
            ++accepted;
            net::SimulatedEventLoop loop;
            config.gateway.log.file = "/dev/null";
            Log log(loop, config.gateway.log);
            PlatformServer server(loop, config, log);
            if (server.open()) continue;
            ScriptedClient client(loop, 10ms,
                                  {{0ms, message(1, request_fields(hex16(1), hex16(2)), "work") +
                                             message(2, {{"SCRIPT_NAME", "/_health"}})}});
            loop.run(200ms);
            server.reconfigure(config);
            loop.run(400ms);
        }
    }
    EXPECT_GT(rejected, 200);
    EXPECT_GT(accepted, 200);
}

TEST(PlatformConfig, RejectsAnInitialListOverTheLimit) {
    std::string targets;
    for (std::size_t i = 0; i <= discovery::max_records; ++i)
        targets += (i ? "," : "") + fmt::format(R"({{"uid":"s-{:08x}","endpoint":"10.{}.{}.{}:7001","state":"up"}})", i,
                                                i >> 16, i >> 8 & 255, i & 255);
    std::string text = default_config;
    const auto from = text.find("\"targets\":[") + 11, to = text.find("]}}]}", from);
    text.replace(from, to - from, targets);
    try {
        load_platform_config(write_config(text));
        FAIL() << "accepted";
    } catch (const platform_settings::SettingsError& error) {
        EXPECT_NE(
            std::string(error.what()).find("field 'targets' of 'known': 20001 invokers listed, at most 20000 allowed"),
            std::string::npos)
            << error.what();
    }
}

TEST(PlatformConfig, DividesDescriptorsAndMemory) {
    const PlatformConfig config = load_platform_config(write_config(default_config));
    EXPECT_LE(config.gateway.admission.max_connections + config.gateway.pool.max_total_connections, 256u);
    EXPECT_GE(config.gateway.admission.max_connections, 256u / 3);  // clients get at least a third
    EXPECT_LT(config.gateway.admission.max_memory_bytes, 48u * 1024 * 1024 / 4);
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.last_known_event, 1u);
}

// tests/golden/settings/platform.json is a configuration of the platform, which must always load to the same values.
TEST(ShippedPlatformConfig, LoadsToTheSameValues) {
    const PlatformConfig config = load_platform_config(std::string(PLUMKEEL_GOLDEN) + "/settings/platform.json");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.discovery.to_string(), "10.9.0.1:2379");
    EXPECT_EQ(config.descriptors, 256u);
    EXPECT_EQ(config.memory_mb, 48u);
    EXPECT_EQ(config.last_known_event, 1u);
    EXPECT_EQ(config.labels.zones, std::vector<std::string>{"a"});
    EXPECT_EQ(config.labels.types, std::vector<std::string>{"k"});
    ASSERT_EQ(config.initial_events.size(), 1u);
    const discovery::WatchEvent& event = config.initial_events[0];
    EXPECT_EQ(event.number, 1u);
    EXPECT_TRUE(event.has_changes && event.is_complete && event.removed.empty());
    ASSERT_EQ(event.endpoints.size(), 2u);
    const gateway::Endpoint second{"s-00000002", "10.0.0.2:7001", "a", "k", true, 5, 0, std::nullopt};
    EXPECT_EQ(event.endpoints[1], second);

    const GatewayConfig& gateway = config.gateway;
    EXPECT_EQ(gateway.name, "n1");
    EXPECT_EQ(gateway.listen, "10.1.0.1:7001");
    EXPECT_TRUE(gateway.reports_concurrency);
    EXPECT_EQ(gateway.safety_rules.slow_start_duration, 1s);
    EXPECT_DOUBLE_EQ(gateway.safety_rules.slow_start_initial_share, 0.5);
    EXPECT_DOUBLE_EQ(gateway.safety_rules.slow_start_rate_multiple, 2);
    EXPECT_EQ(gateway.safety_rules.slow_start_window, 2s);
    EXPECT_EQ(gateway.safety_rules.load_budget_window, 0s);
    const Capabilities& capabilities = gateway.capabilities;
    EXPECT_TRUE(capabilities.cancellation && capabilities.health_checks && capabilities.hedging &&
                capabilities.retry_after && capabilities.on_demand_loading && capabilities.stable_capacity);
    EXPECT_FALSE(capabilities.preload || capabilities.subscribes_endpoints);
    EXPECT_EQ(capabilities.max_attempts, 5);
    EXPECT_EQ(capabilities.controller_count, 1);
    EXPECT_EQ(capabilities.max_retry_after, 2s);
    EXPECT_EQ(capabilities.keep_alive, 5s);
    EXPECT_EQ(capabilities.clock_resolution, 1ms);
    ASSERT_EQ(gateway.request_classes.size(), 1u);
    const NamedRequestClass& preview = gateway.request_classes.at("preview");
    EXPECT_EQ(preview.name, "preview");
    EXPECT_EQ(preview.latency_target, 800ms);
    EXPECT_EQ(preview.idempotency, Idempotency::idempotent);
    EXPECT_EQ(preview.deduplication_scope, DeduplicationScope::global);
    EXPECT_EQ(preview.deduplication_window, 5s);
    EXPECT_EQ(gateway.tenants.at("acme").quota_per_s, 1000);
    EXPECT_EQ(gateway.pool.connect_timeout, 250ms);
    EXPECT_EQ(gateway.pool.health_check_timeout, 250ms);
    EXPECT_EQ(gateway.pool.preload_timeout, 4s);
    EXPECT_EQ(gateway.pool.idle_timeout, 15s);
    EXPECT_EQ(gateway.pool.max_attempts_per_connection, 32u);
    EXPECT_EQ(gateway.pool.max_total_connections, 104u);
    EXPECT_EQ(gateway.pool.max_connections, 8u);
    EXPECT_EQ(gateway.admission.max_connections, 128u);
    EXPECT_EQ(gateway.admission.max_body_bytes, 16'384u);
    EXPECT_EQ(gateway.admission.max_memory_bytes, 8'388'608u);
    EXPECT_EQ(gateway.admission.max_remaining_time, 3s);
    EXPECT_EQ(gateway.admission.head_timeout, 1500ms);
    EXPECT_EQ(gateway.admission.idle_timeout, 6s);
    EXPECT_EQ(gateway.admission.unread_timeout, 2s);
    EXPECT_EQ(gateway.log.queue_size, 256u);
    EXPECT_FALSE(gateway.metrics.enabled);
}

}  // namespace
}  // namespace plumkeel::platform
