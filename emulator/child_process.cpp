#include "emulator/child_process.hpp"

#include <signal.h>

namespace plumkeel::emulator {

namespace bp = boost::process;

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
                           const std::string& log_file)
    : child_(bp::exe = program, bp::args = arguments, bp::std_in<input_, bp::std_out> log_file,
             bp::std_err > log_file) {}

void ChildProcess::send_line(const std::string& line) {
    if (child_.running()) input_ << line << std::endl;
}

void ChildProcess::signal(int signal_number) {
    ::kill(child_.id(), signal_number);
}

void ChildProcess::kill() {
    std::error_code ignored;
    if (child_.valid()) child_.terminate(ignored);
    child_.wait(ignored);
}

int ChildProcess::wait(std::chrono::milliseconds timeout) {
    std::error_code ignored;
    return child_.wait_for(timeout, ignored) ? child_.exit_code() : -1;
}

}  // namespace plumkeel::emulator
