// What a controller is given at its start, decoded once from a Jsonnet template and checked.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.hpp"
#include "config/jsonnet_reader.hpp"
#include "metrics/metrics_config.hpp"
#include "remote_write/exporter.hpp"
#include "scheduler/types.hpp"
#include "trace/recorder.hpp"

namespace plumkeel {

struct NamedRequestClass : RequestClass {
    std::string name;
};

struct StaticInvoker {  // one of a fixed list
    std::string name, address, zone, type;
    double capacity = 1;
    int cell{};
};

struct EndpointSource {
    std::string consul;  // host:port of its HTTP interface; empty: `fixed` is the whole list
    std::string service = "invokers";
    Time wait = std::chrono::seconds(30);
    Time response_slack = std::chrono::seconds(5);  // beyond the wait, before a poll counts as lost
    std::vector<StaticInvoker> fixed;
};

struct PoolConfig {  // the connections to one invoker
    std::size_t max_connections = 256;
    std::size_t max_invokers =
        40'000;  // held at once, those that left in the last seconds among them; further ones are not taken up
    std::size_t max_total_connections = 100'000;  // to all invokers together; each has one all the same
    std::size_t max_attempts_per_connection = 1;  // where the protocol carries several
    std::size_t max_queued = 1024;                // hops that wait for a connection; beyond: turned back as never sent
    Time connect_timeout = std::chrono::milliseconds(250);
    Time idle_timeout = std::chrono::seconds(15);
    Time health_check_timeout = std::chrono::milliseconds(500);
    Time preload_timeout = std::chrono::seconds(10);
    Time response_timeout =
        std::chrono::milliseconds(500);             // from its first byte to its last, where others wait behind it
    std::size_t max_buffered_response = 64 * 1024;  // larger answers stream to the client
    std::size_t stream_buffer_bytes = 256 * 1024;   // of a streamed answer, kept for a slow client
};

struct LogConfig {
    std::string file;  // empty: standard error
    std::string level = "info";
    double max_lines_per_s = 20;  // of one kind
    double burst = 100;
    std::size_t queue_size = 8192;
};

struct MetricsSettings {
    bool enabled = true;
    metrics::MetricsConfig config;
};

struct GatewayConfig {
    std::string name = "controller";
    std::string listen = "127.0.0.1:7400";
    SafetyRules safety_rules;
    Capabilities capabilities;
    AdmissionLimits admission;
    EndpointSource endpoint_source;
    PoolConfig pool;
    LogConfig log;
    trace::RecorderConfig trace;
    MetricsSettings metrics;
    remote_write::ExporterConfig remote_write;
    bool reports_concurrency = true;
    std::map<std::string, NamedRequestClass, std::less<>> request_classes;
    std::map<std::string, Tenant> tenants;
};

// Throws CharterFault.
GatewayConfig load_config(const std::string& file, const std::map<std::string, std::string>& given = {});

}  // namespace plumkeel
