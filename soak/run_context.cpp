#include "soak/run_context.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <iostream>

namespace plumkeel::soak {

void RunContext::log(const std::string& line) const {
    if (!options.quiet) std::cerr << fmt::format("{:7.2f} {}\n", static_cast<double>(loop.now().count()) / 1e6, line);
}

std::string loopback_host(HostGroup group, std::uint32_t number) {
    return fmt::format("127.{}.{}.{}", 100 + (::getpid() >> 6) % 64, (::getpid() & 63) * 4 + static_cast<int>(group),
                       number + 1);
}

}  // namespace plumkeel::soak
