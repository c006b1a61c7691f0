/// A child process with a pipe to its standard input.
#pragma once

#include <boost/process.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace plumkeel::emulator {

/// Starts a program, and kills it in the destructor.
class ChildProcess {
public:
    /// Standard output and standard error go to `log_file`. Throws std::system_error if the program can't be started.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_file);
    ~ChildProcess() { kill(); }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Writes a line to the standard input; does nothing if the process has ended.
    void send_line(const std::string& line);
    void signal(int signal_number);
    void kill();
    bool is_running() { return child_.running(); }
    /// Waits for the process to end. Returns its exit status, or -1 if it still runs after `timeout`.
    int wait(std::chrono::milliseconds timeout);

private:
    boost::process::opstream input_;
    boost::process::child child_;
};

}  // namespace plumkeel::emulator
