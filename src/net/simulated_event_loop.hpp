// A world in virtual time, over streams in memory. Nothing in it waits for the machine: when no coroutine can
// go on, its clock steps to the next due time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>

#include "net/event_loop.hpp"

namespace plumkeel::net {

class SimulatedListener;

class SimulatedEventLoop : public EventLoop {
public:
    explicit SimulatedEventLoop(Time latency = Time(100), std::size_t room = 64 * 1024);
    ~SimulatedEventLoop() override;

    Time now() const override { return now_; }
    Time wall_clock() const override { return now_ + wall_offset_; }
    asio::any_io_executor executor() override { return context_.get_executor(); }
    Task<ConnectResult> connect(Address to, Time limit) override;
    ListenResult listen(const Address& at) override;

    // Runs until virtual time `until`, or until nothing is left that could happen.
    void run(Time until = Time::max());
    Time latency() const { return latency_; }
    std::size_t buffer_bytes() const { return buffer_bytes_; }
    // Connections to this address that come up from now on hold fewer bytes under way.
    void limit_buffer(const Address& at, std::size_t room) { buffer_limits_[at.to_string()] = room; }
    // The wall clock steps by so much, either way; now() runs on.
    void step_wall_clock(Time by) { wall_offset_ += by; }
    // The thread stands still for so long, in the middle of whatever it does.
    void stall(Time span) { now_ += span; }
    // From now on connecting to this address fails at once with this error of the machine's own; none: it works again.
    void fail_connects(const Address& to, Error error) { connect_errors_[to.to_string()] = error; }

private:
    friend class SimulatedListener;
    void arm(Time) override {}

    const Time latency_;
    const std::size_t buffer_bytes_;  // bytes under way one way of a stream
    Time now_{}, wall_offset_{};
    std::map<std::string, Error> connect_errors_;
    std::map<std::string, SimulatedListener*> listeners_;
    std::map<std::string, std::size_t> buffer_limits_;
    std::uint16_t next_port_ = 40000;
    asio::io_context context_{1};  // ends first: the coroutines that end with it still use the rest
};

}  // namespace plumkeel::net
