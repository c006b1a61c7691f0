// The one seam to time and I/O. Everything above is written against World, Stream and Listener; real.hpp hosts
// them on sockets and the machine's clock, memory.hpp in virtual time. One world runs on one thread.
//
// Times are spans since the world's start. Errors are error codes in results; nothing here throws but for
// memory. A Stream or Listener may be destroyed only once no coroutine waits on it: hold it by shared_ptr.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace plumkeel::net {

namespace asio = boost::asio;
using Time = std::chrono::microseconds;
using Error = boost::system::error_code;
template <class T = void>
using Task = asio::awaitable<T>;

struct Address {
    std::string host;
    std::uint16_t port{};

    static std::optional<Address> parse(std::string_view text);  // "host:port"; IPv6 in brackets
    std::string to_string() const;
    bool operator==(const Address&) const = default;
};

struct TransferResult {
    Error error;
    std::size_t bytes{};
    Time lag{};  // of a read: how far this thread was behind when the bytes could be read, and what was lost until they
                 // were
};

// One connection, both ways. At most one read and one wait for room at a time.
class Stream {
public:
    virtual ~Stream() = default;
    // Waits for bytes. The peer's end of sending is asio::error::eof.
    virtual Task<TransferResult> read(asio::mutable_buffer into) = 0;
    // Hands over what fits now and never waits. No error and 0 bytes: nothing fits.
    virtual TransferResult write_now(std::span<const asio::const_buffer> from) = 0;
    virtual Task<Error> writable() = 0;
    // Whether the peer's end or a reset can be seen already, without waiting and without taking bytes.
    virtual bool peer_closed() = 0;
    // Whether bytes or the peer's end have come and are not read yet.
    virtual bool has_unread() = 0;
    // How long ago the newest bytes came in, as the machine tells; empty where it does not.
    virtual std::optional<Time> since_newest_bytes() { return {}; }
    virtual void shutdown_send() = 0;
    virtual void close() = 0;  // whoever waits on it is told operation_aborted
    virtual void reset() = 0;  // closes so that the peer sees a reset
};

class Listener {
public:
    struct AcceptResult {
        Error error;
        std::shared_ptr<Stream> stream;
    };
    virtual ~Listener() = default;
    virtual Task<AcceptResult> accept() = 0;
    // Whether a connection has come up and is not accepted yet.
    virtual bool has_pending() = 0;
    virtual Address address() const = 0;
    virtual void close() = 0;
};

class EventLoop {
public:
    struct ConnectResult {
        Error error;
        std::shared_ptr<Stream> stream;
    };
    struct ListenResult {
        Error error;
        std::shared_ptr<Listener> listener;
    };
    using TimerKey = std::pair<Time, std::uint64_t>;  // a place in the order of due times; {} is none

    virtual ~EventLoop() = default;
    virtual Time now() const = 0;
    virtual Time wall_clock() const = 0;  // since the Unix epoch
    virtual asio::any_io_executor executor() = 0;
    // Gives up after `limit`, with asio::error::timed_out. Never ends in the turn in which it was called, also where it
    // fails at once: whoever starts it puts on the connection what waits for it.
    virtual Task<ConnectResult> connect(Address to, Time limit) = 0;
    virtual ListenResult listen(const Address& at) = 0;

    // All due times of a world stand in one order behind one timer. Due now or earlier: at the next turn.
    TimerKey call_at(Time when, std::function<void()> what);
    void cancel(TimerKey& ticket);
    Task<> sleep(Time span);
    // How long something due has been waiting to run: for so long, or longer, this thread has done nothing else, and
    // what comes in now may have come as early.
    Time lag() const { return timers_.empty() ? Time{} : std::max(Time{}, now() - timers_.begin()->first.first); }
    // So late that this thread stood still, or was kept busy: more than timers and turns are late by themselves.
    static constexpr Time stall_threshold = std::chrono::milliseconds(30);
    bool is_lagging() const { return lag() > stall_threshold; }
    // It is, or was a moment ago: some of what came meanwhile may not be read yet.
    bool was_lagging() const { return is_lagging() || (lagging_until_ && now() < *lagging_until_); }
    // Starts a coroutine. What it throws ends the program: nothing above is meant to throw there.
    void spawn(Task<> task);

protected:
    virtual void arm(Time when) = 0;
    // Runs what is due; returns when the next is, or Time::max().
    Time run_timers(Time now);
    // Notes that this thread is behind.
    void note_lag() { lagging_until_ = now() + catch_up_time; }
    // Called first in a world's destructor: what coroutines let go of from then on sets no due times.
    void cancel_all();

private:
    std::map<TimerKey, std::function<void()>> timers_;
    std::uint64_t timer_ids_{};
    static constexpr Time catch_up_time = std::chrono::milliseconds(100);
    std::optional<Time> lagging_until_;
    Time armed_ = Time::max();
    bool ending_{};
};

// Lets coroutines wait for something that another tells. All that wait are woken; what was told while none did
// lets the next one pass. A waiter looks at the state itself: being woken says only that it may have changed.
class Notification {
public:
    explicit Notification(EventLoop& loop) : timer_(loop.executor(), asio::steady_timer::time_point::max()) {}
    Task<> wait();
    void notify();

private:
    asio::steady_timer timer_;  // never expires: cancelling it wakes the waiter
    bool notified_{};
    int waiters_{};
};

}  // namespace plumkeel::net
