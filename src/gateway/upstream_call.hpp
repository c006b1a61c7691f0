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

/// How a call ended, as the invoker's protocol shows it.
struct CallResult {
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    int concurrent_requests{};      ///< in the same copy, as the invoker reports it; 0: not reported
    int copies{};                   ///< loaded by a preload
    LoadReport report;              ///< of the invoker's load, where it sent one
    unsigned status{};              ///< 0: no whole response came
    std::string forwarded_headers;  ///< header lines of the response that go on to the client
    std::string body;
};

/// Who starts a call hands it to the invoker's ConnectionPool, which shares its ownership until the call has ended. It
/// ends exactly once, by on_ended(), and never before the pool's function that it was handed to has returned.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
    enum class Kind { attempt, health_check, load_copies, unload_copies };
    enum class State { queued, in_flight, streaming, ended };

    explicit UpstreamCall(Kind call_kind) : kind(call_kind) {}
    virtual ~UpstreamCall() = default;

    virtual void on_ended(CallResult result) = 0;
    /// Its first byte is being sent now.
    virtual void on_sent() {}
    /// A large response has begun. False: nobody wants it, and the call ends as cancelled.
    virtual bool on_stream_begin(unsigned /*status*/, const std::string& /*forwarded_headers*/) { return false; }
    virtual void on_chunk(std::string /*bytes*/) {}
    /// Waits until the receiver of chunks has room for more; false when it has disconnected.
    virtual net::Task<bool> wait_writable() { co_return true; }

    const Kind kind;
    ActiveRequest* request{};  ///< of an attempt; else null
    const Attempt* attempt{};  ///< of an attempt; else null
    std::string function;      ///< of a preload
    int copies{};              ///< of a preload; 0: unload
    std::string_view invoker;  ///< the invoker's name
    net::Time deadline{};      ///< it ends as timed out then, unless its response streams
    bool fresh_connection{};   ///< must not be sent on a connection that was used before

    /// Health checks and preloads go before attempts, and may exceed the limit on connections.
    bool has_priority() const { return kind != Kind::attempt; }
    State state() const { return state_; }

private:
    friend class ConnectionPool;
    State state_{};
    net::EventLoop::TimerKey deadline_timer_{};  // set by ConnectionPool::send(), cancelled when the call ends
    std::shared_ptr<void> connection_;           // the connection it was sent on, in the pool's own type
};

}  // namespace plumkeel::gateway
