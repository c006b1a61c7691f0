// What the platform tells a controller at its start, decoded once and checked: its configuration file into a
// Charter, with the bounds that follow from its limits.
#pragma once

#include <cstdint>
#include <string>

#include "board/frames.hpp"
#include "charter/charter.hpp"
#include "net/world.hpp"
#include "runline/lines.hpp"

namespace plumkeel::platform {

struct Config {
    Charter charter;
    std::uint64_t seed{};
    std::size_t descriptors{}, memory_mb{};
    net::Address board;
    std::vector<board::Event> known;
    std::uint64_t known_to{};  // the last event in `known`
    board::Places places;
    runline::Sight sight;
};

// Throws settings::Fault, naming file and field.
Config read_config(const std::string& file);

}  // namespace plumkeel::platform
