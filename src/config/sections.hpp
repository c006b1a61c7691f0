/// Functions that each read one section of a gateway's configuration; called by `load_config`, and private to
/// src/config. Some settings have other names in the file than the fields that store them.
#pragma once

#include <string>
#include <string_view>

#include "config/gateway_config.hpp"
#include "config/jsonnet_reader.hpp"

namespace plumkeel::config_sections {

// Defined in scheduler_sections.cpp:
void read_safety_rules(JsonnetReader& in, SafetyRules& rules);
void read_capabilities(JsonnetReader& in, Capabilities& capabilities);
void read_request_class(const std::string& name, JsonnetReader& in, NamedRequestClass& request_class);

// Defined in connection_sections.cpp:
void check_address(JsonnetReader& in, std::string_view key, const std::string& address);
void read_admission(JsonnetReader& in, AdmissionLimits& limits);
void read_endpoint_source(JsonnetReader& in, EndpointSource& source);
void read_pool(JsonnetReader& in, PoolConfig& pool);

// Defined in telemetry_sections.cpp:
void read_log(JsonnetReader& in, LogConfig& log);
void read_trace(JsonnetReader& in, trace::RecorderConfig& trace);
void read_metrics(JsonnetReader& in, MetricsSettings& metrics);
void read_remote_write(JsonnetReader& in, remote_write::ExporterConfig& remote_write);

}  // namespace plumkeel::config_sections
