#include "config/gateway_config.hpp"

#include <sys/stat.h>

#include <fstream>

#include "net/event_loop.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

void read_rulebook(JsonnetReader& in, SafetyRules& book) {
    book.slow_start_duration = 10s;
    book.slow_start_initial_share = 0.2;
    book.slow_start_rate_multiple = 2;
    book.slow_start_window = 2s;
    in.read("cold_for", book.slow_start_duration);
    in.read("cold_share", book.slow_start_initial_share);
    in.read("push_multiple", book.slow_start_rate_multiple);
    in.read("push_span", book.slow_start_window);
    in.read("load_span", book.load_budget_window);
    in.read("free_loads", book.load_budget_base);
    in.read("loads_per_job", book.load_budget_per_request);
    if (book.slow_start_initial_share <= 0 || book.slow_start_initial_share > 1)
        in.fail("cold_share", "is not above 0 and at most 1");
    if (book.slow_start_window <= Time{}) in.fail("push_span", "is not above 0");
    if (book.slow_start_duration <= Time{}) in.fail("cold_for", "is not above 0");
}

void read_allowances(JsonnetReader& in, Capabilities& may) {
    may = {.cancellation = true,
           .health_checks = true,
           .hedging = true,
           .retry_after = true,
           .preload = false,
           .subscribes_endpoints = false,
           .on_demand_loading = true,
           .stable_capacity = true,
           .max_attempts = 5,
           .controller_count = 1,
           .max_retry_after = 2s,
           .keep_alive = 10s,
           .clock_resolution = 5ms,
           .memory_price = 0,
           .health_check_price = 0};
    in.read("call_off", may.cancellation);
    in.read("probe", may.health_checks);
    in.read("second_copies", may.hedging);
    in.read("retry_after", may.retry_after);
    in.read("order_copies", may.preload);
    in.read("loads_on_demand", may.on_demand_loading);
    in.read("steady_units", may.stable_capacity);
    in.read("hops", may.max_attempts, 1);
    in.read("controllers", may.controller_count, 1);
    in.read("longest_retry_after", may.max_retry_after);
    in.read("keep_alive", may.keep_alive);
    in.read("tick", may.clock_resolution);
    in.read("memory_price", may.memory_price);
    in.read("probe_price", may.health_check_price);
    if (may.clock_resolution < 1ms || may.clock_resolution > 100ms) in.fail("tick", "is not from 1ms to 100ms");
    if (!may.preload && !may.on_demand_loading)
        in.fail("loads_on_demand", "and order_copies are both false: nothing could ever be loaded");
}

void read_use_case(const std::string& name, JsonnetReader& in, NamedRequestClass& use) {
    use.name = name;
    in.require("promised", use.latency_target);
    in.read_enum<Idempotency>("repeat",
                              {{"replayable", Idempotency::idempotent},
                               {"referenced", Idempotency::deduplicated},
                               {"single_use", Idempotency::at_most_once}},
                              use.idempotency);
    in.read_enum<DeduplicationScope>("reach",
                                     {{"everywhere", DeduplicationScope::global},
                                      {"zone", DeduplicationScope::zone},
                                      {"cell", DeduplicationScope::cell}},
                                     use.deduplication_scope);
    in.read("remembered", use.deduplication_window);
    if (use.latency_target <= Time{}) in.fail("promised", "is not above 0");
    if (use.idempotency == Idempotency::deduplicated && use.deduplication_window <= Time{})
        in.fail("remembered", "is missing: how long invokers know a mark");
    if (!in.has("repeat")) in.fail("repeat", "is missing: replayable, referenced or single_use");
}

void read_admission(JsonnetReader& in, AdmissionLimits& admission) {
    in.read("connections", admission.max_connections, 1);
    in.read("open_jobs", admission.max_requests, 1);
    in.read("head_bytes", admission.max_head_bytes, 512);
    in.read("body_bytes", admission.max_body_bytes);
    in.read("memory_bytes", admission.max_memory_bytes, 1);
    in.read("name_bytes", admission.max_name_bytes, 1);
    in.read("head_within", admission.head_timeout);
    in.read("idle_for", admission.idle_timeout);
    in.read("least_rate", admission.min_body_rate);
    in.read("unread_for", admission.unread_timeout);
    in.read("longest_left", admission.max_remaining);
    in.read("shortest_left", admission.min_remaining);
    if (in.has("assumed_left")) {
        admission.default_remaining = Time{};
        in.read("assumed_left", *admission.default_remaining);
        if (*admission.default_remaining < admission.min_remaining ||
            *admission.default_remaining > admission.max_remaining)
            in.fail("assumed_left", "is not from shortest_left to longest_left");
    }
    // A head has to fit into the buffer that it is read through.
    if (admission.max_head_bytes > 64 * 1024) in.fail("head_bytes", "is over 65536");
}

void check_address(JsonnetReader& in, std::string_view key, const std::string& text) {
    if (!net::Address::parse(text)) in.fail(key, "'" + text + "' is no address such as 127.0.0.1:7400");
}

void read_list(JsonnetReader& in, EndpointSource& list) {
    in.read("consul", list.consul);
    in.read("service", list.service);
    in.read("wait", list.wait);
    in.read("answer_slack", list.response_slack);
    in.read_array("fixed", [&](JsonnetReader& entry) {
        StaticInvoker& invoker = list.fixed.emplace_back();
        entry.require("address", invoker.address);
        check_address(entry, "address", invoker.address);
        invoker.name = invoker.address;
        entry.read("name", invoker.name);
        entry.read("zone", invoker.zone);
        entry.read("kind", invoker.type);
        entry.read("units", invoker.capacity);
        entry.read("cell", invoker.cell);
    });
    if (!list.consul.empty()) check_address(in, "consul", list.consul);
    if (list.consul.empty() == list.fixed.empty()) in.fail("consul", "or fixed, just one of them, tells the invokers");
    if (list.wait < 100ms || list.wait > 10min) in.fail("wait", "is not from 100ms to 10min");
}

void read_lines(JsonnetReader& in, PoolConfig& lines) {
    in.read("most", lines.max_connections, 1);
    in.read("queued", lines.max_queued);
    in.read("connect_within", lines.connect_timeout);
    in.read("idle_for", lines.idle_timeout);
    in.read("probe_within", lines.health_check_timeout);
    in.read("order_within", lines.preload_timeout);
    in.read("answer_held", lines.max_buffered_response);
    in.read("stream_ahead", lines.stream_buffer_bytes, 1);
}

void read_log(JsonnetReader& in, LogConfig& log) {
    in.read("file", log.file);
    in.read("level", log.level);
    in.read("lines_per_s", log.max_lines_per_s);
    in.read("burst", log.burst);
    in.read("queued", log.queue_size, 16);
    if (log.level != "debug" && log.level != "info" && log.level != "warn" && log.level != "error")
        in.fail("level", "is none of: debug, info, warn, error");
}

void read_trace(JsonnetReader& in, trace::RecorderConfig& trace) {
    in.read("folder", trace.folder);
    in.read("memory_bytes", trace.max_memory_bytes, 1024 * 1024);
    in.read("block_bytes", trace.block_bytes, 4096);
    in.read("file_bytes", trace.max_file_bytes, 1024 * 1024);
    in.read("file_for", trace.max_file_age);
    in.read("keep_files", trace.max_files, 1);
    in.read("keep_for", trace.max_age);
    in.read("sample", trace.sample_ratio);
    in.read("reasons", trace.record_candidates);
    if (!(trace.sample_ratio >= 0 && trace.sample_ratio <= 1)) in.fail("sample", "is not from 0 to 1");
    if (trace.block_bytes > trace::max_block_bytes / 2) in.fail("block_bytes", "is over 8388608");
}

// A token that others on the machine could read is not taken.
std::string read_token(JsonnetReader& in, const std::string& file) {
    struct stat facts {};
    std::ifstream text(file);
    std::string token;
    if (::stat(file.c_str(), &facts) != 0 || !std::getline(text, token) || token.empty())
        in.fail("bearer_file", "can't be read, or its first line is empty");
    else if (facts.st_mode & (S_IRWXG | S_IRWXO))
        in.fail("bearer_file", "may be read by others: chmod 600");
    return token;
}

void read_receiver(const std::string& name, JsonnetReader& in, remote_write::ReceiverConfig& receiver) {
    std::string bearer_file;
    receiver.name = name;
    in.require("address", receiver.address);
    check_address(in, "address", receiver.address);
    in.read("path", receiver.path);
    in.read("within", receiver.timeout);
    in.read("bearer_file", bearer_file);
    in.read("most_samples", receiver.send_control.max_batch, 1);
    in.read("catch_up", receiver.send_control.catch_up_ratio);
    if (!bearer_file.empty()) receiver.bearer = read_token(in, bearer_file);
    if (!(receiver.send_control.catch_up_ratio > 1)) in.fail("catch_up", "is not over 1: a backlog would never end");
    receiver.send_control.min_batch = std::min(receiver.send_control.min_batch, receiver.send_control.max_batch);
}

void read_remote(JsonnetReader& in, remote_write::ExporterConfig& remote) {
    std::size_t parts = 4;
    Time age = remote.queue.max_age;
    in.read("folder", remote.queue.folder);
    in.read("bytes", remote.queue.max_bytes, 1024 * 1024);
    in.read("age", age);
    in.read("parts", parts, 1);
    in.read("every", remote.interval);
    in.read("farewell", remote.shutdown_timeout);
    in.read_members("receivers", [&](const std::string& name, JsonnetReader& part) {
        read_receiver(name, part, remote.receivers.emplace_back());
    });
    if (parts > 64) in.fail("parts", "is over 64");
    if (remote.interval < std::chrono::milliseconds(100)) in.fail("every", "is under 100ms");
    if (!remote.receivers.empty() && remote.queue.folder.empty())
        in.fail("folder", "is missing: samples wait there for their receivers");
    remote.queue.shards = static_cast<int>(parts);
    remote.queue.max_age = std::chrono::duration_cast<std::chrono::milliseconds>(age);
    for (remote_write::ReceiverConfig& each : remote.receivers) each.send_control.max_concurrency = remote.queue.shards;
}

void read_metrics(JsonnetReader& in, MetricsSettings& metrics) {
    in.read("on", metrics.enabled);
    in.read("tenants", metrics.config.max_tenants, 1);
    in.read("functions", metrics.config.max_functions, 1);
    in.read("every", metrics.config.interval);
    if (metrics.config.interval < std::chrono::milliseconds(100)) in.fail("every", "is under 100ms");
}

}  // namespace

GatewayConfig load_config(const std::string& file, const std::map<std::string, std::string>& given) {
    const boost::json::value value = evaluate_jsonnet(file, given);
    GatewayConfig config;
    JsonnetReader in(value, file);
    in.read("name", config.name);
    in.read("listen", config.listen);
    check_address(in, "listen", config.listen);
    in.read("says_company", config.reports_concurrency);
    in.read_object("rulebook", [&](JsonnetReader& part) { read_rulebook(part, config.safety_rules); });
    in.read_object("allowances", [&](JsonnetReader& part) { read_allowances(part, config.capabilities); });
    in.read_object("door", [&](JsonnetReader& part) { read_admission(part, config.admission); });
    in.read_object("list", [&](JsonnetReader& part) { read_list(part, config.endpoint_source); });
    in.read_object("lines", [&](JsonnetReader& part) { read_lines(part, config.pool); });
    in.read_object("log", [&](JsonnetReader& part) { read_log(part, config.log); });
    in.read_object("trace", [&](JsonnetReader& part) { read_trace(part, config.trace); });
    in.read_object("metrics", [&](JsonnetReader& part) { read_metrics(part, config.metrics); });
    in.read_object("remote", [&](JsonnetReader& part) { read_remote(part, config.remote_write); });
    in.read_members("use_cases", [&](const std::string& name, JsonnetReader& part) {
        read_use_case(name, part, config.request_classes[name]);
    });
    in.read_members("tenants", [&](const std::string& name, JsonnetReader& part) {
        part.read("share_per_s", config.tenants[name].quota_per_s);
    });
    config.remote_write.controller = config.name;
    in.reject_unknown_fields();
    if (config.request_classes.empty()) in.fail("use_cases", "is missing: at least one is needed");
    return config;
}

}  // namespace plumkeel
