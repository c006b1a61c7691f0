/// Interface of the connections to one invoker, implemented in src/web for HTTP and in src/invoker_protocol for the
/// platform's protocol. The base class enforces the deadlines of calls and ends each call exactly once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gateway/delivery.hpp"
#include "gateway/upstream_call.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::gateway {

/// Called when a connection is closed because the invoker sent bytes that could not be parsed. `address` is the
/// invoker's, `reason` a short name for the log, `in_flight` the number of calls on the connection.
using MalformedCallback = std::function<void(const std::string& address, const char* reason, std::size_t in_flight)>;

/// Counters over all connection pools of one gateway.
struct ConnectionCounts {
    std::uint64_t opened{}, reused{}, closed_idle{}, unreachable{}, late_responses{}, malformed{};
    MalformedCallback on_malformed;
};

/// A call is shared by its sender and the pool until the call has ended. Connections and their coroutines are owned by
/// the derived class. Destroy a pool only once connection_count() and queued_count() are 0, or after its event loop has
/// stopped.
class ConnectionPool {
public:
    explicit ConnectionPool(net::EventLoop& loop) : loop_(loop) {}
    virtual ~ConnectionPool() = default;
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    void send(std::shared_ptr<UpstreamCall> call);
    /// Cancels a call in any state. The call ends later, with the outcome that is known by then.
    virtual void cancel(UpstreamCall& call) { stop(call, delivery::StopCause::cancelled); }
    /// Cancels a call that the invoker has not received, because its request is completed. This needs no message to the
    /// invoker, so it also works where invokers do not support cancellation.
    void cancel_if_unsent(UpstreamCall& call) {
        if (call.state_ == UpstreamCall::State::queued || is_partly_sent(call))
            stop(call, delivery::StopCause::cancelled_unsent);
    }
    /// Ends all attempts that have not been sent yet as never sent, because the invoker accepts no new attempts.
    virtual void cancel_unsent() = 0;
    /// Sets the invoker's new address. Calls in flight at the old address still receive their responses from there.
    virtual void set_address(net::Address address) = 0;
    /// Closes each connection once no call is in flight on it, because the invoker has been removed.
    virtual void close() = 0;
    virtual std::size_t connection_count() const = 0;
    virtual std::size_t queued_count() const = 0;     ///< attempts that wait for a connection
    virtual std::size_t in_flight_count() const = 0;  ///< attempts that were sent and have not ended

protected:
    /// Sends the call on a connection or queues it. Returns false if the queue is full.
    virtual bool enqueue(const std::shared_ptr<UpstreamCall>& call) = 0;
    /// Removes the call from its connection or from the queue, and returns the call's progress.
    virtual delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) = 0;

    /// Whether the call is in flight with bytes that are still to be sent, and can be stopped without them being sent.
    virtual bool is_partly_sent(const UpstreamCall&) const { return false; }

    void stop(UpstreamCall& call, delivery::StopCause cause);
    /// Whether the call is unsent and must not be sent any more.
    bool is_send_overdue(const UpstreamCall& call) const {
        return call.state_ == UpstreamCall::State::queued && loop_.now() >= call.send_deadline();
    }
    /// Classifies a failure to connect. Only a refusal, a timeout or an unreachable host shows that the invoker is
    /// unavailable. A connection that was reset had been established; and without a free descriptor, port, buffer or
    /// route on this machine, the invoker was never contacted (connect(2)).
    static delivery::StopCause connect_failure_cause(const net::Error& error);
    void finish(const std::shared_ptr<UpstreamCall>& call, CallResult result);
    void finish(const std::shared_ptr<UpstreamCall>& call, AttemptOutcome outcome);
    void finish_soon(std::shared_ptr<UpstreamCall> call, AttemptOutcome outcome);

    /// Called when the first byte of the call is being sent.
    static void mark_sent(UpstreamCall& call) {
        call.state_ = UpstreamCall::State::in_flight;
        call.on_sent();
    }
    /// Whether input of the call's client is unread after a stall of this thread. It may be the client's disconnect,
    /// which has to be read before the call is sent.
    bool client_has_unread_input(const UpstreamCall& call) const;
    static void set_state(UpstreamCall& call, UpstreamCall::State state) { call.state_ = state; }
    static std::shared_ptr<void>& connection_of(UpstreamCall& call) { return call.connection_; }
    static const std::shared_ptr<void>& connection_of(const UpstreamCall& call) { return call.connection_; }
    void clear_deadline(UpstreamCall& call) { loop_.cancel(call.deadline_timer_); }

    net::EventLoop& loop_;

private:
    void set_deadline_timer(UpstreamCall& call, net::Time when);
    void on_deadline(UpstreamCall& call);
};

using PoolFactory = std::function<std::unique_ptr<ConnectionPool>(const net::Address&, ConnectionCounts&)>;

}  // namespace plumkeel::gateway
