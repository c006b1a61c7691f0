// A world in virtual time, over streams in memory. Nothing in it waits for the machine: when no coroutine can
// go on, its clock steps to the next due time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>

#include "net/world.hpp"

namespace plumkeel::net {

class MemoryListener;

class MemoryWorld : public World {
public:
    explicit MemoryWorld(Time latency = Time(100), std::size_t room = 64 * 1024);
    ~MemoryWorld() override;

    Time now() const override { return now_; }
    Time wall() const override { return now_ + wall_ahead_; }
    asio::any_io_executor executor() override { return context_.get_executor(); }
    Task<Connected> connect(Address to, Time limit) override;
    Listened listen(const Address& at) override;

    // Runs until virtual time `until`, or until nothing is left that could happen.
    void run(Time until = Time::max());
    Time latency() const { return latency_; }
    std::size_t room() const { return room_; }
    // Connections to this address that come up from now on hold fewer bytes under way.
    void narrow(const Address& at, std::size_t room) { narrow_[at.text()] = room; }
    // The wall clock steps by so much, either way; now() runs on.
    void step_wall(Time by) { wall_ahead_ += by; }
    // The thread stands still for so long, in the middle of whatever it does.
    void stand_still(Time span) { now_ += span; }
    // From now on connecting to this address fails at once with this error of the machine's own; none: it works again.
    void fail_connects(const Address& to, Error error) { failing_[to.text()] = error; }

private:
    friend class MemoryListener;
    void arm(Time) override {}

    const Time latency_;
    const std::size_t room_;  // bytes under way one way of a stream
    Time now_{}, wall_ahead_{};
    std::map<std::string, Error> failing_;
    std::map<std::string, MemoryListener*> listeners_;
    std::map<std::string, std::size_t> narrow_;
    std::uint16_t next_port_ = 40000;
    asio::io_context context_{1};  // ends first: the coroutines that end with it still use the rest
};

}  // namespace plumkeel::net
