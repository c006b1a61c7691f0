// The one seam to time and I/O. Everything above is written against World, Stream and Listener; real.hpp hosts
// them on sockets and the machine's clock, memory.hpp in virtual time. One world runs on one thread.
//
// Times are spans since the world's start. Errors are error codes in results; nothing here throws but for
// memory. A Stream or Listener may be destroyed only once no coroutine waits on it: hold it by shared_ptr.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <algorithm>
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
    std::string text() const;
    bool operator==(const Address&) const = default;
};

struct Moved {
    Error error;
    std::size_t bytes{};
    Time late{};  // of a read: how far this thread was behind when the bytes could be read, and what was lost until they were
};

// One connection, both ways. At most one read and one wait for room at a time.
class Stream {
public:
    virtual ~Stream() = default;
    // Waits for bytes. The peer's end of sending is asio::error::eof.
    virtual Task<Moved> read(asio::mutable_buffer into) = 0;
    // Hands over what fits now and never waits. No error and 0 bytes: nothing fits.
    virtual Moved write_now(std::span<const asio::const_buffer> from) = 0;
    virtual Task<Error> writable() = 0;
    // Whether the peer's end or a reset can be seen already, without waiting and without taking bytes.
    virtual bool ended() = 0;
    // Whether bytes or the peer's end have come and are not read yet.
    virtual bool unread() = 0;
    // How long ago the newest bytes came in, as the machine tells; empty where it does not.
    virtual std::optional<Time> since_newest_bytes() { return {}; }
    virtual void end_sending() = 0;
    virtual void close() = 0;  // whoever waits on it is told operation_aborted
    virtual void reset() = 0;  // closes so that the peer sees a reset
};

class Listener {
public:
    struct Accepted {
        Error error;
        std::shared_ptr<Stream> stream;
    };
    virtual ~Listener() = default;
    virtual Task<Accepted> accept() = 0;
    // Whether a connection has come up and is not accepted yet.
    virtual bool waiting() = 0;
    virtual Address address() const = 0;
    virtual void close() = 0;
};

class World {
public:
    struct Connected {
        Error error;
        std::shared_ptr<Stream> stream;
    };
    struct Listened {
        Error error;
        std::shared_ptr<Listener> listener;
    };
    using Ticket = std::pair<Time, std::uint64_t>;  // a place in the order of due times; {} is none

    virtual ~World() = default;
    virtual Time now() const = 0;
    virtual Time wall() const = 0;  // since the Unix epoch
    virtual asio::any_io_executor executor() = 0;
    // Gives up after `limit`, with asio::error::timed_out. Never ends in the turn in which it was called, also where it
    // fails at once: whoever starts it puts on the connection what waits for it.
    virtual Task<Connected> connect(Address to, Time limit) = 0;
    virtual Listened listen(const Address& at) = 0;

    // All due times of a world stand in one order behind one timer. Due now or earlier: at the next turn.
    Ticket at(Time when, std::function<void()> what);
    void drop(Ticket& ticket);
    Task<> sleep(Time span);
    // How long something due has been waiting to run: for so long, or longer, this thread has done nothing else, and what
    // comes in now may have come as early.
    Time late() const { return due_.empty() ? Time{} : std::max(Time{}, now() - due_.begin()->first.first); }
    // So late that this thread stood still, or was kept busy: more than timers and turns are late by themselves.
    static constexpr Time stood_still = std::chrono::milliseconds(30);
    bool is_behind() const { return late() > stood_still; }
    // It is, or was a moment ago: some of what came meanwhile may not be read yet.
    bool was_behind() const { return is_behind() || (behind_until_ && now() < *behind_until_); }
    // Starts a coroutine. What it throws ends the program: nothing above is meant to throw there.
    void spawn(Task<> task);

protected:
    virtual void arm(Time when) = 0;
    // Runs what is due; returns when the next is, or Time::max().
    Time run_due(Time now);
    // Notes that this thread is behind.
    void note_behind() { behind_until_ = now() + catching_up; }
    // Called first in a world's destructor: what coroutines let go of from then on sets no due times.
    void end_due();

private:
    std::map<Ticket, std::function<void()>> due_;
    std::uint64_t tickets_{};
    static constexpr Time catching_up = std::chrono::milliseconds(100);
    std::optional<Time> behind_until_;
    Time armed_ = Time::max();
    bool ending_{};
};

// Lets coroutines wait for something that another tells. All that wait are woken; what was told while none did
// lets the next one pass. A waiter looks at the state itself: being woken says only that it may have changed.
class Signal {
public:
    explicit Signal(World& world) : timer_(world.executor(), asio::steady_timer::time_point::max()) {}
    Task<> wait();
    void fire();

private:
    asio::steady_timer timer_;  // never expires: cancelling it wakes the waiter
    bool told_{};
    int waiting_{};
};

}  // namespace plumkeel::net
