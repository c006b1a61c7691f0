#include "config/gateway_config.hpp"

#include "config/sections.hpp"

namespace plumkeel {

GatewayConfig load_config(const std::string& file, const std::map<std::string, std::string>& variables) {
    using namespace config_sections;
    const boost::json::value root = evaluate_jsonnet(file, variables);
    GatewayConfig config;
    JsonnetReader in(root, file);
    in.read("name", config.name);
    in.read("listen", config.listen);
    check_address(in, "listen", config.listen);
    in.read("says_company", config.reports_concurrency);
    in.read_object("rulebook", [&](JsonnetReader& section) { read_safety_rules(section, config.safety_rules); });
    in.read_object("allowances", [&](JsonnetReader& section) { read_capabilities(section, config.capabilities); });
    in.read_object("door", [&](JsonnetReader& section) { read_admission(section, config.admission); });
    in.read_object("list", [&](JsonnetReader& section) { read_endpoint_source(section, config.endpoint_source); });
    in.read_object("lines", [&](JsonnetReader& section) { read_pool(section, config.pool); });
    in.read_object("log", [&](JsonnetReader& section) { read_log(section, config.log); });
    in.read_object("trace", [&](JsonnetReader& section) { read_trace(section, config.trace); });
    in.read_object("metrics", [&](JsonnetReader& section) { read_metrics(section, config.metrics); });
    in.read_object("remote", [&](JsonnetReader& section) { read_remote_write(section, config.remote_write); });
    in.read_members("use_cases", [&](const std::string& name, JsonnetReader& member) {
        read_request_class(name, member, config.request_classes[name]);
    });
    in.read_members("tenants", [&](const std::string& name, JsonnetReader& member) {
        member.read("share_per_s", config.tenants[name].quota_per_s);
    });
    config.remote_write.controller = config.name;
    in.reject_unknown_fields();
    if (config.request_classes.empty()) in.fail("use_cases", "is missing: at least one is required");
    return config;
}

}  // namespace plumkeel
