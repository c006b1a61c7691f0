/// An event loop in virtual time with connections in memory, for tests. When no coroutine can continue, its clock
/// advances to the next timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <string>

#include "net/event_loop.hpp"

namespace plumkeel::net {

class SimulatedListener;

class SimulatedEventLoop : public EventLoop {
public:
    static constexpr Time default_latency{100};
    static constexpr std::size_t default_buffer_bytes = std::size_t{64} * 1024;

    /// `latency`: how long bytes take to arrive. `buffer_bytes`: how many bytes each direction of a connection buffers.
    explicit SimulatedEventLoop(Time latency = default_latency, std::size_t buffer_bytes = default_buffer_bytes);
    ~SimulatedEventLoop() override;
    SimulatedEventLoop(const SimulatedEventLoop&) = delete;
    SimulatedEventLoop& operator=(const SimulatedEventLoop&) = delete;

    Time now() const override { return now_; }
    Time wall_clock() const override { return now_ + wall_offset_; }
    asio::any_io_executor executor() override { return context_.get_executor(); }

    /// Connecting takes two latencies. The timeout has no effect: without a listener the connection is refused.
    Task<ConnectResult> connect(Address to, Time timeout) override;
    ListenResult listen(const Address& listen_address) override;

    /// Runs until virtual time `end_time`, or until there is neither a timer nor a coroutine that can continue.
    void run(Time end_time = Time::max());

    Time latency() const { return latency_; }
    std::size_t buffer_bytes() const { return buffer_bytes_; }

    /// Sets the buffer size of connections that are made to this address from now on.
    void limit_buffer(const Address& at, std::size_t buffer_bytes) { buffer_limits_[at.to_string()] = buffer_bytes; }

    /// Sets the wall clock forward or back by `offset`; now() is unaffected.
    void step_wall_clock(Time offset) { wall_offset_ += offset; }

    /// Simulates a stall of the thread within a callback: advances now() without running timers.
    void stall(Time duration) { now_ += duration; }

    /// Makes connects to this address fail at once with `error`; an empty error makes them succeed again.
    void fail_connects(const Address& to, Error error) { connect_errors_[to.to_string()] = error; }

private:
    friend class SimulatedListener;
    void arm(Time) override {}  // run() checks the timers itself

    const Time latency_;
    const std::size_t buffer_bytes_;
    Time now_{}, wall_offset_{};
    std::map<std::string, Error> connect_errors_;
    std::map<std::string, SimulatedListener*> listeners_;
    std::map<std::string, std::size_t> buffer_limits_;
    std::uint16_t last_ephemeral_port_ = 40000;
    asio::io_context context_{1};  // last member, as the coroutines that its destructor destroys use the others
};

}  // namespace plumkeel::net
