#include "gateway/edges.hpp"

namespace plumkeel::gateway {

void ConnectionPool::send(std::shared_ptr<Errand> errand) {
    errand->limit_ = world_.at(errand->until, [this, weak = errand->weak_from_this()] {
        if (const auto late = weak.lock()) stop(*late, proof::Cause::time_ran_out);
    });
    if (!carry(errand)) end_soon(errand, Ending::never_sent);
}

void ConnectionPool::end(const std::shared_ptr<Errand>& errand, Outcome outcome) {
    if (!errand || errand->state_ == Errand::State::ended) return;
    errand->state_ = Errand::State::ended;
    unlimit(*errand);
    errand->ended(std::move(outcome));
}

void ConnectionPool::end(const std::shared_ptr<Errand>& errand, Ending ending) {
    Outcome outcome;
    outcome.ending = ending;
    end(errand, std::move(outcome));
}

void ConnectionPool::end_soon(std::shared_ptr<Errand> errand, Ending ending) {
    world_.at(world_.now(), [this, errand = std::move(errand), ending] { end(errand, ending); });
}

proof::Cause ConnectionPool::cause_of(const net::Error& error) {
    namespace asio = net::asio;
    for (const net::Error& nobody : {net::Error(asio::error::connection_refused), net::Error(asio::error::timed_out),
                                     net::Error(asio::error::host_unreachable)})
        if (error == nobody) return proof::Cause::no_connection;
    return proof::Cause::connection_broke;
}

// The errand is no longer wanted, or out of time.
void ConnectionPool::stop(Errand& errand, proof::Cause cause) {
    if (errand.state_ == Errand::State::ended) return;
    const auto self = errand.shared_from_this();
    end_soon(self, proof::ending_of(take_off(errand, cause), cause));
}

}  // namespace plumkeel::gateway
