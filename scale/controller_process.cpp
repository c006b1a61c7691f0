#include "scale/controller_process.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <fstream>
#include <sstream>

#include "scale/platform_config.hpp"

namespace plumkeel::scale {
namespace {

namespace process = boost::process;

constexpr std::string_view endpoints_updated_event = "\"endpoints_updated\"";
constexpr int stat_fields_before_utime = 11;  // in /proc/PID/stat, after the program's name; see proc(5)

}  // namespace

ControllerProcess::ControllerProcess(const PlatformCase& platform_case, std::size_t process_number,
                                     const std::filesystem::path& folder)
    : config_(folder / fmt::format("n{}.json", process_number)), log_(folder / fmt::format("n{}.log", process_number)) {
    std::ofstream(config_) << controller_config(platform_case, process_number);
    process::environment environment = boost::this_process::environment();
    environment["EDGE_NAME"] = fmt::format("n{}", process_number);
    environment["EDGE_LISTEN"] = fmt::format("127.0.0.1:{}", first_controller_port + process_number);
    environment["EDGE_CONFIG"] = config_.string();
    child_ = process::child(platform_case.program, "platform", environment, process::std_err > log_.string(),
                            process::std_out > process::null, process::limit_handles);
}

ControllerProcess::~ControllerProcess() {
    if (child_.running()) child_.terminate();
}

void ControllerProcess::terminate() {
    ::kill(child_.id(), SIGTERM);
}

ProcessUsage ControllerProcess::usage() const {
    ProcessUsage usage;
    const int pid = child_.id();
    std::string stat_line;
    std::getline(std::ifstream(fmt::format("/proc/{}/stat", pid)), stat_line);
    std::istringstream stat_fields(stat_line.substr(std::min(stat_line.size(), stat_line.rfind(')') + 2)));
    std::string skipped_field;
    for (int i = 0; i < stat_fields_before_utime; ++i) stat_fields >> skipped_field;
    double user_ticks = 0, system_ticks = 0, resident_pages = 0;
    stat_fields >> user_ticks >> system_ticks;
    usage.processor_s = (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    // The resident set is the second field of statm; the first one is overwritten.
    std::ifstream(fmt::format("/proc/{}/statm", pid)) >> resident_pages >> resident_pages;
    usage.resident_bytes = resident_pages * static_cast<double>(sysconf(_SC_PAGE_SIZE));
    return usage;
}

std::optional<double> ControllerProcess::applied_change_at(std::uint64_t event_number) const {
    std::ifstream log(log_);
    for (std::string line; std::getline(log, line);) {
        if (line.find(endpoints_updated_event) == std::string::npos) continue;
        const boost::json::object log_record = boost::json::parse(line).as_object();
        if (log_record.at("event").to_number<std::uint64_t>() == event_number)
            return log_record.at("at").to_number<double>();
    }
    return std::nullopt;
}

}  // namespace plumkeel::scale
