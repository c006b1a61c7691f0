#include "emulator/faults/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <system_error>
#include <thread>

namespace plumkeel::faults {

Process::Process(std::vector<std::string> command, const std::map<std::string, std::string>& environment,
                 const std::string& log) {
    std::vector<std::string> variables;
    for (char** entry = environ; *entry; ++entry) {
        const std::string variable = *entry;
        if (!environment.count(variable.substr(0, variable.find('=')))) variables.push_back(variable);
    }
    for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
    const auto to_c_strings = [](std::vector<std::string>& strings) {
        std::vector<char*> c_strings;
        for (std::string& element : strings) c_strings.push_back(element.data());
        c_strings.push_back(nullptr);
        return c_strings;
    };
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    const std::string log_path = log.empty() ? "/dev/null" : log;
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    // The child must not inherit sockets of this process, which would keep connections open after this process closes
    // them.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = ::posix_spawn(&pid_, command.front().c_str(), &actions, nullptr, to_c_strings(command).data(),
                                    to_c_strings(variables).data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (error) throw std::system_error(error, std::generic_category(), command.front());
}

Process::~Process() {
    if (ended()) return;
    ::kill(pid_, SIGKILL);
    while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
    }
}

void Process::signal(int signal_number) const {
    if (!ending_) ::kill(pid_, signal_number);
}

std::optional<Ending> Process::ended() {
    int status = 0;
    if (!ending_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
        ending_ = WIFEXITED(status) ? Ending{true, WEXITSTATUS(status)} : Ending{false, WTERMSIG(status)};
    return ending_;
}

std::optional<Ending> Process::wait(std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!ended() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return ending_;
}

}  // namespace plumkeel::faults
