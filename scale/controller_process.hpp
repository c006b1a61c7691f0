/// Runs one `plumkeel platform` process, with its settings file and its log in a given folder.
#pragma once

#include <boost/process.hpp>
#include <filesystem>
#include <optional>

#include "scale/platform_run.hpp"

namespace plumkeel::scale {

struct ProcessUsage {
    double processor_s{}, resident_bytes{};
};

/// The destructor terminates the process.
class ControllerProcess {
public:
    ControllerProcess(const PlatformCase& platform_case, std::size_t process_number,
                      const std::filesystem::path& folder);
    ~ControllerProcess();
    ControllerProcess(const ControllerProcess&) = delete;
    ControllerProcess& operator=(const ControllerProcess&) = delete;

    bool is_running() { return child_.running(); }
    void terminate();
    ProcessUsage usage() const;
    double config_bytes() const { return static_cast<double>(std::filesystem::file_size(config_)); }
    double log_bytes() const { return static_cast<double>(std::filesystem::file_size(log_)); }
    /// The time in seconds since the Unix epoch at which the process logged that it applied this discovery event; empty
    /// if it has not logged it.
    std::optional<double> applied_change_at(std::uint64_t event_number) const;

private:
    const std::filesystem::path config_, log_;
    boost::process::child child_;
};

}  // namespace plumkeel::scale
