// What the platform tells a controller at its start, decoded once and checked: its configuration file into a
// Charter, with the bounds that follow from its limits.
#pragma once

#include <cstdint>
#include <string>

#include "discovery/frames.hpp"
#include "charter/charter.hpp"
#include "net/world.hpp"
#include "runline/pool.hpp"

namespace plumkeel::platform {

struct Config {
    Charter charter;
    std::uint64_t seed{};
    std::size_t descriptors{}, memory_mb{};
    net::Address discovery;
    std::vector<discovery::Event> known;
    std::uint64_t known_to{};  // the last event in `known`
    discovery::Places places;
    runline::Sight sight;
};

// Throws settings::Fault, naming file and field.
Config read_config(const std::string& file);

}  // namespace plumkeel::platform
