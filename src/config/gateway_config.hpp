/// The configuration of a gateway, decoded once from a Jsonnet template and checked. Durations are microseconds.
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

/// One invoker of a fixed list in the configuration.
struct StaticInvoker {
    std::string name, address, zone, type;
    double capacity = 1;
    int cell{};
};

/// Where the list of invokers comes from: exactly one of `consul` and `fixed` is set.
struct EndpointSource {
    std::string consul;  ///< `HOST:PORT` of Consul's HTTP interface.
    std::string service = "invokers";
    Time wait = std::chrono::seconds(30);           ///< How long Consul may block a poll.
    Time response_slack = std::chrono::seconds(5);  ///< Added to `wait` before a poll counts as failed.
    std::vector<StaticInvoker> fixed;
};

/// The connections to invokers. Limits are per invoker unless stated otherwise.
struct PoolConfig {
    std::size_t max_connections = 256;
    /// Limit on the invokers known at once, including those just removed; further ones are ignored.
    std::size_t max_invokers = 40'000;
    /// Limit for all invokers together; an invoker may have one connection even if it is reached.
    std::size_t max_total_connections = 100'000;
    std::size_t max_attempts_per_connection = 1;  ///< Above 1 if the protocol multiplexes.
    /// Limit on the attempts that wait for a connection to one invoker; further ones end with the outcome `never_sent`.
    std::size_t max_queued = 1024;
    Time connect_timeout = std::chrono::milliseconds(250);
    Time idle_timeout = std::chrono::seconds(15);
    Time health_check_timeout = std::chrono::milliseconds(500);
    Time preload_timeout = std::chrono::seconds(10);
    /// Time from a response's first byte to its last, where other responses wait on the same connection.
    Time response_timeout = std::chrono::milliseconds(500);
    std::size_t max_buffered_response = 64 * 1024;  ///< Bytes; larger responses are streamed.
    std::size_t stream_buffer_bytes = 256 * 1024;   ///< Buffered for a slow client.
};

struct LogConfig {
    std::string file;               ///< Empty: standard error.
    std::string level = "info";     ///< debug, info, warn or error.
    double max_lines_per_s = 20;    ///< Per event name.
    double burst = 100;             ///< Lines per event name written before the rate applies.
    std::size_t queue_size = 8192;  ///< Lines waiting to be written.
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

/// Loads a Jsonnet template; `variables` are its external variables. Throws `ConfigError`, naming file and field.
GatewayConfig load_config(const std::string& file, const std::map<std::string, std::string>& variables = {});

}  // namespace plumkeel
