// The two narrow interfaces by which the gateway meets the world: who brings a job and takes its answer (Visit),
// and who carries errands to one invoker (Lines). HTTP implements them in src/web, the platform's protocols in
// src/fastcgi and src/runline. An edge translates, bounds and proves; it decides nothing.
//
// An errand is a hop, a probe or a copy order. It ends exactly once, never before the function that it was
// handed to has returned.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/delivery.hpp"
#include "net/event_loop.hpp"
#include "net/write_queue.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::gateway {

struct ActiveRequest;

// What an edge tells of an errand's end.
struct CallResult {
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    int concurrent_requests{}, copies{};
    LoadReport report;
    unsigned status{};              // 0: no whole answer came
    std::string forwarded_headers;  // its fields that go on to the client, as lines
    std::string body;
};

class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    // The job's final answer, whole: an invoker's, or the module's own (bounced or written off, by ward.state).
    virtual void send_response(const ActiveRequest& request, unsigned status, std::string_view passed,
                               std::string body) = 0;
    virtual void send_rejection(const ActiveRequest& request) = 0;
    // An answer that streams: its head, its parts, its end; cut where the rest can't come.
    virtual void begin_stream(const ActiveRequest& request, unsigned status, std::string_view passed) = 0;
    virtual void write_chunk(const ActiveRequest& request, std::string bytes) = 0;
    virtual void end_stream(const ActiveRequest& request, bool whole) = 0;
    // Whether its client has said something, its end perhaps, that is not read yet.
    virtual bool has_unread_input() { return false; }
    // Waits until there is room for more parts; false when the client is gone.
    virtual net::Task<bool> wait_writable() = 0;
};

class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
    enum class Kind { attempt, health_check, load_copies, unload_copies };
    enum class State { queued, in_flight, streaming, ended };
    explicit UpstreamCall(Kind of) : kind(of) {}
    virtual ~UpstreamCall() = default;

    virtual void on_ended(CallResult outcome) = 0;
    // Its first byte leaves now.
    virtual void on_sent() {}
    // A large answer has begun, with this status and these lines to pass on. False: nobody wants it, and the
    // errand ends as called off.
    virtual bool on_stream_begin(unsigned, const std::string&) { return false; }
    virtual void on_chunk(std::string) {}
    // Waits until the receiver of parts has room for more; false when it is gone.
    virtual net::Task<bool> wait_writable() { co_return true; }

    const Kind kind;
    ActiveRequest* request{};  // of a hop, as is the next
    const Attempt* attempt{};
    std::string function;  // of an order, as is the next
    int copies{};
    std::string_view invoker;  // its name
    net::Time deadline{};      // it ends as overdue then, unless its answer streams
    bool fresh_connection{};   // asks for a connection that nothing else has used

    // A probe or an order: goes first, and past the cap on lines.
    bool has_priority() const { return kind != Kind::attempt; }
    State state() const { return state_; }

private:
    friend class ConnectionPool;
    State state_{};
    net::EventLoop::TimerKey deadline_timer_{};
    std::shared_ptr<void> connection_;  // the connection it is on
};

struct ConnectionCounts {
    std::uint64_t opened{}, reused{}, closed_idle{}, unreachable{}, late_responses{}, malformed{};
    // A connection had to be given up: to which address, why in a word, and with how many errands out.
    std::function<void(const std::string&, const char*, std::size_t)> on_malformed;
};

class ConnectionPool {
public:
    explicit ConnectionPool(net::EventLoop& loop) : loop_(loop) {}
    virtual ~ConnectionPool() = default;
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    void send(std::shared_ptr<UpstreamCall> call);
    virtual void cancel(UpstreamCall& call) { stop(call, delivery::StopCause::cancelled); }
    // Its job is over. What has not begun to leave is not sent any more, whether or not invokers may be told to stop.
    void cancel_if_unsent(UpstreamCall& call) {
        if (call.state_ == UpstreamCall::State::queued) stop(call, delivery::StopCause::cancelled_unsent);
    }
    // Hops whose bytes have not begun to leave end as never sent: the list says that the invoker takes no more.
    virtual void cancel_unsent() = 0;
    // The invoker has a new address; what is out at the old one is awaited there.
    virtual void set_address(net::Address address) = 0;
    // The invoker is gone for good: a connection closes once nothing is out on it.
    virtual void close() = 0;
    virtual std::size_t connection_count() const = 0;  // connections
    virtual std::size_t queued_count() const = 0;      // hops without one
    virtual std::size_t in_flight_count() const = 0;   // hops that left and have not ended

protected:
    // Puts it on a connection, or in a bounded queue. False: the queue is full.
    virtual bool enqueue(const std::shared_ptr<UpstreamCall>& call) = 0;
    // Takes it off its connection or out of the queue, and says how far it got.
    virtual delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) = 0;

    void stop(UpstreamCall& call, delivery::StopCause cause);
    // Why a connection did not come about. Only a refusal and silence say that nobody is there: one reset at once
    // did come up, and where descriptors, ports, buffers or a route are short here, nobody was asked (connect(2)).
    static delivery::StopCause cause_of(const net::Error& error);
    void finish(const std::shared_ptr<UpstreamCall>& call, CallResult outcome);
    void finish(const std::shared_ptr<UpstreamCall>& call, AttemptOutcome ending);
    void finish_soon(std::shared_ptr<UpstreamCall> call, AttemptOutcome ending);

    // Its first byte leaves now.
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
