// Asks the list source what the Follower wants asked, and hands on what it believes.
#pragma once

#include <functional>

#include "charter/charter.hpp"
#include "fleet/follower.hpp"
#include "log/log.hpp"
#include "net/world.hpp"

namespace plumkeel::fleet {

class Roster {
public:
    using Told = std::function<void(const std::vector<Entry>& changed, bool complete)>;

    Roster(net::World& world, const ListSource& source, std::string asker, Log& log, std::uint64_t seed, Told told);
    void follow();  // until the world ends
    const Follower& follower() const { return follower_; }

private:
    struct Got {
        bool whole{};
        int status{};
        std::optional<std::uint64_t> index;
        std::string body;
    };
    net::Task<> run();
    net::Task<Got> ask(Follower::Ask ask);

    net::World& world_;
    const ListSource source_;
    const std::string asker_;
    Log& log_;
    Follower follower_;
    Told told_;
};

}  // namespace plumkeel::fleet
