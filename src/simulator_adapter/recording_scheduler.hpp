/// The scheduler with its calls recorded. Each controller writes a trace file to the folder named by the environment
/// variable PLUMKEEL_TRACES. Records are written synchronously, so none is dropped.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "simulator_adapter/scheduler_setup.hpp"
#include "trace/file.hpp"
#include "trace/recording_scheduler.hpp"
#include "trace/writer.hpp"

namespace plumkeel::simulator_adapter {

using HostedScheduler = trace::RecordingScheduler;

struct TraceFile {
    trace::FileSink sink;
    trace::Writer writer;
    TraceFile(const std::string& name, Time started_at) : sink(name), writer(sink, started_at) {}
    ~TraceFile() { writer.finish(); }
};

/// Returns FOLDER/CONTROLLER-STARTED_MS-N.trace with the lowest N for which no file exists.
inline std::string unused_trace_name(const std::string& folder, std::string controller, Time started_at) {
    for (char& character : controller)
        if (character == '/') character = '-';
    std::string name;
    for (int suffix = 0; name.empty() || std::filesystem::exists(name); ++suffix)
        name = folder + "/" + controller + "-" + std::to_string(started_at.count() / 1000) + "-" +
               std::to_string(suffix) + ".trace";
    return name;
}

inline std::unique_ptr<HostedScheduler> make_scheduler(const SchedulerSetup& setup) {
    trace::SchedulerSettings start{setup.controller, setup.seed, setup.safety_rules, setup.capabilities, {}, {}};
    std::vector<const RequestClass*> request_classes;
    std::vector<const Tenant*> tenants;
    for (const auto& [name, request_class] : setup.request_classes) {
        start.request_classes.emplace_back(name, request_class);
        request_classes.push_back(&request_class);
    }
    for (const auto& [name, tenant] : setup.tenants) {
        start.tenants.emplace_back(name, tenant.quota_per_s);
        tenants.push_back(&tenant);
    }
    const char* folder = std::getenv("PLUMKEEL_TRACES");
    if (!folder) throw trace::TraceError("PLUMKEEL_TRACES is not set: it must name the folder for trace files");
    std::filesystem::create_directories(folder);
    const auto file =
        std::make_shared<TraceFile>(unused_trace_name(folder, setup.controller, setup.started_at), setup.started_at);
    return std::make_unique<HostedScheduler>(std::move(start), std::move(request_classes), std::move(tenants),
                                             [file](const trace::Record& record) { file->writer.add(record); });
}

}  // namespace plumkeel::simulator_adapter
