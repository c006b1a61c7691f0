// Sends what the spool holds to one receiver by the remote write protocol 1.0: a lane a part of the series, at
// most one batch of a part on its way, so that every series arrives in order. When and how much is the Pacer's.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/world.hpp"
#include "remote/pacer.hpp"
#include "remote/spool.hpp"

namespace plumkeel::remote {

struct ReceiverRules {
    std::string name;                     // under which its place is kept
    std::string address, path = "/api/v1/write";
    std::string bearer;                   // sent as its token; empty: none
    Time within = std::chrono::seconds(10);  // for a whole answer
    PacerRules pace;
};

struct SenderCounts {
    std::uint64_t taken{}, never{}, again{};  // samples; again: sent once more, since it was not taken or not known
    std::uint64_t batches{}, troubles{};
    std::uint64_t wire_bytes{};  // bodies sent, packed
};

class Sender {
public:
    // `notice` is told in words what a person should know, once for each turn of events.
    using Notice = std::function<void(const std::string& kind, const std::string& what)>;
    Sender(net::World& world, ReceiverRules rules, Spool& spool, int parts, std::uint64_t seed, Notice notice);

    void start();
    // Samples were appended; `inflow` is what comes in a second.
    void tell(double inflow);
    const SenderCounts& counts() const { return counts_; }
    const std::string& name() const { return rules_.name; }

private:
    net::Task<> lane(int part);
    Spool::Batch next(int part, std::size_t most);
    void moved_on(int part, std::uint64_t place);
    void spool_broke(const SpoolFault& fault);
    net::Task<Heard> send(const Spool::Batch& batch, std::optional<Time>& retry_after);
    void note(Heard heard, const std::string& what);

    net::World& world_;
    const ReceiverRules rules_;
    Spool& spool_;
    const int parts_;
    Pacer pacer_;
    Notice notice_;
    net::Signal signal_;
    double inflow_{};
    SenderCounts counts_;
    std::string last_trouble_;
    bool spool_broken_{};
};

}  // namespace plumkeel::remote
