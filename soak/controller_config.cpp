#include "soak/controller_config.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>

namespace plumkeel::soak {
namespace {

std::string header_json(const ControllerConfig& config, std::uint64_t seed) {
    return fmt::format(
        R"({{"name":"c{}","listen":"{}","seed":"{:x}","board":"{}","limits":{{"cores":1.0,"memory_mb":48,"sockets":{}}},"known":{},)",
        config.number, config.address.to_string(), seed * 100 + config.number + 1, config.discovery_address.to_string(),
        config.descriptor_limit, config.known_endpoints_json);
}

// The seed selects whether controllers may cancel (may_cancel) and hedge (second_copies).
std::string settings_json(const RunContext& context) {
    const SlowStartRule& slow_start = context.history.slow_start;
    const std::uint64_t seed = context.options.seed;
    return fmt::format(
        R"("settings":{{"areas":["a"],"kinds":["k"],"fleet_size":{},"discovery":"automatic","weight_source":"nominal","quantum":1.0,
 "classes":[{{"name":"preview","aim":800.0,"deadline":3000.0,"semantics":"retryable","group":"all","repeat_window":5000.0}},
  {{"name":"tagged","aim":800.0,"deadline":3000.0,"semantics":"dedup","group":"all","repeat_window":5000.0}},
  {{"name":"ledger","aim":800.0,"deadline":3000.0,"semantics":"fragile","group":"all","repeat_window":5000.0}}],
 "realms":[{{"name":"acme","quota_per_s":1000.0}}],"report":{{"fields":["active","waiting"],"how":"pull"}},
 "rules":{{"cold":{:.1f},"cold_share":{},"fall_multiple":{},"overload_for":{:.1f},"stop_sending_within":2000.0,"grace_to_answer":8.0}},
 "family_info":{{"if_cold":"load","linger_idle":5000.0,"may_order":false,"says_company":true,"answer_within":4000.0}},
 "limits":{{"may_cancel":{},"probes":true,"second_copies":{},"retry_after":true,"send_cap":5,"max_retry_after":2000.0,
  "connect_timeout":250.0,"conn_idle":10000.0,"streams_per_conn":32}}}}}})",
        context.options.controller_count, static_cast<double>(slow_start.duration_us) / 1000, slow_start.cold_share,
        slow_start.rate_multiple, static_cast<double>(slow_start.window_us) / 1000, seed % 5 != 0, seed % 2 == 0);
}

}  // namespace

void write_controller_config(const std::string& file, const ControllerConfig& config, const RunContext& context) {
    const std::string temporary = file + ".new";
    std::ofstream(temporary) << header_json(config, context.options.seed) << settings_json(context);
    std::filesystem::rename(temporary, file);
}

}  // namespace plumkeel::soak
