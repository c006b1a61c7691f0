#include "cli/progress.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>

namespace plumkeel::cli {

Progress::Progress(std::string what) : what_(std::move(what)), shown_(isatty(STDERR_FILENO) == 1) {}

Progress::~Progress() {
    if (drawn_ >= 0) fmt::print(stderr, "\r\033[K");
}

void Progress::at(double part) {
    const int now = static_cast<int>(part * 100);
    if (!shown_ || now == drawn_) return;
    drawn_ = now;
    const int width = 40, done = now * width / 100;
    fmt::print(stderr, "\r{} [{:#<{}}{:.<{}}] {:3}%", what_, "", done, "", width - done, now);
    std::fflush(stderr);
}

}  // namespace plumkeel::cli
