/// A listening endpoint in virtual time; private to this package.
#pragma once

#include <deque>
#include <memory>

#include "net/notification.hpp"
#include "net/simulated_event_loop.hpp"

namespace plumkeel::net {

class SimulatedListener : public Listener {
public:
    SimulatedListener(SimulatedEventLoop& loop, Address address);
    ~SimulatedListener() override;
    SimulatedListener(const SimulatedListener&) = delete;
    SimulatedListener& operator=(const SimulatedListener&) = delete;

    Task<AcceptResult> accept() override;
    bool has_pending() override { return !backlog_.empty(); }
    Address address() const override { return address_; }
    void close() override;

    /// Adds a connection to the backlog.
    void add_connection(std::shared_ptr<Stream> stream);

private:
    SimulatedEventLoop& loop_;
    const Address address_;
    std::deque<std::shared_ptr<Stream>> backlog_;
    bool closed_{};
    Notification arrival_;
};

}  // namespace plumkeel::net
