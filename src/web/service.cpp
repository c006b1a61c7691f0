#include "web/service.hpp"

#include <algorithm>
#include <array>

#include "http/http.hpp"
#include "web/pool.hpp"
#include "web/protocol.hpp"
#include "web/visit.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
namespace field = protocol::field;

constexpr int turned_back_at_once = 64;

Service::Service(net::World& world, Charter charter, Log& log, std::uint64_t seed, trace::Recorded recorded)
    : world_(world),
      log_(log),
      gateway_(world, std::move(charter), log, seed,
               [this](const net::Address& address, gateway::ConnectionCounts& counts) {
                   return std::make_unique<ConnectionPool>(world_, gateway_.charter().pool, address, counts, gateway_.incarnation());
               },
               std::move(recorded)),
      roster_(world, gateway_.charter().list, gateway_.incarnation(), log, seed,
              [this](const auto& changed, bool complete) { gateway_.fleet_told(changed, complete); }) {
    gateway_.list_told_by([this] { return roster_.follower().told(); });
}

Service::~Service() = default;

net::Error Service::open() {
    const auto address = net::Address::parse(gateway_.charter().listen);
    auto listened = world_.listen(*address);
    if (listened.error) return listened.error;
    listener_ = std::move(listened.listener);
    std::vector<fleet::Entry> fixed;
    for (const StatedInvoker& each : gateway_.charter().list.fixed)
        fixed.push_back({each.name, each.address, each.zone, each.kind, true, each.units, each.cell, {}});
    gateway_.fleet_told(fixed, true);
    if (!gateway_.charter().list.consul.empty()) roster_.follow();
    gateway_.begin();
    world_.spawn(accept());
    return {};
}

net::Task<> Service::accept() {
    const auto listener = listener_;
    for (;;) {
        auto accepted = co_await listener->accept();
        if (accepted.error == net::asio::error::operation_aborted) co_return;
        if (accepted.error) {
            // Nearly always for want of descriptors. The connection stays in the backlog, so accepting at
            // once again would spin.
            log_.line(Log::Level::error, "accept_broke", {{"why", accepted.error.message()}});
            co_await world_.sleep(gateway_.admission().accept_pause());
            continue;
        }
        gateway_.admission().accepted();
        const Objection objection = gateway_.admission().connection_came();
        if (objection != Objection::none) {
            gateway_.admission().count(objection);
            world_.spawn(turn_back(std::move(accepted.stream), objection));
            continue;
        }
        const auto visit = std::make_shared<Visit>(*this, ++visit_numbers_, std::move(accepted.stream));
        visits_[visit->number()] = visit;
        visit->start();
    }
}

// Tells a client that there is no room for its connection. What it sends is read and thrown away for a moment,
// since a close with unread bytes resets the connection and may overtake what it is told; but only for a few
// at a time, so that a flood of connections can't hold descriptors this way.
net::Task<> Service::turn_back(std::shared_ptr<net::Stream> stream, Objection objection) {
    const std::string head = http::HeadWriter(http::status_line(503))
                                 .add(field::objection, told(objection).word)
                                 .add(field::outcome, "bounced")
                                 .add("Retry-After", "1")
                                 .add("Connection", "close")
                                 .add("Content-Length", "0")
                                 .done();
    const net::asio::const_buffer whole = net::asio::buffer(head);
    stream->write_now({&whole, 1});
    stream->end_sending();
    if (turning_back_ < turned_back_at_once) {
        ++turning_back_;
        auto ticket = world_.at(world_.now() + 200ms, [stream] { stream->close(); });
        std::array<char, 1024> thrown_away;
        net::Error error;
        while (!error) {
            const net::Moved moved = co_await stream->read(net::asio::buffer(thrown_away));
            error = moved.error;
        }
        world_.drop(ticket);
        --turning_back_;
    }
    stream->close();
}

void Service::close(std::function<void()> then) {
    then_ = std::move(then);
    gateway_.admission().close();
    if (listener_) listener_->close();
    const auto visits = visits_;
    for (const auto& [number, visit] : visits) visit->go_if_idle();
    gateway_.close([this] {
        answered_all_ = true;
        see_whether_done();
    });
}

void Service::see_whether_done() {
    if (!then_ || !answered_all_) return;
    if (std::any_of(visits_.begin(), visits_.end(), [](const auto& each) { return each.second->busy(); })) return;
    const auto then = std::exchange(then_, nullptr);
    world_.at(world_.now(), then);
}

void Service::visit_gone(const std::shared_ptr<Visit>& visit) {
    if (visits_.erase(visit->number())) gateway_.admission().connection_left();
    see_whether_done();
}

}  // namespace plumkeel::web
