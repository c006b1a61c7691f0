/// Interface to time and network I/O. Implemented with sockets and the system clock (socket_event_loop.hpp) and, for
/// tests, in virtual time (simulated_event_loop.hpp).
///
/// An event loop belongs to one thread. Points in time are durations since the loop's start.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/error.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "net/address.hpp"
#include "net/stream.hpp"
#include "net/types.hpp"

namespace plumkeel::net {

/// Timers, connections and coroutines of one thread.
class EventLoop {
public:
    struct ConnectResult {
        Error error;
        std::shared_ptr<Stream> stream;  ///< set unless there is an error
    };
    struct ListenResult {
        Error error;
        std::shared_ptr<Listener> listener;  ///< set unless there is an error
    };

    /// Identifies a timer by its due time and a sequence number; timers run in the order of their keys. {} is no timer.
    using TimerKey = std::pair<Time, std::uint64_t>;

    /// A timer overdue by more than this means that the thread was suspended or kept busy.
    static constexpr Time stall_threshold = std::chrono::milliseconds(30);

    virtual ~EventLoop() = default;

    /// Time since the loop's start on a clock that never goes back.
    virtual Time now() const = 0;

    /// Time since the Unix epoch; the clock may be set forward or back.
    virtual Time wall_clock() const = 0;

    virtual asio::any_io_executor executor() = 0;

    /// Connects, or fails with `asio::error::timed_out` after `timeout`. Completes in a later loop iteration, even if
    /// it fails at once, so that the caller can register the pending connection first.
    virtual Task<ConnectResult> connect(Address to, Time timeout) = 0;

    /// Listens at the address; port 0 chooses a free port.
    virtual ListenResult listen(const Address& listen_address) = 0;

    /// Runs the callback at `when`, or in the next iteration if that time has been reached. Timers run in the order of
    /// their due time and then of their creation.
    TimerKey call_at(Time when, std::function<void()> callback);

    /// Cancels the timer if it has not run, and clears the key.
    void cancel(TimerKey& key);

    Task<> sleep(Time duration);

    /// Continues in the next iteration, after other coroutines that can continue and after pending I/O was looked at.
    Task<> yield();

    /// How long the next timer has been overdue. Input that is read now may have arrived that much earlier.
    Time lag() const { return timers_.empty() ? Time{} : std::max(Time{}, now() - timers_.begin()->first.first); }

    bool is_lagging() const { return lag() > stall_threshold; }

    /// Whether the loop is lagging or was within the last lag_recovery_time: input may be waiting to be read.
    bool was_lagging() const { return is_lagging() || (lagging_until_ && now() < *lagging_until_); }

    /// Starts a coroutine. An exception that leaves it propagates out of run().
    void spawn(Task<> task);

protected:
    /// Asks the implementation to call run_timers() at `when`.
    virtual void arm(Time when) = 0;

    /// Runs the due timers; returns the due time of the next timer, or Time::max() if there is none.
    Time run_timers(Time now);

    /// Records that the loop is lagging now.
    void note_lag() { lagging_until_ = now() + lag_recovery_time; }

    /// Cancels all timers and ignores new ones. Derived classes call it first in their destructor, since coroutines
    /// that are destroyed may set timers.
    void cancel_all();

private:
    static constexpr Time lag_recovery_time = std::chrono::milliseconds(100);

    std::map<TimerKey, std::function<void()>> timers_;
    std::uint64_t last_timer_id_{};
    std::optional<Time> lagging_until_;
    Time armed_time_ = Time::max();
    bool shutting_down_{};
};

}  // namespace plumkeel::net
