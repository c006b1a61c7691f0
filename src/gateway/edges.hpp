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

#include "dispatch/types.hpp"
#include "gateway/proof.hpp"
#include "net/outbox.hpp"
#include "net/world.hpp"

namespace plumkeel::gateway {

struct Ward;

// What an edge tells of an errand's end.
struct Outcome {
    Ending ending{};
    Note note{};
    int company{}, copies{};
    Report report;
    unsigned status{};   // 0: no whole answer came
    std::string passed;  // its fields that go on to the client, as lines
    std::string body;
};

class Visit {
public:
    virtual ~Visit() = default;
    // The job's final answer, whole: an invoker's, or the module's own (bounced or written off, by ward.state).
    virtual void honoured(const Ward& ward, unsigned status, std::string_view passed, std::string body) = 0;
    virtual void turned(const Ward& ward) = 0;
    // An answer that streams: its head, its parts, its end; cut where the rest can't come.
    virtual void begin(const Ward& ward, unsigned status, std::string_view passed) = 0;
    virtual void part(const Ward& ward, std::string bytes) = 0;
    virtual void end(const Ward& ward, bool whole) = 0;
    // Whether its client has said something, its end perhaps, that is not read yet.
    virtual bool unread() { return false; }
    // Waits until there is room for more parts; false when the client is gone.
    virtual net::Task<bool> room() = 0;
};

class Errand : public std::enable_shared_from_this<Errand> {
public:
    enum class Kind { hop, probe, hold_copies, drop_copies };
    enum class State { waiting, out, streaming, ended };
    explicit Errand(Kind of) : kind(of) {}
    virtual ~Errand() = default;

    virtual void ended(Outcome outcome) = 0;
    // Its first byte leaves now.
    virtual void leaves() {}
    // A large answer has begun, with this status and these lines to pass on. False: nobody wants it, and the
    // errand ends as called off.
    virtual bool begins(unsigned, const std::string&) { return false; }
    virtual void part(std::string) {}
    // Waits until the receiver of parts has room for more; false when it is gone.
    virtual net::Task<bool> room() { co_return true; }

    const Kind kind;
    Ward* ward{};          // of a hop, as is the next
    const Hop* hop{};
    std::string function;  // of an order, as is the next
    int copies{};
    std::string_view invoker;  // its name
    net::Time until{};     // it ends as overdue then, unless its answer streams
    bool fresh_connection{};     // asks for a connection that nothing else has used

    // A probe or an order: goes first, and past the cap on lines.
    bool light() const { return kind != Kind::hop; }
    State state() const { return state_; }

private:
    friend class ConnectionPool;
    State state_{};
    net::World::Ticket limit_{};
    std::shared_ptr<void> carrier_;  // the connection it is on
};

struct ConnectionCounts {
    std::uint64_t opened{}, reused{}, broke_idle{}, unreachable{}, late{}, spoilt{};
    // A connection had to be given up: to which address, why in a word, and with how many errands out.
    std::function<void(const std::string&, const char*, std::size_t)> tell_spoilt;
};

class ConnectionPool {
public:
    explicit ConnectionPool(net::World& world) : world_(world) {}
    virtual ~ConnectionPool() = default;
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    void send(std::shared_ptr<Errand> errand);
    virtual void call_off(Errand& errand) { stop(errand, proof::Cause::called_off); }
    // Its job is over. What has not begun to leave is not sent any more, whether or not invokers may be told to stop.
    void take_back(Errand& errand) {
        if (errand.state_ == Errand::State::waiting) stop(errand, proof::Cause::withdrawn);
    }
    // Hops whose bytes have not begun to leave end as never sent: the list says that the invoker takes no more.
    virtual void withdraw() = 0;
    // The invoker has a new address; what is out at the old one is awaited there.
    virtual void move_to(net::Address address) = 0;
    // The invoker is gone for good: a connection closes once nothing is out on it.
    virtual void close() = 0;
    virtual std::size_t open() const = 0;     // connections
    virtual std::size_t waiting() const = 0;  // hops without one
    virtual std::size_t out() const = 0;      // hops that left and have not ended

protected:
    // Puts it on a connection, or in a bounded queue. False: the queue is full.
    virtual bool carry(const std::shared_ptr<Errand>& errand) = 0;
    // Takes it off its connection or out of the queue, and says how far it got.
    virtual proof::Reached take_off(Errand& errand, proof::Cause cause) = 0;

    void stop(Errand& errand, proof::Cause cause);
    // Why a connection did not come about. Only a refusal and silence say that nobody is there: one reset at once
    // did come up, and where descriptors, ports, buffers or a route are short here, nobody was asked (connect(2)).
    static proof::Cause cause_of(const net::Error& error);
    void end(const std::shared_ptr<Errand>& errand, Outcome outcome);
    void end(const std::shared_ptr<Errand>& errand, Ending ending);
    void end_soon(std::shared_ptr<Errand> errand, Ending ending);

    // Its first byte leaves now.
    static void leaves(Errand& errand) {
        errand.state_ = Errand::State::out;
        errand.leaves();
    }
    static void set_state(Errand& errand, Errand::State state) { errand.state_ = state; }
    static std::shared_ptr<void>& carrier(Errand& errand) { return errand.carrier_; }
    void unlimit(Errand& errand) { world_.drop(errand.limit_); }

    net::World& world_;
};

using PoolFor = std::function<std::unique_ptr<ConnectionPool>(const net::Address&, ConnectionCounts&)>;

}  // namespace plumkeel::gateway
