// Follows the notice board over one connection: connects, says which event it has, and hands on what is new. A
// connection that breaks, leaves out an event, can't be read or falls silent is made anew from the last whole
// event; meanwhile the last list holds.
#pragma once

#include <functional>
#include <memory>

#include "discovery/frames.hpp"
#include "chance/pcg.hpp"
#include "log/log.hpp"
#include "net/world.hpp"

namespace plumkeel::discovery {

struct Patience {
    net::Time connect_within = std::chrono::seconds(1);
    net::Time silent_for = std::chrono::milliseconds(1800);  // the board says something each second
    net::Time first_pause = std::chrono::milliseconds(50), longest_pause = std::chrono::milliseconds(800);
};

class Watch {
public:
    using Told = std::function<void(const Event&)>;
    // `seed` sets the pauses of this one apart from those of all other controllers, which lose the board together.
    Watch(net::World& world, Log& log, Places places, net::Address address, std::uint64_t last, Told told, std::uint64_t seed,
          Patience patience = {});

    void follow();  // until the world ends
    // The board has another address; numbers go on.
    void move_to(net::Address address);
    std::uint64_t last() const { return order_.last(); }
    std::optional<net::Time> told_at() const { return told_at_; }  // when it was last known to be up to date
    std::uint64_t connections() const { return connections_; }

private:
    net::Task<> run();
    net::Task<const char*> listen(std::shared_ptr<net::Stream> stream);

    net::World& world_;
    Log& log_;
    const Places places_;
    net::Address address_;
    Order order_;
    const Told told_;
    const Patience patience_;
    std::shared_ptr<net::Stream> stream_;
    std::optional<net::Time> told_at_;
    std::uint64_t connections_{};
    int lost_{};     // connections in a row, since anything was heard
    int unheard_{};  // of these, such as came up and fell silent
    bool moved_{};
    net::Signal sooner_;
    Pcg chance_;
};

}  // namespace plumkeel::discovery
