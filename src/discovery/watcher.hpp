// Follows the notice board over one connection: connects, says which event it has, and hands on what is new. A
// connection that breaks, leaves out an event, can't be read or falls silent is made anew from the last whole
// event; meanwhile the last list holds.
#pragma once

#include <functional>
#include <memory>

#include "discovery/frame_decoder.hpp"
#include "log/log.hpp"
#include "net/event_loop.hpp"
#include "net/notification.hpp"
#include "random/pcg.hpp"

namespace plumkeel::discovery {

struct WatchTimeouts {
    net::Time connect_timeout = std::chrono::seconds(1);
    net::Time silence_timeout = std::chrono::milliseconds(1800);  // the board says something each second
    net::Time initial_backoff = std::chrono::milliseconds(50), max_backoff = std::chrono::milliseconds(800);
};

class Watcher {
public:
    using OnEvent = std::function<void(const WatchEvent&)>;
    // `seed` sets the pauses of this one apart from those of all other controllers, which lose the board together.
    Watcher(net::EventLoop& loop, Log& log, LabelTable places, net::Address address, std::uint64_t last, OnEvent told,
            std::uint64_t seed, WatchTimeouts patience = {});

    void start();  // until the world ends
    // The board has another address; numbers go on.
    void set_address(net::Address address);
    std::uint64_t last() const { return order_.last(); }
    std::optional<net::Time> confirmed_at() const { return confirmed_at_; }  // when it was last known to be up to date
    std::uint64_t connections() const { return connections_; }

private:
    net::Task<> run();
    net::Task<const char*> listen(std::shared_ptr<net::Stream> stream);

    net::EventLoop& loop_;
    Log& log_;
    const LabelTable labels_;
    net::Address address_;
    EventSequence order_;
    const OnEvent on_event_;
    const WatchTimeouts timeouts_;
    std::shared_ptr<net::Stream> stream_;
    std::optional<net::Time> confirmed_at_;
    std::uint64_t connections_{};
    int failures_{};            // connections in a row, since anything was heard
    int silent_connections_{};  // of these, such as came up and fell silent
    bool address_changed_{};
    net::Notification wake_;
    Pcg random_;
};

}  // namespace plumkeel::discovery
