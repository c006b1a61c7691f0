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
    std::vector<std::string> settings;
    for (char** each = environ; *each; ++each) {
        const std::string setting = *each;
        if (!environment.count(setting.substr(0, setting.find('=')))) settings.push_back(setting);
    }
    for (const auto& [name, value] : environment) settings.push_back(name + "=" + value);
    const auto pointers = [](std::vector<std::string>& texts) {
        std::vector<char*> out;
        for (std::string& each : texts) out.push_back(each.data());
        out.push_back(nullptr);
        return out;
    };
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    const std::string to = log.empty() ? "/dev/null" : log;
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, to.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    // It must not inherit sockets: a connection would not end with this process.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failed = ::posix_spawn(&pid_, command.front().c_str(), &actions, nullptr, pointers(command).data(),
                                     pointers(settings).data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (failed) throw std::system_error(failed, std::generic_category(), command.front());
}

Process::~Process() {
    if (ended()) return;
    ::kill(pid_, SIGKILL);
    while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
    }
}

void Process::signal(int number) const {
    if (!ending_) ::kill(pid_, number);
}

std::optional<Ending> Process::ended() {
    int status = 0;
    if (!ending_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
        ending_ = WIFEXITED(status) ? Ending{true, WEXITSTATUS(status)} : Ending{false, WTERMSIG(status)};
    return ending_;
}

std::optional<Ending> Process::wait(std::chrono::milliseconds limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!ended() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return ending_;
}

}  // namespace plumkeel::faults
