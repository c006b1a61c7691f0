// A due time that is moved often and reached seldom, such as how long a connection may idle. Moving it later
// costs nothing: what stands in the world's order is looked at again when it falls due. It ends with its owner.
#pragma once

#include "net/world.hpp"

namespace plumkeel::net {

class Limit {
public:
    // `what` may destroy the limit's owner, as its last act.
    Limit(World& world, std::function<void()> what) : world_(world), what_(std::move(what)) {}
    ~Limit() { world_.drop(ticket_); }
    Limit(const Limit&) = delete;
    Limit& operator=(const Limit&) = delete;

    void set(Time at) {
        at_ = at;
        if (ticket_.second && ticket_.first <= at_) return;
        world_.drop(ticket_);
        stand();
    }
    void clear() { at_ = Time::max(); }
    bool is_set() const { return at_ != Time::max(); }

private:
    void stand() {
        ticket_ = world_.at(at_, [this] {
            ticket_ = {};
            if (at_ == Time::max()) return;
            if (world_.now() < at_) return stand();
            at_ = Time::max();
            what_();
        });
    }

    World& world_;
    const std::function<void()> what_;
    World::Ticket ticket_{};
    Time at_ = Time::max();
};

}  // namespace plumkeel::net
