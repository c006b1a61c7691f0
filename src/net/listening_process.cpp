#include "net/listening_process.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <system_error>
#include <vector>

namespace plumkeel::net {
namespace {

namespace fs = std::filesystem;

// Columns of /proc/net/tcp and /proc/net/tcp6 (proc(5)).
constexpr std::size_t local_address_column = 1;
constexpr std::size_t state_column = 3;
constexpr std::size_t inode_column = 9;
constexpr const char* listen_state = "0A";
constexpr int hexadecimal = 16;

/// Target of the /proc/PID/fd link of the socket that listens on the port; empty if no socket does.
std::string listening_socket_link(std::uint16_t port) {
    std::string link;
    for (const char* table : {"/proc/net/tcp", "/proc/net/tcp6"}) {
        std::ifstream in(table);
        for (std::string line; std::getline(in, line);) {
            std::istringstream words(line);
            const std::vector<std::string> columns{std::istream_iterator<std::string>(words), {}};
            if (columns.size() <= inode_column || columns[state_column] != listen_state) continue;
            const std::string& local_address = columns[local_address_column];
            const auto colon = local_address.rfind(':');
            if (std::stoul(local_address.substr(colon + 1), nullptr, hexadecimal) == port)
                link = "socket:[" + columns[inode_column] + "]";
        }
    }
    return link;
}

bool has_descriptor(const fs::path& process, const std::string& link) {
    std::error_code error;
    for (fs::directory_iterator it(process / "fd", error), end; !error && it != end; it.increment(error)) {
        std::error_code ignored;
        if (fs::read_symlink(it->path(), ignored) == link) return true;
    }
    return false;
}

}  // namespace

std::string listening_process(std::uint16_t port) {
    const std::string link = listening_socket_link(port);
    if (link.empty()) return {};
    std::error_code ignored;
    for (const auto& process : fs::directory_iterator("/proc", ignored)) {
        const std::string pid = process.path().filename();
        if (pid.find_first_not_of("0123456789") != std::string::npos) continue;
        if (!has_descriptor(process.path(), link)) continue;
        std::string name;
        std::getline(std::ifstream(process.path() / "comm"), name);
        return "pid " + pid + " (" + name + ")";
    }
    return {};
}

}  // namespace plumkeel::net
