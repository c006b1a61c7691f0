/// Starts a program as a child process of a test, sends signals to it and waits for its end.
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
    bool exited{};  // true: it exited; false: a signal killed it
    int code{};     // the exit status or the number of the signal
};

/// A child process. The destructor kills it with SIGKILL if it still runs.
class Process {
public:
    /// Starts `command`, whose first element is the path of the program. `environment` is added to the environment of
    /// this process and overrides it. Standard error is appended to the file `log`, or discarded if `log` is empty.
    /// Throws std::system_error if the program cannot be started.
    Process(std::vector<std::string> command, const std::map<std::string, std::string>& environment,
            const std::string& log = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return pid_; }
    /// Sends a signal, unless the process is known to have ended.
    void signal(int signal_number) const;
    /// Returns how the process ended, or nullopt if it still runs. Does not block.
    std::optional<Ending> ended();
    /// Waits for the end of the process for at most `timeout`; returns nullopt if it still runs then.
    std::optional<Ending> wait(std::chrono::milliseconds timeout);

private:
    pid_t pid_{};
    std::optional<Ending> ending_;
};

}  // namespace plumkeel::faults
