/// A child process with a pipe to its standard input.
#pragma once

#include <boost/process.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace plumkeel::emulator {

/// Killed with this object.
class ChildProcess {
public:
    /// Both outputs go to `log_file`. Throws std::system_error.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_file);
    ~ChildProcess() { kill(); }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void send_line(const std::string& line);
    void signal(int number);
    void kill();
    bool is_running() { return child_.running(); }
    /// Its exit status, or -1 where it still runs after the timeout.
    int wait(std::chrono::milliseconds timeout);

private:
    boost::process::opstream input_;
    boost::process::child child_;
};

}  // namespace plumkeel::emulator
