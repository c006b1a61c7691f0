// The module as the adapter hosts it to record a day: the same calls, each written to a trace file of its
// instance in the folder that PLUMKEEL_TRACES names. It writes as it goes, and drops nothing: the simulator waits.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <string>

#include "trace/file.hpp"
#include "trace/recording_scheduler.hpp"
#include "trace/writer.hpp"

namespace plumkeel {

using Hosted = trace::RecordingScheduler;

inline std::unique_ptr<Hosted> host(const std::string& who, Time clock, std::uint64_t seed, const SafetyRules& rules,
                                    const Capabilities& may, const std::map<std::string, RequestClass>& request_classes,
                                    const std::map<std::string, Tenant>& tenants) {
    trace::Start start{who, seed, rules, may, {}, {}};
    std::vector<const RequestClass*> uses;
    std::vector<const Tenant*> users;
    for (const auto& [name, use] : request_classes) {
        start.request_classes.emplace_back(name, use);
        uses.push_back(&use);
    }
    for (const auto& [name, tenant] : tenants) {
        start.tenants.emplace_back(name, tenant.quota_per_s);
        users.push_back(&tenant);
    }
    const char* folder = std::getenv("PLUMKEEL_TRACES");
    if (!folder) throw trace::TraceError("PLUMKEEL_TRACES names no folder");
    std::filesystem::create_directories(folder);
    struct File {
        trace::FileSink sink;
        trace::Writer writer;
        File(const std::string& name, Time begun) : sink(name), writer(sink, begun) {}
        ~File() { writer.finish(); }
    };
    std::string plain = who, name;
    for (char& c : plain)
        if (c == '/') c = '-';
    for (int n = 0; name.empty() || std::filesystem::exists(name); ++n)
        name = std::string(folder) + "/" + plain + "-" + std::to_string(clock.count() / 1000) + "-" +
               std::to_string(n) + ".trace";
    auto file = std::make_shared<File>(name, clock);
    return std::make_unique<Hosted>(std::move(start), std::move(uses), std::move(users),
                                    [file](const trace::Record& record) { file->writer.add(record); });
}

}  // namespace plumkeel
