// The connections to one invoker: kept alive, capped, one errand at a time on each. An errand is a hop, a probe
// or a copy order; each ends exactly once, never before the function that it was handed to has returned.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "charter/charter.hpp"
#include "dispatch/types.hpp"
#include "gateway/protocol.hpp"
#include "http/http.hpp"
#include "net/limit.hpp"
#include "net/outbox.hpp"
#include "net/world.hpp"

namespace plumkeel::gateway {

class Line;

struct Outcome {
    Ending ending{};
    Note note{};
    int company{}, copies{};
    Report report;
    unsigned status{};   // 0: no whole answer came
    std::string passed;  // its fields that go on to the client, as lines
    std::string body;
};

class Errand : public std::enable_shared_from_this<Errand> {
public:
    enum class State { waiting, out, streaming, ended };
    virtual ~Errand() = default;

    virtual void ended(Outcome outcome) = 0;
    // A large answer has begun, with this status and these lines to pass on. False: nobody wants it, the line is closed and the errand ends as called off.
    virtual bool begins(unsigned, const std::string&) { return false; }
    virtual void part(std::string) {}
    // Waits until the receiver of parts has room for more; false when it is gone.
    virtual net::Task<bool> room() { co_return true; }

    std::string head;
    net::Outbox::Text body;
    net::Time until{};    // it ends as overdue then, unless its answer streams
    bool light{};         // a probe or an order: goes first, and past the cap on lines
    bool fresh_line{};    // asks for a connection that nothing else has used

    State state() const { return state_; }

private:
    friend class Line;
    friend class Lines;
    State state_{};
    std::shared_ptr<Line> line_;
    net::World::Ticket limit_{};
};

struct LineCounts {
    std::uint64_t opened{}, reused{}, broke_idle{}, unreachable{}, late{};
};

class Lines {
public:
    Lines(net::World& world, const LineRules& rules, net::Address address, LineCounts& counts);
    ~Lines();

    void send(std::shared_ptr<Errand> errand);
    void call_off(Errand& errand);
    // Hops whose bytes have not begun to leave end as never sent: the list says that the invoker takes no more.
    void withdraw();
    // The invoker has a new address; what is out at the old one is awaited there.
    void move_to(net::Address address);
    std::size_t open() const { return lines_.size(); }
    std::size_t waiting() const { return queue_.size(); }

private:
    friend class Line;
    bool dispatch(const std::shared_ptr<Errand>& errand);
    void line_free(const std::shared_ptr<Line>& line);
    void line_gone(const std::shared_ptr<Line>& line);
    void end(const std::shared_ptr<Errand>& errand, Outcome outcome);
    void end(const std::shared_ptr<Errand>& errand, Ending ending);
    void end_soon(std::shared_ptr<Errand> errand, Ending ending);
    void stop(Errand& errand, protocol::Cause cause);

    net::World& world_;
    const LineRules& rules_;
    net::Address address_;
    LineCounts& counts_;
    std::vector<std::shared_ptr<Line>> lines_, idle_;
    std::deque<std::shared_ptr<Errand>> queue_;
};

}  // namespace plumkeel::gateway
