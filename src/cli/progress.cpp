#include "cli/progress.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>

namespace plumkeel::cli {
namespace {

constexpr int bar_width_columns = 40;

}  // namespace

Progress::Progress(std::string label) : label_(std::move(label)), is_terminal_(isatty(STDERR_FILENO) == 1) {}

Progress::~Progress() {
    if (drawn_percent_ >= 0) fmt::print(stderr, "\r\033[K");
}

void Progress::update(double completed_share) {
    const int percent = static_cast<int>(completed_share * 100);
    if (!is_terminal_ || percent == drawn_percent_) return;
    drawn_percent_ = percent;
    const int filled_columns = percent * bar_width_columns / 100;
    fmt::print(stderr, "\r{} [{:#<{}}{:.<{}}] {:3}%", label_, "", filled_columns, "",
               bar_width_columns - filled_columns, percent);
    std::fflush(stderr);
}

}  // namespace plumkeel::cli
