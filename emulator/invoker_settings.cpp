#include "emulator/invoker_settings.hpp"

#include "config/jsonnet_reader.hpp"

namespace plumkeel::emulator {

InvokerSettings read_invoker_settings(const std::string& file) {
    const auto value = evaluate_jsonnet(file);
    JsonnetReader reader(value, file);
    InvokerSettings settings;
    std::size_t port = 0, seed = 1;
    reader.require("name", settings.name);
    reader.require("port", port);
    reader.require("store", settings.store_address);
    reader.read("cores", settings.cores);
    reader.read("speed", settings.speed);
    reader.read("memory", settings.memory_mb);
    reader.read("queue", settings.queue_limit);
    reader.read("loads_at_once", settings.max_concurrent_loads);
    reader.read("keep_alive", settings.keep_alive);
    reader.read("cold", settings.slow_start.enabled);
    reader.read("cold_share", settings.slow_start.cold_share);
    reader.read("cold_for", settings.slow_start.duration);
    reader.read("push_multiple", settings.slow_start.rate_multiple);
    reader.read("push_span", settings.slow_start.window);
    reader.read("mean_work_ms", settings.mean_run_time_ms);
    reader.read("remembers", settings.deduplication_window);
    reader.read("seed", seed);
    reader.reject_unknown_fields();
    settings.port = static_cast<std::uint16_t>(port);
    settings.seed = seed;
    return settings;
}

}  // namespace plumkeel::emulator
