/// One exchange with an invoker: an attempt of a request, a health check, or a command to load or unload copies of a
/// function.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::gateway {

struct ActiveRequest;

/// The result of a call, decoded from the invoker's protocol.
struct CallResult {
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    int concurrent_requests{};      ///< running in the same copy, as reported; 0: not reported
    int copies{};                   ///< copies loaded by a preload
    LoadReport report;              ///< the invoker's load report; empty if it sent none
    unsigned status{};              ///< HTTP status; 0: no complete response arrived
    std::string forwarded_headers;  ///< header lines of the response to forward to the client
    std::string body;
};

/// A call is shared by its sender and the invoker's ConnectionPool until it has ended. It ends exactly once, by
/// on_ended(), which is never called before the pool function that received the call has returned.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
    enum class Kind { attempt, health_check, load_copies, unload_copies };
    enum class State { queued, in_flight, streaming, ended };

    explicit UpstreamCall(Kind call_kind) : kind(call_kind) {}
    virtual ~UpstreamCall() = default;

    virtual void on_ended(CallResult result) = 0;
    /// The time before which all bytes of the call have to be sent. It may change while the call waits for a
    /// connection, so it is asked again when the call is written; it is in the past if the call must not be sent any
    /// more.
    virtual net::Time send_deadline() const { return deadline; }
    /// Called when the first byte of the call is being sent.
    virtual void on_sent() {}
    /// Called when a large response begins. Returns false if it is not wanted; the call then ends as cancelled.
    virtual bool on_stream_begin(unsigned /*status*/, const std::string& /*forwarded_headers*/) { return false; }
    virtual void on_chunk(std::string /*bytes*/) {}
    /// Waits until the receiver of the chunks has room for more. Returns false if the receiver has disconnected.
    virtual net::Task<bool> wait_writable() { co_return true; }

    const Kind kind;
    ActiveRequest* request{};  ///< the request of an attempt; else null
    const Attempt* attempt{};  ///< set if the call is an attempt; else null
    std::string function;      ///< name of the function to load or unload; else empty
    int copies{};              ///< number of copies to load; 0: unload
    std::string_view invoker;  ///< the invoker's name
    net::Time deadline{};      ///< when the call ends as timed out, unless its response streams
    bool fresh_connection{};   ///< whether the call must be sent on a new connection

    /// Health checks and preloads are sent before queued attempts, and may exceed the limit on connections.
    bool has_priority() const { return kind != Kind::attempt; }
    State state() const { return state_; }

private:
    friend class ConnectionPool;
    State state_{};
    net::EventLoop::TimerKey deadline_timer_{};  // set by ConnectionPool::send(), cancelled when the call ends
    std::shared_ptr<void> connection_;           // the connection that carries the call; the pool defines its type
};

}  // namespace plumkeel::gateway
