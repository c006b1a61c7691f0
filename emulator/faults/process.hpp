/// A real process of a test: started by path, controlled by signals, waited for.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumkeel::faults {

/// How a process ended.
struct Ending {
    bool exited{};  // else a signal ended it
    int code{};     // its exit status, or that signal
};

/// Killed with this object.
class Process {
public:
    /// `environment` is added to this process's. Its standard error goes to `log`, or nowhere. Throws
    /// std::system_error.
    Process(std::vector<std::string> command, const std::map<std::string, std::string>& environment,
            const std::string& log = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return pid_; }
    void signal(int number) const;
    // Its end, if it has ended by now.
    std::optional<Ending> ended();
    std::optional<Ending> wait(std::chrono::milliseconds limit);

private:
    pid_t pid_{};
    std::optional<Ending> ending_;
};

}  // namespace plumkeel::faults
