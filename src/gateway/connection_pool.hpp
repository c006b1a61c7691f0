/// The connections to one invoker, as the gateway uses them. src/web implements them for HTTP, src/invoker_protocol for
/// the platform's protocol. This base has what all protocols share: deadlines, and the one end of each call.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gateway/delivery.hpp"
#include "gateway/upstream_call.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::gateway {

/// A connection was closed because the invoker's bytes could not be read: its address, the reason in a word, and how
/// many calls were in flight on it.
using MalformedCallback = std::function<void(const std::string& address, const char* reason, std::size_t in_flight)>;

/// Counts over all pools of one gateway.
struct ConnectionCounts {
    std::uint64_t opened{}, reused{}, closed_idle{}, unreachable{}, late_responses{}, malformed{};
    MalformedCallback on_malformed;
};

/// A call belongs to whoever sends it and to the pool, until it has ended. Connections and their coroutines belong to
/// the derived class. Destroy a pool only once connection_count() and queued_count() are 0, or with its event loop no
/// longer running.
class ConnectionPool {
public:
    explicit ConnectionPool(net::EventLoop& loop) : loop_(loop) {}
    virtual ~ConnectionPool() = default;
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    void send(std::shared_ptr<UpstreamCall> call);
    /// The call is no longer wanted, wherever it is; it ends later, with what is known of it then.
    virtual void cancel(UpstreamCall& call) { stop(call, delivery::StopCause::cancelled); }
    /// Its request is completed: a call that is still queued is not sent any more. This needs no message to the
    /// invoker, so it holds whether or not invokers support cancellation.
    void cancel_if_unsent(UpstreamCall& call) {
        if (call.state_ == UpstreamCall::State::queued) stop(call, delivery::StopCause::cancelled_unsent);
    }
    /// The invoker takes no new attempts: those that are not sent yet end as never sent.
    virtual void cancel_unsent() = 0;
    /// The invoker has a new address; calls in flight at the old one are awaited there.
    virtual void set_address(net::Address address) = 0;
    /// The invoker is removed for good: each connection closes once nothing is in flight on it.
    virtual void close() = 0;
    virtual std::size_t connection_count() const = 0;
    virtual std::size_t queued_count() const = 0;     ///< attempts that wait for a connection
    virtual std::size_t in_flight_count() const = 0;  ///< attempts that were sent and have not ended

protected:
    /// Sends the call on a connection or queues it. False: the queue is full.
    virtual bool enqueue(const std::shared_ptr<UpstreamCall>& call) = 0;
    /// Takes the call off its connection or out of the queue, and returns how far it got.
    virtual delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) = 0;

    void stop(UpstreamCall& call, delivery::StopCause cause);
    /// Why connecting failed. Only a refusal, a timeout and an unreachable host show that the invoker was not there: a
    /// connection that was reset had come up, and where descriptors, ports, buffers or a route are lacking on this
    /// machine, the invoker was never asked (connect(2)).
    static delivery::StopCause connect_failure_cause(const net::Error& error);
    void finish(const std::shared_ptr<UpstreamCall>& call, CallResult result);
    void finish(const std::shared_ptr<UpstreamCall>& call, AttemptOutcome outcome);
    void finish_soon(std::shared_ptr<UpstreamCall> call, AttemptOutcome outcome);

    /// The first byte of the call is being sent now.
    static void mark_sent(UpstreamCall& call) {
        call.state_ = UpstreamCall::State::in_flight;
        call.on_sent();
    }
    static void set_state(UpstreamCall& call, UpstreamCall::State state) { call.state_ = state; }
    static std::shared_ptr<void>& connection_of(UpstreamCall& call) { return call.connection_; }
    void clear_deadline(UpstreamCall& call) { loop_.cancel(call.deadline_timer_); }

    net::EventLoop& loop_;
};

using PoolFactory = std::function<std::unique_ptr<ConnectionPool>(const net::Address&, ConnectionCounts&)>;

}  // namespace plumkeel::gateway
