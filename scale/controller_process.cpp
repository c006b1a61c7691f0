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

constexpr std::string_view list_event = "\"endpoints_updated\"";
constexpr int stat_fields_before_times = 11;  // behind the program's name, see proc(5)

}  // namespace

ControllerProcess::ControllerProcess(const PlatformCase& platform_case, std::size_t number,
                                     const std::filesystem::path& folder)
    : config_(folder / fmt::format("n{}.json", number)), log_(folder / fmt::format("n{}.log", number)) {
    std::ofstream(config_) << controller_config(platform_case, number);
    process::environment environment = boost::this_process::environment();
    environment["EDGE_NAME"] = fmt::format("n{}", number);
    environment["EDGE_LISTEN"] = fmt::format("127.0.0.1:{}", first_controller_port + number);
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
    std::string text;
    std::getline(std::ifstream(fmt::format("/proc/{}/stat", pid)), text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
    std::string skipped;
    for (int i = 0; i < stat_fields_before_times; ++i) fields >> skipped;
    double user = 0, system = 0, pages = 0;
    fields >> user >> system;
    usage.processor_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream(fmt::format("/proc/{}/statm", pid)) >> pages >> pages;  // the second field is the resident set
    usage.resident_bytes = pages * static_cast<double>(sysconf(_SC_PAGE_SIZE));
    return usage;
}

std::optional<double> ControllerProcess::applied_change_at(std::uint64_t event_number) const {
    std::ifstream log(log_);
    for (std::string line; std::getline(log, line);) {
        if (line.find(list_event) == std::string::npos) continue;
        const boost::json::object record = boost::json::parse(line).as_object();
        if (record.at("event").to_number<std::uint64_t>() == event_number) return record.at("at").to_number<double>();
    }
    return std::nullopt;
}

}  // namespace plumkeel::scale
